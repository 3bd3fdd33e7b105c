/**
 * Predictions about one engine: how long a prompt waits before it is computed, what a prompt token costs, how many
 * requests the engine runs at once, and how long it keeps prefixes. Load reports are late, so this router's own work
 * is counted exactly and only the other routers' work is forecast from reports.
 */
import type { EngineLoad } from "../../protocol/types.ts";
import type { EngineReplica } from "../../state/engineDirectory.ts";
import {
  busyGain,
  busyThreshold,
  initialRetention,
  maximumRetention,
  maximumPrefillCorrection,
  prefillGain,
  reportDecayTime,
  retentionGain,
  minimumRetention,
  averageLoadGain,
  averageWaitDecayTime,
} from "./constants.ts";
import { createInFlightHistory } from "./inFlightHistory.ts";

/** Configured capacity of an engine. */
export interface ConfiguredCapacity {
  readonly maximumRunning: number;
  readonly prefillTokensPerSecond: number;
}

/** A request that this router has sent to an engine. */
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
  /** Applies the engine's latest load report, if it is new. */
  readonly refresh: (engine: EngineReplica, capacity: ConfiguredCapacity, now: number) => void;
  readonly millisecondsPerToken: () => number;
  /** @returns Milliseconds since the engine's current incarnation and weights were first seen. */
  readonly identityAge: (now: number) => number;
  /** @returns How long the engine keeps unused prefixes. */
  readonly retention: () => number;
  /** @returns How long a prompt of this priority waits for prompts of this router. */
  readonly ownWait: (priority: number, now: number) => number;
  /**
   * @param aheadShare - Share of all routers' uncomputed prompt tokens that goes before a prompt of this priority.
   * @returns How long such a prompt waits for prompts of other routers.
   */
  readonly othersWait: (priority: number, aheadShare: number, now: number) => number;
  /** @returns Share of recent reports in which the engine was busy, 0 to 1. */
  readonly busyShare: () => number;
  /** @returns Estimated number of slots that other routers' requests hold. */
  readonly othersRunning: (now: number) => number;
  readonly ownRunning: () => number;
  /** @returns Slots that this router's requests held when the last report was taken. */
  readonly ownRunningAtReport: () => number;
  /** @returns Number of requests that the engine runs at once without queueing. */
  readonly slotLimit: () => number;
  readonly begin: (work: EngineWork) => void;
  /** Records that the engine has computed the work's prompt. */
  readonly firstToken: (work: EngineWork, now: number) => void;
  readonly end: (work: EngineWork, now: number) => void;
  /** Learns the cost of a prompt token from an answer. */
  readonly learnPrefill: (computedTokens: number, milliseconds: number) => void;
  /** Learns from an answer how long its prompt waited for other routers' prompts. */
  readonly learnWait: (priority: number, milliseconds: number, now: number) => void;
  /**
   * Learns the retention from an answer.
   *
   * @param wasCached - Whether the expected level was cached.
   * @param confidence - The confidence with which it had been expected, 0 to 1.
   */
  readonly learnRetention: (wasCached: boolean, confidence: number) => void;
}

const clamp = (value: number, low: number, high: number): number => Math.min(high, Math.max(low, value));

