/** Baseline: the engine with the fewest requests, by lagged reports and this router's own work under way. */
import type { Work } from "../../src/coordination/scheduling/Scheduler.ts";
import { hash64 } from "../../src/protocol/prefixLevels.ts";
import type { EngineReplica } from "../../src/state/engineDirectory.ts";
import { ImmediateScheduler, requestsAt, sharedPrefixOf } from "./ImmediateScheduler.ts";
import type { Policy } from "./Policy.ts";

/** Takes the least loaded live engine; ties go to the prompt's preferred one. */
class LeastLoadedScheduler extends ImmediateScheduler {
  protected override pick(work: Work, candidates: readonly EngineReplica[]): EngineReplica | undefined {
    const prefix = sharedPrefixOf(work);
    const ranked = candidates.map((engine) => ({
      engine,
      load: requestsAt(engine),
      order: hash64(`${prefix}\u0000${engine.id}`),
    }));
    ranked.sort((left, right) => left.load - right.load || (left.order < right.order ? -1 : 1));
    return ranked[0]?.engine;
  }
}

export const leastLoadedPolicy: Policy = {
  name: "least loaded",
  createScheduler: ({ directory }) => new LeastLoadedScheduler(directory),
};
