/**
 * Baseline: each router keeps an approximate prefix tree of what it sent to each engine and picks the longest
 * match. If the engines' loads are too imbalanced, it picks the least loaded engine instead.
 */
import type { Work } from "../../src/coordination/scheduling/Scheduler.ts";
import type { EngineReplica } from "../../src/state/engineDirectory.ts";
import { ImmediateScheduler, requestsAt } from "./ImmediateScheduler.ts";
import type { Policy, SchedulerDependencies } from "./Policy.ts";

/** If the highest and lowest load differ by more than both, load takes precedence over prefix matches. */
const imbalanceThreshold = { requests: 8, factor: 1.5 } as const;

/** Share of the prompt tokens that must match for the match to be used. */
const minimumMatchShare = 0.5;

class PrefixTreeScheduler extends ImmediateScheduler {
  /** For each engine, the tokens of the levels sent to it, least recently sent first. */
  private readonly sent = new Map<string, Map<string, number>>();
  private readonly dependencies: SchedulerDependencies;

  constructor(dependencies: SchedulerDependencies) {
    super(dependencies.directory);
    this.dependencies = dependencies;
  }

  protected override pick(work: Work, candidates: readonly EngineReplica[]): EngineReplica | undefined {
    const engine = this.choose(work, candidates);
    if (engine !== undefined) this.recordSent(work, engine);
    return engine;
  }

  private choose(work: Work, candidates: readonly EngineReplica[]): EngineReplica | undefined {
    const byLoad = [...candidates].sort((left, right) => requestsAt(left) - requestsAt(right));
    const least = requestsAt(byLoad[0] ?? throwNoCandidate());
    const most = requestsAt(byLoad.at(-1) ?? throwNoCandidate());
    if (most - least > imbalanceThreshold.requests && most > least * imbalanceThreshold.factor)
      return byLoad[0];
    const matches = byLoad.map((engine) => ({ engine, tokens: this.matchedTokens(work, engine.id) }));
    const best = matches.reduce((first, other) => (other.tokens > first.tokens ? other : first));
    return best.tokens >= minimumMatchShare * work.promptTokens ? best.engine : byLoad[0];
  }

  private recordSent({ levels }: Work, { id, pool }: EngineReplica): void {
    const sent = this.sent.get(id) ?? new Map<string, number>();
    this.sent.set(id, sent);
    for (let index = levels.length - 1; index >= 0; index -= 1) {
      const { key, tokens } = levels[index] ?? { key: "", tokens: 0 };
      sent.delete(key);
      sent.set(key, tokens - (levels[index - 1]?.tokens ?? 0));
    }
    this.evictOldest(sent, this.dependencies.configuration().pools.get(pool)?.cacheTokens ?? 0);
  }

  /** Evicts the least recently sent levels beyond what the engine can have cached. */
  private evictOldest(sent: Map<string, number>, capacity: number): void {
    let total = [...sent.values()].reduce((sum, tokens) => sum + tokens, 0);
    for (const [key, tokens] of sent) {
      if (total <= capacity) return;
      sent.delete(key);
      total -= tokens;
    }
  }

  private matchedTokens({ levels }: Work, engineId: string): number {
    const sent = this.sent.get(engineId);
    const missing = levels.findIndex(({ key }) => sent?.has(key) !== true);
    return levels[(missing < 0 ? levels.length : missing) - 1]?.tokens ?? 0;
  }
}

const throwNoCandidate = (): never => {
  throw new RangeError("There is no candidate.");
};

/** Places requests by longest prefix match unless load is imbalanced. */
export const prefixTreePolicy: Policy = {
  name: "prefix tree",
  createScheduler: (dependencies) => new PrefixTreeScheduler(dependencies),
};