/** Creates an estimate that is based on the configuration until reports and answers arrive. */
export const createEngineEstimate = (): EngineEstimate => {
  const prefilling = new Set<EngineWork>();
  const history = createInFlightHistory();
  let running = 0;
  let pendingTokens = 0;
  let configuredTokenCost = 0;
  let tokenCost = 0;
  let slotLimit = 1;
  let retention = initialRetention;
  let lastReport: EngineLoad | undefined;
  let identity = "";
  let identitySince = 0;
  let reportAt = Number.NEGATIVE_INFINITY;
  let busyShare = 0;
  let ownAtReport = 0;
  let othersRunningAtReport = 0;
  let othersAverage = 0;
  let othersTokensAtReport = 0;
  /** Average wait for other routers' prompts that answers showed, by priority. */
  const averageWaits = new Map<number, { wait: number; readonly at: number }>();
  /** When the engine began to compute the prompt whose first token is expected next. */
  let progressSince = 0;

  const recordInFlight = (now: number): void => history.record(now, running, pendingTokens);

  const learnLimit = (engine: EngineReplica, maximum: number): void => {
    const { running: reportedRunning = 0, waiting = 0 } = engine.load ?? {};
    if (waiting > 0 && reportedRunning < slotLimit)
      slotLimit = Math.max(1, slotLimit + (reportedRunning - slotLimit) * 0.3);
    else if (waiting === 0) slotLimit += 1;
    slotLimit = clamp(slotLimit, 1, maximum);
  };

  const refresh = (engine: EngineReplica, capacity: ConfiguredCapacity, now: number): void => {
    const configured = 1_000 / capacity.prefillTokensPerSecond;
    if (configured !== configuredTokenCost) {
      configuredTokenCost = configured;
      tokenCost = configured;
      slotLimit = capacity.maximumRunning;
    }
    const { load, loadReadAt } = engine;
    if (load === undefined || load === lastReport) return;
    lastReport = load;
    reportAt = loadReadAt;
    const reported = `${load.incarnation} ${load.weightsVersion}`;
    if (reported !== identity) identitySince = now;
    identity = reported;
    const own = history.at(loadReadAt);
    ownAtReport = own.running;
    othersRunningAtReport = Math.max(0, load.running + load.waiting - own.running);
    othersTokensAtReport = Math.max(0, load.pendingPromptTokens - own.pendingTokens);
    othersAverage += (othersRunningAtReport - othersAverage) * averageLoadGain;
    busyShare += ((load.pendingPromptTokens * tokenCost > busyThreshold ? 1 : 0) - busyShare) * busyGain;
    learnLimit(engine, capacity.maximumRunning);
  };

  /** Weight of the last report, which decays with its age. */
  const reportWeight = (now: number): number => Math.exp(Math.min(0, reportAt - now) / reportDecayTime);

  const ownWait = (priority: number, now: number): number => {
    let ahead = 0;
    for (const work of prefilling) if (work.priority <= priority) ahead += work.uncachedTokens;
    const progressedTokens = prefilling.size === 0 ? 0 : (now - progressSince) / tokenCost;
    return Math.max(0, ahead - progressedTokens) * tokenCost;
  };

  const averageWait = (priority: number, now: number): number => {
    const average = averageWaits.get(priority);
    return average === undefined ? 0 : average.wait * Math.exp((average.at - now) / averageWaitDecayTime);
  };

  /**
   * How long the first token of own work that goes before this priority is overdue, which shows that the engine is
   * computing something else.
   */
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
    const reported = othersTokensAtReport * aheadShare * tokenCost;
    const forecast = averageWait(priority, now) * (1 - weight) + reported * weight;
    return Math.max(forecast, overdue(priority, now));
  };

  const removePrefilling = (work: EngineWork, now: number): void => {
    if (!prefilling.delete(work)) return;
    pendingTokens = Math.max(0, pendingTokens - work.uncachedTokens);
    progressSince = now;
  };

  return {
    refresh,
    millisecondsPerToken: () => tokenCost,
    identityAge: (now) => now - identitySince,
    retention: () => retention,
    ownWait,
    othersWait,
    busyShare: () => busyShare,
    othersRunning: (now) => othersAverage + (othersRunningAtReport - othersAverage) * reportWeight(now),
    ownRunning: () => running,
    ownRunningAtReport: () => ownAtReport,
    slotLimit: () => slotLimit,
    begin: (work) => {
      if (prefilling.size === 0) progressSince = work.dispatchedAt;
      prefilling.add(work);
      running += 1;
      pendingTokens += work.uncachedTokens;
      recordInFlight(work.dispatchedAt);
    },
    firstToken: (work, now) => {
      removePrefilling(work, now);
      recordInFlight(now);
    },
    end: (work, now) => {
      removePrefilling(work, now);
      running -= 1;
      recordInFlight(now);
    },
    learnPrefill: (computedTokens, milliseconds) => {
      const bounded = clamp(
        milliseconds / computedTokens,
        configuredTokenCost / maximumPrefillCorrection,
        configuredTokenCost * maximumPrefillCorrection,
      );
      tokenCost += (bounded - tokenCost) * prefillGain;
    },
    learnWait: (priority, milliseconds, now) => {
      const previous = averageWait(priority, now);
      averageWaits.set(priority, { wait: previous + (milliseconds - previous) * averageLoadGain, at: now });
    },
    learnRetention: (wasCached, confidence) => {
      const factor = wasCached ? 1 + retentionGain * (1 - confidence) : 1 - retentionGain * confidence;
      retention = clamp(retention * factor, minimumRetention, maximumRetention);
    },
  };
};
