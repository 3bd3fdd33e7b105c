/** What the engines of one deployment report, as an order holder needs it: from all data centres. */
import type { ModelEngine } from "../../protocol/ModelEngine.ts";
import type { EngineLoad } from "../../protocol/types.ts";
import type { EngineReplica } from "../../state/engineDirectory.ts";
import type { Clock } from "../clock.ts";
import { withTimeLimit } from "../timeLimit.ts";
import { surveyAge, surveyBatch } from "./constants.ts";

/** What a survey works with. */
export interface EngineSurveyParts {
  readonly clock: Clock;
  readonly connect: (engine: EngineReplica) => ModelEngine;
  /** Longest wait for a report, milliseconds. */
  readonly loadTimeout: number;
}

/** See {@link createEngineSurvey}. */
export interface EngineSurvey {
  /** The last report; nothing if there is none, or the engine's last report could not be had. */
  readonly load: (engine: EngineReplica) => EngineLoad | undefined;
  /** Asks one engine now. Throws `UpstreamError`. */
  readonly read: (engine: EngineReplica, signal: AbortSignal) => Promise<EngineLoad>;
  /** Asks those engines whose reports are oldest, a batch of them at most. */
  readonly refresh: (engines: readonly EngineReplica[], signal: AbortSignal) => Promise<void>;
  /** Forgets engines that are not among these. */
  readonly keepOnly: (engines: readonly EngineReplica[]) => void;
}

interface Report {
  readonly load: EngineLoad | undefined;
  /** When it was asked for, milliseconds on the monotonic clock. */
  readonly at: number;
}

/** Creates a survey that knows nothing. */
export const createEngineSurvey = (parts: EngineSurveyParts): EngineSurvey => {
  const { clock } = parts;
  const reports = new Map<string, Report>();

  /** The newer of the own report and the one that the directory has for requests. */
  const latest = (engine: EngineReplica): Report | undefined => {
    const own = reports.get(engine.id);
    if (engine.load === undefined || engine.loadReadAt < (own?.at ?? 0)) return own;
    return { load: engine.load, at: engine.loadReadAt };
  };

  const read = async (engine: EngineReplica, signal: AbortSignal): Promise<EngineLoad> => {
    const at = clock.monotonic();
    try {
      const load = await withTimeLimit(clock, signal, parts.loadTimeout, (limit) =>
        parts.connect(engine).readLoad(limit),
      );
      reports.set(engine.id, { load, at });
      return load;
    } catch (error) {
      reports.set(engine.id, { load: undefined, at });
      throw error;
    }
  };

  return {
    load: (engine) => latest(engine)?.load,
    read,
    refresh: async (engines, signal) => {
      const now = clock.monotonic();
      const stale = engines
        .map((engine) => ({ engine, at: latest(engine)?.at ?? Number.NEGATIVE_INFINITY }))
        .filter(({ at }) => now - at >= surveyAge)
        .sort((left, right) => left.at - right.at)
        .slice(0, surveyBatch);
      await Promise.all(stale.map(({ engine }) => read(engine, signal).catch(() => undefined)));
    },
    keepOnly: (engines) => {
      const ids = new Set(engines.map(({ id }) => id));
      for (const id of reports.keys()) {
        if (!ids.has(id)) reports.delete(id);
      }
    },
  };
};
