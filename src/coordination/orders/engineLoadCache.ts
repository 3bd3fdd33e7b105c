/** Load reports of the engines of one deployment in all data centres, for the router that holds its lease. */
import type { ModelEngine } from "../../protocol/ModelEngine.ts";
import type { EngineLoad } from "../../protocol/types.ts";
import type { EngineReplica } from "../../state/engineDirectory.ts";
import type { Clock } from "../clock.ts";
import { withTimeLimit } from "../timeLimit.ts";
import { maxReportAge, maxReportsPerPass } from "./constants.ts";

export interface EngineLoadCacheDependencies {
  readonly clock: Clock;
  readonly connect: (engine: EngineReplica) => ModelEngine;
  /** Timeout for one report, in milliseconds. */
  readonly loadTimeout: number;
}

/** Caches the last load report of each engine. */
export interface EngineLoadCache {
  /** The last report; undefined if there is none, or if the last request for one failed. */
  readonly load: (engine: EngineReplica) => EngineLoad | undefined;
  /** Requests a report from one engine now. Throws `UpstreamError`. */
  readonly read: (engine: EngineReplica, signal: AbortSignal) => Promise<EngineLoad>;
  /** Requests reports from the engines with the oldest ones, at most {@link maxReportsPerPass} of them. */
  readonly refresh: (engines: readonly EngineReplica[], signal: AbortSignal) => Promise<void>;
  /** Removes the reports of all other engines. */
  readonly keepOnly: (engines: readonly EngineReplica[]) => void;
}

interface Report {
  readonly load: EngineLoad | undefined;
  /** When it was requested, in milliseconds on the monotonic clock. */
  readonly at: number;
}

/** Creates an empty cache. */
export const createEngineLoadCache = (dependencies: EngineLoadCacheDependencies): EngineLoadCache => {
  const { clock } = dependencies;
  const reports = new Map<string, Report>();

  /** The newer of this cache's report and the directory's, which is used for routing requests. */
  const latest = (engine: EngineReplica): Report | undefined => {
    const cached = reports.get(engine.id);
    if (engine.load === undefined || engine.loadReadAt < (cached?.at ?? 0)) return cached;
    return { load: engine.load, at: engine.loadReadAt };
  };

  const read = async (engine: EngineReplica, signal: AbortSignal): Promise<EngineLoad> => {
    const at = clock.monotonic();
    try {
      const load = await withTimeLimit(clock, signal, dependencies.loadTimeout, (limit) =>
        dependencies.connect(engine).readLoad(limit),
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
        .filter(({ at }) => now - at >= maxReportAge)
        .sort((left, right) => left.at - right.at)
        .slice(0, maxReportsPerPass);
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
