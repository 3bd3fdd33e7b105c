/**
 * Upper bound: every router knows the actual state of every cache and queue without delay and picks the engine
 * with the lowest time to first token, with recomputation weighted by the class's objective.
 */
import type { ConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import type { Work } from "../../src/coordination/scheduling/Scheduler.ts";
import type { PrefixLevel } from "../../src/protocol/types.ts";
import type { EngineReplica } from "../../src/state/engineDirectory.ts";
import { latencies } from "../model/constants.ts";
import type { EngineModel } from "../model/engineModel.ts";
import type { QueueView } from "../model/engineQueue.ts";
import { ImmediateScheduler } from "./ImmediateScheduler.ts";
import type { Policy, SchedulerDependencies } from "./Policy.ts";

class OmniscientScheduler extends ImmediateScheduler {
  private readonly dependencies: SchedulerDependencies;
  /** Keys of levels that several prompts may share: all but the last level of each prompt. */
  private readonly shared = new Set<string>();

  constructor(dependencies: SchedulerDependencies) {
    super(dependencies.directory);
    this.dependencies = dependencies;
  }

  protected override pick(work: Work, candidates: readonly EngineReplica[]): EngineReplica | undefined {
    for (const { key } of work.levels.slice(0, -1)) this.shared.add(key);
    let best: EngineReplica | undefined;
    let leastCost = Infinity;
    for (const engine of candidates) {
      const cost = this.costAt(work, engine);
      if (cost >= leastCost) continue;
      leastCost = cost;
      best = engine;
    }
    return best;
  }

  private costAt(work: Work, { id, pool }: EngineReplica): number {
    const engine = this.dependencies.fleet.get(id);
    if (
      engine?.isUp() !== true ||
      !this.dependencies.fleet.canReach(this.dependencies.dataCentre, engine.dataCentre)
    ) {
      return Infinity;
    }
    const index = this.dependencies.configuration();
    const queue = engine.queueView(work.context.requestClass.priority);
    const tokenTime = 1000 / (index.pools.get(pool)?.prefillTokensPerSecond ?? 1);
    const uncached = work.promptTokens - expectedTokens(engine, queue, work.levels);
    const prefill = uncached * tokenTime;
    const loss = this.lastCopyTokensLost(engine, uncached) * tokenTime;
    const latency = engine.dataCentre === this.dependencies.dataCentre ? latencies.within : latencies.between;
    const firstToken = queue.slotWait + queue.pendingTokens * tokenTime + prefill + 2 * latency;
    return firstToken + loss + recomputationWeight(index, work) * (prefill + loss);
  }

  /** Tokens of shared levels that no engine would have cached any more after this engine's evictions. */
  private lastCopyTokensLost(engine: EngineModel, tokens: number): number {
    const others = this.dependencies.fleet.engines.filter((other) => other !== engine);
    return engine
      .wouldEvict(tokens)
      .filter(({ key }) => this.shared.has(key) && !others.some((other) => other.isCached(key)))
      .reduce((sum, unit) => sum + unit.tokens, 0);
  }
}

/**
 * Weight of a millisecond of prefill relative to one of waiting, in addition to the delay of the request itself.
 */
const recomputationWeight = (index: ConfigurationIndex, { context }: Work): number => {
  const { requestClass } = context;
  const deployment = index.configuration.deployments.find(({ name }) => name === requestClass.deployment);
  const objective = requestClass.objective ?? deployment?.objective;
  if (objective === undefined) return 0;
  return objective.recomputation / Math.max(objective.timeToFirstToken, Number.EPSILON);
};

/** Prompt tokens that the engine has cached or will have cached once its queued requests have run. */
const expectedTokens = (
  engine: EngineModel,
  { expectedKeys }: QueueView,
  levels: readonly PrefixLevel[],
): number => {
  const cached = engine.cachedTokens(levels);
  const first = levels.findIndex(({ key, tokens }) => tokens > cached && !expectedKeys.has(key));
  return first < 0 ? cached : Math.max(cached, levels[first - 1]?.tokens ?? 0);
};

/** Not implementable in production; bounds what a policy can achieve. */
export const omniscientPolicy: Policy = {
  name: "omniscient",
  createScheduler: (dependencies) => new OmniscientScheduler(dependencies),
};
