/** Baseline: any live engine. */
import type { EngineReplica } from "../../src/state/engineDirectory.ts";
import type { Work } from "../../src/coordination/scheduling/Scheduler.ts";
import { createRandom } from "../model/random.ts";
import type { Random } from "../model/random.ts";
import { ImmediateScheduler } from "./ImmediateScheduler.ts";
import type { Policy, SchedulerDependencies } from "./Policy.ts";

class RandomScheduler extends ImmediateScheduler {
  private readonly random: Random;

  constructor({ directory, seed }: SchedulerDependencies) {
    super(directory);
    this.random = createRandom(seed, "random policy");
  }

  protected override pick(_work: Work, candidates: readonly EngineReplica[]): EngineReplica | undefined {
    return candidates[this.random.index(candidates.length)];
  }
}

export const randomPolicy: Policy = {
  name: "random",
  createScheduler: (seat) => new RandomScheduler(seat),
};
