/**
 * The bound: sees every cache and queue truly and at once, in every router, and takes the engine with the least
 * time to first token, with recomputation weighed as the class's objective asks.
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
  private readonly seat: SchedulerDependencies;
  /** Levels that more than one prompt may have: all but each prompt's last. */
  private readonly shared = new Set<string>();

  constructor(seat: SchedulerDependencies) {
    super(seat.directory);
    this.seat = seat;
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
    const engine = this.seat.fleet.get(id);
    if (engine?.isUp() !== true || !this.seat.fleet.canReach(this.seat.dataCentre, engine.dataCentre)) {
      return Infinity;
    }
    const index = this.seat.configuration();
    const queue = engine.queueView(work.context.requestClass.priority);
    const tokenTime = 1000 / (index.pools.get(pool)?.prefillTokensPerSecond ?? 1);
    const uncached = work.promptTokens - expectedTokens(engine, queue, work.levels);
    const prefill = uncached * tokenTime;
    const loss = this.soleTokensLost(engine, uncached) * tokenTime;
    const latency = engine.dataCentre === this.seat.dataCentre ? latencies.within : latencies.between;
    const firstToken = queue.slotWait + queue.pendingTokens * tokenTime + prefill + 2 * latency;
    return firstToken + loss + recomputationWeight(index, work) * (prefill + loss);
  }

  /** Tokens of shared levels that no engine would hold any longer. */
  private soleTokensLost(engine: EngineModel, tokens: number): number {
    const others = this.seat.fleet.engines.filter((other) => other !== engine);
    return engine
      .wouldEvict(tokens)
      .filter(({ key }) => this.shared.has(key) && !others.some((other) => other.isCached(key)))
      .reduce((sum, unit) => sum + unit.tokens, 0);
  }
}

/** How much a millisecond of prefill weighs beside one of waiting, over what it delays its own request. */
const recomputationWeight = (index: ConfigurationIndex, { context }: Work): number => {
  const { requestClass } = context;
  const deployment = index.configuration.deployments.find(({ name }) => name === requestClass.deployment);
  const objective = requestClass.objective ?? deployment?.objective;
  if (objective === undefined) return 0;
  return objective.recomputation / Math.max(objective.timeToFirstToken, Number.EPSILON);
};

const expectedTokens = (
  engine: EngineModel,
  { expectedKeys }: QueueView,
  levels: readonly PrefixLevel[],
): number => {
  const cached = engine.cachedTokens(levels);
  const first = levels.findIndex(({ key, tokens }) => tokens > cached && !expectedKeys.has(key));
  return first < 0 ? cached : Math.max(cached, levels[first - 1]?.tokens ?? 0);
};

export const omniscientPolicy: Policy = {
  name: "omniscient",
  createScheduler: (seat) => new OmniscientScheduler(seat),
};
