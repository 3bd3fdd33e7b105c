/**
 * What one engine is predicted to do: how long a prompt waits for its turn, what a prompt token costs, how
 * many requests it takes, and how long it keeps prefixes. Load reports are late, so the router's own work is
 * counted exactly and only what others do is forecast from them.
 */
import type { EngineLoad } from "../../protocol/types.ts";
import type { EngineReplica } from "../../state/engineDirectory.ts";
import {
  busyGain,
  busyWait,
  firstRetention,
  longestRetention,
  prefillCorrection,
  prefillGain,
  reportMemory,
  retentionGain,
  shortestRetention,
  usualLoadGain,
  usualWaitMemory,
} from "./constants.ts";
import { createInFlightHistory } from "./inFlightHistory.ts";

/** What the configuration says of an engine. */
export interface EngineCapacity {
  readonly maximumRunning: number;
  readonly prefillTokensPerSecond: number;
}

/** A request of this router at an engine. */
export interface EngineWork {
  readonly priority: number;
  /** Prompt tokens that the engine is expected to compute. */
  readonly uncachedTokens: number;
  readonly dispatchedAt: number;
  /** Predicted time from dispatch to the first token, milliseconds. */
  readonly firstTokenAfter: number;
}

/** Predictions about one engine. Times are milliseconds, on one monotonic clock. */
export interface EngineEstimate {
  /** Takes in a load report that has come since. */
  readonly refresh: (engine: EngineReplica, capacity: EngineCapacity, now: number) => void;
  readonly millisecondsPerToken: () => number;
  /** @returns Milliseconds since the engine's incarnation and weights are as they are. */
  readonly knownFor: (now: number) => number;
  /** Time constant of the engine's forgetting of unused prefixes. */
  readonly retention: () => number;
  /** @returns How long a prompt of this priority waits for prompts of this router. */
  readonly ownWait: (priority: number, now: number) => number;
  /**
   * @param aheadShare - Part of all routers' uncomputed prompts that goes before one of this priority.
   * @returns How long it waits for prompts of others.
   */
  readonly othersWait: (priority: number, aheadShare: number, now: number) => number;
  /** @returns How busy reports have shown the engine to be for some time, 0 to 1. */
  readonly busy: () => number;
  /** @returns Slots that others are believed to hold. */
  readonly othersRunning: (now: number) => number;
  readonly ownRunning: () => number;
  /** @returns Slots that this router held when the last report was taken. */
  readonly ownReported: () => number;
  /** Requests that the engine works on at once without queueing them. */
  readonly limit: () => number;
  readonly begin: (work: EngineWork) => void;
  /** The engine has computed the work's prompt. */
  readonly firstToken: (work: EngineWork, now: number) => void;
  readonly end: (work: EngineWork, now: number) => void;
  /** Learns what a prompt token costs from an answer. */
  readonly learnPrefill: (computedTokens: number, milliseconds: number) => void;
  /** Learns from an answer how long it waited for others' prompts. */
  readonly learnWait: (priority: number, milliseconds: number, now: number) => void;
  /** Learns from an answer whether a belief held. @param confidence - What was believed, 0 to 1. */
  readonly learnRetention: (held: boolean, confidence: number) => void;
}

const clamp = (value: number, low: number, high: number): number => Math.min(high, Math.max(low, value));

