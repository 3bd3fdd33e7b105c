/** Baseline: the engine that a rendezvous hash of the shared prefix names, whatever its load. */
import type { Work } from "../../src/coordination/scheduling/Scheduler.ts";
import { hash64 } from "../../src/protocol/prefixLevels.ts";
import type { EngineReplica } from "../../src/state/engineDirectory.ts";
import { ImmediateScheduler, sharedPrefixOf } from "./ImmediateScheduler.ts";
import type { Policy } from "./Policy.ts";

class ConsistentHashScheduler extends ImmediateScheduler {
  protected override pick(work: Work, candidates: readonly EngineReplica[]): EngineReplica | undefined {
    const prefix = sharedPrefixOf(work);
    const ordered = candidates.map((engine) => ({ engine, order: hash64(`${prefix}\u0000${engine.id}`) }));
    return ordered.reduce((first, other) => (other.order < first.order ? other : first)).engine;
  }
}

export const consistentHashPolicy: Policy = {
  name: "consistent hash",
  createScheduler: ({ directory }) => new ConsistentHashScheduler(directory),
};
