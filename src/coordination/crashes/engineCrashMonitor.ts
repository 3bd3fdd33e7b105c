/**
 * Distinguishes engines whose process has ended from those that only broke a connection: a restarted engine reports
 * another incarnation. A crash is reported with the requests that were in flight there, since one of them may be the
 * cause.
 */
import type { ModelEngine } from "../../protocol/ModelEngine.ts";
import type { EngineReplica } from "../../state/engineDirectory.ts";
import { metricNames } from "../../state/constants.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { withTimeLimit } from "../timeLimit.ts";
import type { BrokenRequest, OwnCrash } from "./brokenRequests.ts";
import { describeBroken } from "./brokenRequests.ts";
import { crashProbeDelay, incarnationReadRetryDelays, incarnationReadTimeout } from "./constants.ts";

export interface EngineCrashMonitorDependencies {
  readonly connect: (engine: EngineReplica) => Pick<ModelEngine, "readLoad">;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly onCrash: (crash: OwnCrash) => void;
}

export interface EngineCrashMonitor {
  /**
   * Records that the connection of a request in flight at an engine broke.
   *
   * @param incarnation - The incarnation that the request was sent to.
   * @returns A promise that resolves once it is known whether the engine crashed, or all reads of its incarnation have
   * failed. The failed request is not sent elsewhere before, since it could crash one engine after another meanwhile.
   */
  readonly noteBrokenConnection: (
    engine: EngineReplica,
    incarnation: string | undefined,
    request: BrokenRequest,
  ) => Promise<void>;
}

/** For routers without a quarantine. */
export const noEngineCrashMonitor: EngineCrashMonitor = { noteBrokenConnection: () => Promise.resolve() };

const writeLog = createLogger("engines");

/** Creates a monitor that reads an engine's incarnation after a broken connection. */
export const createEngineCrashMonitor = ({
  connect,
  metrics,
  clock,
  onCrash,
}: EngineCrashMonitorDependencies): EngineCrashMonitor => {
  /** By engine and incarnation that is being checked: its broken requests, and the end of the check. */
  const pending = new Map<string, { readonly broken: BrokenRequest[]; readonly checked: Promise<void> }>();

  const readIncarnation = async (engine: EngineReplica): Promise<string | undefined> => {
    try {
      const load = await withTimeLimit(clock, undefined, incarnationReadTimeout, (limit) =>
        connect(engine).readLoad(limit),
      );
      return load.incarnation;
    } catch (error) {
      // The engine may be starting; the read is repeated.
      writeLog("load_unread", { engine: engine.id, reason: String(error) });
      return undefined;
    }
  };

  /** @returns Whether the engine is another incarnation now; `false` if it reports none in time. */
  const isReplaced = async (engine: EngineReplica, incarnation: string): Promise<boolean> => {
    for (const delay of incarnationReadRetryDelays) {
      const now = await readIncarnation(engine);
      if (now !== undefined) return now !== incarnation;
      await pause(clock, delay);
    }
    return false;
  };

  const check = async (
    engine: EngineReplica,
    incarnation: string,
    broken: BrokenRequest[],
  ): Promise<void> => {
    await pause(clock, crashProbeDelay);
    const replica = `${engine.id} ${incarnation}`;
    const hasCrashed = await isReplaced(engine, incarnation);
    pending.delete(replica);
    if (!hasCrashed) return;
    writeLog("crashed", { engine: engine.id, incarnation, ...describeBroken(broken) });
    metrics.count(metricNames.replicaCrashes, 1, { service: engine.pool });
    onCrash({ replica, broken });
  };

  return {
    noteBrokenConnection: (engine, incarnation, request) => {
      if (incarnation === undefined || engine.state === "leaving") return Promise.resolve();
      const key = `${engine.id} ${incarnation}`;
      const known = pending.get(key);
      if (known !== undefined) {
        known.broken.push(request);
        return known.checked;
      }
      const broken = [request];
      const checked = check(engine, incarnation, broken);
      pending.set(key, { broken, checked });
      return checked;
    },
  };
};