/** Makes an estimate that knows the configuration only. */
export const createEngineEstimate = (): EngineEstimate => {
  const prefilling = new Set<EngineWork>();
  const history = createInFlightHistory();
  let running = 0;
  let pendingTokens = 0;
  let configuredCost = 0;
  let cost = 0;
  let limit = 1;
  let retention = firstRetention;
  let lastReport: EngineLoad | undefined;
  let identity = "";
  let knownSince = 0;
  let reportAt = Number.NEGATIVE_INFINITY;
  let busy = 0;
  let ownAtReport = 0;
  let othersAtReport = 0;
  let othersUsual = 0;
  let othersTokensAtReport = 0;
  /** By priority: waits for others, as answers showed them. */
  const usualWaits = new Map<number, { wait: number; readonly at: number }>();
  /** Since when the engine has worked on the prompt that is next to give a token. */
  let progressFrom = 0;

  const remember = (now: number): void => history.note(now, running, pendingTokens);

  const learnLimit = (engine: EngineReplica, maximum: number): void => {
    const { running: busy = 0, waiting = 0 } = engine.load ?? {};
    if (waiting > 0 && busy < limit) limit = Math.max(1, limit + (busy - limit) * 0.3);
    else if (waiting === 0) limit += 1;
    limit = clamp(limit, 1, maximum);
  };

  const refresh = (engine: EngineReplica, capacity: EngineCapacity, now: number): void => {
    const configured = 1_000 / capacity.prefillTokensPerSecond;
    if (configured !== configuredCost) {
      configuredCost = configured;
      cost = configured;
      limit = capacity.maximumRunning;
    }
    const { load, loadReadAt } = engine;
    if (load === undefined || load === lastReport) return;
    lastReport = load;
    reportAt = loadReadAt;
    const reported = `${load.incarnation} ${load.weightsVersion}`;
    if (reported !== identity) knownSince = now;
    identity = reported;
    const own = history.at(loadReadAt);
    ownAtReport = own.running;
    othersAtReport = Math.max(0, load.running + load.waiting - own.running);
    othersTokensAtReport = Math.max(0, load.pendingPromptTokens - own.pendingTokens);
    othersUsual += (othersAtReport - othersUsual) * usualLoadGain;
    busy += ((load.pendingPromptTokens * cost > busyWait ? 1 : 0) - busy) * busyGain;
    learnLimit(engine, capacity.maximumRunning);
  };

  /** How much a late report still tells of what is true now. */
  const reportWeight = (now: number): number => Math.exp(Math.min(0, reportAt - now) / reportMemory);

  const ownWait = (priority: number, now: number): number => {
    let ahead = 0;
    for (const work of prefilling) if (work.priority <= priority) ahead += work.uncachedTokens;
    const worked = prefilling.size === 0 ? 0 : (now - progressFrom) / cost;
    return Math.max(0, ahead - worked) * cost;
  };

  const usualWait = (priority: number, now: number): number => {
    const usual = usualWaits.get(priority);
    return usual === undefined ? 0 : usual.wait * Math.exp((usual.at - now) / usualWaitMemory);
  };

  /** By how much the first token of own work that would go before is late: something else is being computed. */
  const overdue = (priority: number, now: number): number => {
    let longest = 0;
    for (const work of prefilling) {
      if (work.priority > priority) continue;
      longest = Math.max(longest, now - work.dispatchedAt - work.firstTokenAfter);
    }
    return longest;
  };

  const othersWait = (priority: number, aheadShare: number, now: number): number => {
    const weight = reportWeight(now);
    const reported = othersTokensAtReport * aheadShare * cost;
    const forecast = usualWait(priority, now) * (1 - weight) + reported * weight;
    return Math.max(forecast, overdue(priority, now));
  };

  const removePrefilling = (work: EngineWork, now: number): void => {
    if (!prefilling.delete(work)) return;
    pendingTokens = Math.max(0, pendingTokens - work.uncachedTokens);
    progressFrom = now;
  };

  return {
    refresh,
    millisecondsPerToken: () => cost,
    knownFor: (now) => now - knownSince,
    retention: () => retention,
    ownWait,
    othersWait,
    busy: () => busy,
    othersRunning: (now) => othersUsual + (othersAtReport - othersUsual) * reportWeight(now),
    ownRunning: () => running,
    ownReported: () => ownAtReport,
    limit: () => limit,
    begin: (work) => {
      if (prefilling.size === 0) progressFrom = work.dispatchedAt;
      prefilling.add(work);
      running += 1;
      pendingTokens += work.uncachedTokens;
      remember(work.dispatchedAt);
    },
    firstToken: (work, now) => {
      removePrefilling(work, now);
      remember(now);
    },
    end: (work, now) => {
      removePrefilling(work, now);
      running -= 1;
      remember(now);
    },
    learnPrefill: (computedTokens, milliseconds) => {
      const bounded = clamp(
        milliseconds / computedTokens,
        configuredCost / prefillCorrection,
        configuredCost * prefillCorrection,
      );
      cost += (bounded - cost) * prefillGain;
    },
    learnWait: (priority, milliseconds, now) => {
      const before = usualWait(priority, now);
      usualWaits.set(priority, { wait: before + (milliseconds - before) * usualLoadGain, at: now });
    },
    learnRetention: (held, confidence) => {
      const factor = held ? 1 + retentionGain * (1 - confidence) : 1 - retentionGain * confidence;
      retention = clamp(retention * factor, shortestRetention, longestRetention);
    },
  };
};
