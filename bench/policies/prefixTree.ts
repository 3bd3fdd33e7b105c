/**
 * Baseline: each router keeps an approximate tree of what it has sent where and follows the longest match, unless
 * the engines' loads are too far apart; then it takes the least loaded.
 */
import type { Work } from "../../src/coordination/scheduling/Scheduler.ts";
import type { EngineReplica } from "../../src/state/engineDirectory.ts";
import { ImmediateScheduler, requestsAt } from "./ImmediateScheduler.ts";
import type { Policy, SchedulerDependencies } from "./Policy.ts";

/** Loads further apart than both are evened out before prefixes are looked at. */
const tolerance = { requests: 8, factor: 1.5 } as const;

/** Part of the prompt that must match for the match to be followed. */
const leastMatch = 0.5;

class PrefixTreeScheduler extends ImmediateScheduler {
  /** Levels sent to each engine with their tokens, the least recently sent first. */
  private readonly sent = new Map<string, Map<string, number>>();
  private readonly seat: SchedulerDependencies;

  constructor(seat: SchedulerDependencies) {
    super(seat.directory);
    this.seat = seat;
  }

  protected override pick(work: Work, candidates: readonly EngineReplica[]): EngineReplica | undefined {
    const engine = this.choose(work, candidates);
    if (engine !== undefined) this.remember(work, engine);
    return engine;
  }

  private choose(work: Work, candidates: readonly EngineReplica[]): EngineReplica | undefined {
    const byLoad = [...candidates].sort((left, right) => requestsAt(left) - requestsAt(right));
    const least = requestsAt(byLoad[0] ?? noCandidate());
    const most = requestsAt(byLoad.at(-1) ?? noCandidate());
    if (most - least > tolerance.requests && most > least * tolerance.factor) return byLoad[0];
    const matches = byLoad.map((engine) => ({ engine, tokens: this.matchedTokens(work, engine.id) }));
    const best = matches.reduce((first, other) => (other.tokens > first.tokens ? other : first));
    return best.tokens >= leastMatch * work.promptTokens ? best.engine : byLoad[0];
  }

  private remember({ levels }: Work, { id, pool }: EngineReplica): void {
    const sent = this.sent.get(id) ?? new Map<string, number>();
    this.sent.set(id, sent);
    for (let index = levels.length - 1; index >= 0; index -= 1) {
      const { key, tokens } = levels[index] ?? { key: "", tokens: 0 };
      sent.delete(key);
      sent.set(key, tokens - (levels[index - 1]?.tokens ?? 0));
    }
    this.forgetOldest(sent, this.seat.configuration().pools.get(pool)?.cacheTokens ?? 0);
  }

  /** Keeps about as much as the engine can have cached. */
  private forgetOldest(sent: Map<string, number>, capacity: number): void {
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

const noCandidate = (): never => {
  throw new RangeError("There is no candidate.");
};

export const prefixTreePolicy: Policy = {
  name: "prefix tree",
  createScheduler: (seat) => new PrefixTreeScheduler(seat),
};
