/**
 * Tells engines whose process has ended from those that only broke a connection: one that is back says that it is another
 * incarnation. What was in flight there is told with it, since one of these requests may be the cause.
 */
import type { ReplicaCrash, Suspect } from "../../protocol/forwarding/crashMessage.ts";
import type { ModelEngine } from "../../protocol/ModelEngine.ts";
import type { EngineReplica } from "../../state/engineDirectory.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { withTimeLimit } from "../timeLimit.ts";
import { crashGathering, engineReadDelays, engineReadPatience } from "./constants.ts";

/** What watching works with. */
export interface EngineCrashMonitorDependencies {
  readonly connect: (engine: EngineReplica) => Pick<ModelEngine, "readLoad">;
  readonly clock: Clock;
  readonly onCrash: (crash: ReplicaCrash) => void;
}

/** See {@link createEngineCrashMonitor}. */
export interface EngineCrashMonitor {
  /**
   * The connection of a request that was in flight at an engine broke.
   *
   * @param incarnation - The one that it was sent to.
   * @returns Once it is known whether the engine crashed, or was asked for long enough: what failed there is not sent
   * elsewhere before, since it would crash one engine after another meanwhile.
   */
  readonly noteBrokenConnection: (
    engine: EngineReplica,
    incarnation: string | undefined,
    suspect: Suspect,
  ) => Promise<void>;
}

/** Where nothing is ever held back. */
export const noEngineCrashMonitor: EngineCrashMonitor = { noteBrokenConnection: () => Promise.resolve() };

const writeLog = createLogger("engines");

/** Creates a watch. */
export const createEngineCrashMonitor = ({
  connect,
  clock,
  onCrash,
}: EngineCrashMonitorDependencies): EngineCrashMonitor => {
  /** By engine and incarnation that is being judged: its broken requests, and the judgement. */
  const underWay = new Map<string, { readonly suspects: Suspect[]; readonly judged: Promise<void> }>();

  const readIncarnation = async (engine: EngineReplica): Promise<string | undefined> => {
    try {
      const load = await withTimeLimit(clock, undefined, engineReadPatience, (limit) =>
        connect(engine).readLoad(limit),
      );
      return load.incarnation;
    } catch (error) {
      // It may be starting; it is asked again.
      writeLog("load_unread", { engine: engine.id, reason: String(error) });
      return undefined;
    }
  };

  /** @returns Whether the engine is another incarnation now; one that doesn't say so in time is no proof. */
  const isReplaced = async (engine: EngineReplica, incarnation: string): Promise<boolean> => {
    for (const delay of engineReadDelays) {
      const now = await readIncarnation(engine);
      if (now !== undefined) return now !== incarnation;
      await pause(clock, delay);
    }
    return false;
  };

  const judge = async (engine: EngineReplica, incarnation: string, suspects: Suspect[]): Promise<void> => {
    await pause(clock, crashGathering);
    const replica = `${engine.id} ${incarnation}`;
    const hasCrashed = await isReplaced(engine, incarnation);
    underWay.delete(replica);
    if (!hasCrashed) return;
    const requests = suspects.map(({ fingerprint }) => fingerprint).join(" ");
    writeLog("crashed", { engine: engine.id, incarnation, requests });
    onCrash({ replica, suspects });
  };

  return {
    noteBrokenConnection: (engine, incarnation, suspect) => {
      if (incarnation === undefined || engine.state === "leaving") return Promise.resolve();
      const key = `${engine.id} ${incarnation}`;
      const known = underWay.get(key);
      if (known !== undefined) {
        known.suspects.push(suspect);
        return known.judged;
      }
      const suspects = [suspect];
      const judged = judge(engine, incarnation, suspects);
      underWay.set(key, { suspects, judged });
      return judged;
    },
  };
};
