/** Places requests by their predicted time to first token, behind an admission queue. */
import type { RequestError } from "../../protocol/errors.ts";
import type { Usage } from "../../protocol/types.ts";
import { createCacheModel } from "../../state/cacheModel.ts";
import type { CacheModel } from "../../state/cacheModel.ts";
import type { EngineDirectory } from "../../state/engineDirectory.ts";
import type { Clock } from "../clock.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import { refusals } from "../requests/refusals.ts";
import { createAdmissionQueue } from "./admissionQueue.ts";
import type { AdmissionQueue } from "./admissionQueue.ts";
import { createAffinityLearner } from "./affinity.ts";
import type { AffinityLearner } from "./affinity.ts";
import {
  assumedGeneratedTokens,
  engineRecoveryTimeout,
  minimumPrefillSample,
  generatedTokenCost,
  latePriority,
  maximumRetryAfter,
  cacheModelLimits,
  queuePollInterval,
  minimumRetryAfter,
} from "./constants.ts";
import { createPrefillBudgets } from "./prefillBudgets.ts";
import type { PrefillBudgets } from "./prefillBudgets.ts";
import { createEngineEstimates } from "./engineEstimates.ts";
import type { EngineEstimates } from "./engineEstimates.ts";
import { createHomeConfidence } from "./homeConfidence.ts";
import type { HomeConfidence } from "./homeConfidence.ts";
import { createSlotHoldingTimes } from "./slotHoldingTimes.ts";
import type { SlotHoldingTimes } from "./slotHoldingTimes.ts";
import { createOrganisationLimits } from "./organisationLimits.ts";
import type { OrganisationLimits } from "./organisationLimits.ts";
import { createPlacement } from "./placement.ts";
import type { Placement, Prediction } from "./placement.ts";
import { createPriorityMix } from "./priorityMix.ts";
import type { PriorityMix } from "./priorityMix.ts";
import type { Assignment, AttemptReport, Work } from "./Scheduler.ts";
import { Scheduler } from "./Scheduler.ts";
import { createShuffleShards } from "./shuffleShards.ts";
import type { ShuffleShards } from "./shuffleShards.ts";

export interface PredictiveSchedulerDependencies {
  readonly directory: EngineDirectory;
  readonly clock: Clock;
  readonly configuration: () => ConfigurationIndex | undefined;
  /** This router's data centre. */
  readonly dataCentre: string;
  /** @returns Number of live routers that use the same engines, including this one; 1 by default. */
  readonly liveRouters?: () => number;
  /** @returns This router's share of an organisation's limits, 0 to 1; 1 by default. */
  readonly organisationShare?: (organisation: string) => number;
}

interface QueuedWork {
  readonly work: Work;
  readonly settle: (result: Assignment | RequestError) => void;
}

const dumpedHotPrefixes = 20;

/** A predicted wait shorter than this counts as none, milliseconds. */
const maximumIdleWait = 2;

/** Share of a level's tokens that the engine must have taken from its cache for the level to count as cached. */
const cacheHitShare = 0.9;

const retryAfter = (milliseconds: number): number =>
  Math.min(maximumRetryAfter, Math.max(minimumRetryAfter, Math.ceil(milliseconds / 1_000)));

const servedTokens = (work: Work, cachedTokens: number, usage: Usage | undefined): number => {
  const computed =
    usage === undefined ? work.promptTokens - cachedTokens : usage.promptTokens - usage.cachedTokens;
  const generated = usage?.completionTokens ?? Math.min(work.maximumTokens, assumedGeneratedTokens);
  return computed + generated * generatedTokenCost;
};

/** Levels below the affinity level are not expected to be reused, so the cache model does not track them. */
const reusedKeys = (work: Work, { affinity }: Prediction): readonly string[] =>
  work.levels.slice(0, affinity.index + 1).map(({ key }) => key);

/**
 * Predicts from what earlier answers and load reports have shown. The tables of prefixes are bounded; other state is
 * kept for each engine, organisation, request class and priority.
 */
export class PredictiveScheduler extends Scheduler implements Disposable {
  private readonly directory: EngineDirectory;
  private readonly clock: Clock;
  private readonly cacheModel: CacheModel;
  private readonly estimates: EngineEstimates;
  private readonly affinityLearner: AffinityLearner;
  private readonly shards: ShuffleShards;
  private readonly slotHoldingTimes: SlotHoldingTimes;
  private readonly priorityMix: PriorityMix = createPriorityMix();
  private readonly homeConfidence: HomeConfidence = createHomeConfidence();
  private readonly prefillBudgets: PrefillBudgets;
  private readonly limits: OrganisationLimits;
  private readonly placement: Placement;
  private readonly queue: AdmissionQueue<QueuedWork> = createAdmissionQueue();
  private readonly unsubscribe: () => void;
  private cancelProcessing: (() => void) | undefined;

  constructor(dependencies: PredictiveSchedulerDependencies) {
    super();
    const { directory, clock, configuration } = dependencies;
    const liveRouters = dependencies.liveRouters ?? (() => 1);
    this.directory = directory;
    this.clock = clock;
    this.cacheModel = createCacheModel(directory, cacheModelLimits);
    this.estimates = createEngineEstimates(directory, configuration);
    this.affinityLearner = createAffinityLearner(liveRouters);
    this.shards = createShuffleShards(directory, configuration);
    this.slotHoldingTimes = createSlotHoldingTimes();
    this.prefillBudgets = createPrefillBudgets(liveRouters);
    this.limits = createOrganisationLimits(dependencies.organisationShare ?? (() => 1));
    const {
      cacheModel,
      estimates,
      affinityLearner,
      shards,
      slotHoldingTimes,
      priorityMix,
      homeConfidence,
      prefillBudgets,
    } = this;
    const { dataCentre } = dependencies;
    this.placement = createPlacement({
      directory,
      configuration,
      dataCentre,
      liveRouters,
      cacheModel,
      estimates,
      affinityLearner,
      shards,
      slotHoldingTimes,
      priorityMix,
      homeConfidence,
      prefillBudgets,
    });
    this.unsubscribe = directory.subscribe(({ kind }) => {
      if (kind !== "added") this.scheduleProcessing(0);
    });
  }

  override assign(work: Work, signal: AbortSignal): Promise<Assignment> {
    const now = this.clock.monotonic();
    if (signal.aborted) return Promise.reject(refusals.callerGone());
    const refusal = this.admit(work, now);
    if (refusal !== undefined) return Promise.reject(refusal);
    const ahead = this.queue.countAhead(work);
    const result = this.tryNow(work, ahead, now);
    const isRefused = result !== undefined && !("engine" in result);
    if (result !== undefined && (isRefused || ahead < 1)) return this.settleImmediately(work, result);
    return this.wait(work, signal);
  }

  override dump(): unknown {
    const now = this.clock.monotonic();
    return {
      policy: "predictive",
      waiting: this.queue.size(),
      classes: this.queue.dump(),
      organisations: this.limits.dump(),
      beliefs: this.cacheModel.size(),
      trackedPrefixes: this.affinityLearner.size(),
      hotPrefixes: this.affinityLearner
        .hottest(dumpedHotPrefixes, now)
        .map(({ key, rate }) => ({ key, perSecond: rate * 1_000 })),
      engines: this.directory.all().map((engine) => {
        const estimate = this.estimates.of(engine, now);
        return {
          id: engine.id,
          limit: estimate.slotLimit(),
          running: estimate.ownRunning(),
          othersRunning: estimate.othersRunning(now),
          millisecondsPerToken: estimate.millisecondsPerToken(),
          retention: estimate.retention(),
          wait: estimate.ownWait(0, now),
        };
      }),
    };
  }

  [Symbol.dispose](): void {
    this.unsubscribe();
    this.cancelProcessing?.();
    this.cacheModel[Symbol.dispose]();
    this.estimates[Symbol.dispose]();
    this.shards[Symbol.dispose]();
  }

  /**
   * Counts a request against its organisation's limits. A further attempt of an admitted request is always admitted.
   *
   * @returns The refusal if the limits are reached.
   */
  private admit(work: Work, now: number): RequestError | undefined {
    if (work.alreadyAdmitted ?? work.excluded.size > 0) {
      this.limits.readmit(work.context, now);
      return undefined;
    }
    const delay = this.limits.admit(work.context, now);
    if (delay !== undefined) return refusals.organisationLimit(retryAfter(delay));
    this.affinityLearner.record(work, now);
    return undefined;
  }

  private settleImmediately(work: Work, result: Prediction | RequestError): Promise<Assignment> {
    if ("engine" in result) return Promise.resolve(this.dispatch(work, result));
    this.limits.cancel(work.context);
    return Promise.reject(result);
  }

  private wait(work: Work, signal: AbortSignal): Promise<Assignment> {
    return new Promise((resolve, reject) => {
      const onAbort = (): void => waiting.settle(refusals.callerGone());
      const onDeadline = (): void => {
        const late = work.context.requestClass.firstTokenDeadline;
        waiting.settle(refusals.overloaded(retryAfter(late)));
      };
      const settle = (result: Assignment | RequestError): void => {
        if (!this.queue.remove(waiting)) return;
        signal.removeEventListener("abort", onAbort);
        cancelExpiry();
        if ("engine" in result) {
          resolve(result);
          return;
        }
        this.limits.cancel(work.context);
        reject(result);
      };
      const waiting: QueuedWork = { work, settle };
      const untilDeadline = work.context.firstTokenDeadline - this.clock.monotonic();
      const cancelExpiry = this.clock.after(Math.max(0, untilDeadline), onDeadline);
      signal.addEventListener("abort", onAbort);
      this.queue.add(waiting);
      this.processQueue();
    });
  }

  /**
   * @param ahead - Number of queued items that go first.
   * @returns Where to send the work now, a refusal, or `undefined` if it must wait.
   */
  private tryNow(work: Work, ahead: number, now: number): Prediction | RequestError | undefined {
    const prediction = this.placement.choose(work, now);
    if (prediction === undefined) {
      return this.mayRecover(work, now) ? undefined : refusals.noEngine(minimumRetryAfter);
    }
    const queueDelay = prediction.delayPerQueuedItem * ahead;
    const late = prediction.lateBy + queueDelay;
    if (late > 0) return refusals.overloaded(retryAfter(late));
    return prediction.hasRoom && this.limits.mayStart(work.context) ? prediction : undefined;
  }

  /**
   * Whether an engine that failed, or has not reported yet, may take the work soon. A failed engine is polled for
   * its load several times within the timeout, and most failures are over by then.
   */
  private mayRecover({ pools, excluded, context }: Work, now: number): boolean {
    if (now - context.arrivedAt >= engineRecoveryTimeout) return false;
    const engines = pools.flatMap((pool) => this.directory.inPool(pool));
    return engines.some(
      ({ id, state }) => (state === "suspect" || state === "unconfirmed") && !excluded.has(id),
    );
  }

  /** Assigns engines to queued work as far as there is room, and refuses work that can no longer meet its deadline. */
  private processQueue(): void {
    const now = this.clock.monotonic();
    let ahead = 0;
    for (const waiting of this.queue.next(now)) {
      const result = this.tryNow(waiting.work, ahead, now);
      ahead += 1;
      if (result === undefined) continue;
      waiting.settle("engine" in result ? this.dispatch(waiting.work, result) : result);
    }
    if (this.queue.size() > 0) this.scheduleProcessing(queuePollInterval);
  }

  private scheduleProcessing(delay: number): void {
    if (this.queue.size() === 0) return;
    this.cancelProcessing?.();
    this.cancelProcessing = this.clock.after(delay, () => {
      this.cancelProcessing = undefined;
      this.processQueue();
    });
  }

  private dispatch(work: Work, prediction: Prediction): Assignment {
    const { engine, stamp, estimate, cachedTokens, priority } = prediction;
    const dispatchedAt = this.clock.monotonic();
    const keys = reusedKeys(work, prediction);
    const engineWork = {
      priority,
      uncachedTokens: work.promptTokens - cachedTokens,
      dispatchedAt,
      firstTokenAfter: prediction.wait + prediction.prefill,
    };
    this.directory.addInFlight(engine.id, 1);
    estimate.begin(engineWork);
    this.limits.start(work.context);
    this.priorityMix.record(priority, engineWork.uncachedTokens);
    this.queue.charge(work, servedTokens(work, cachedTokens, undefined));
    this.prefillBudgets.charge(work.context.organisation.name, engineWork.uncachedTokens);
    // Engines compute prompts in order, so prompts sent after this one will find its levels cached.
    if (stamp !== undefined && priority < latePriority) this.cacheModel.note(keys, stamp, dispatchedAt);
    let released = false;
    return {
      engine,
      incarnation: engine.load?.incarnation,
      weightsVersion: engine.load?.weightsVersion ?? "",
      expectedCachedTokens: Math.round(cachedTokens),
      priority,
      markFirstToken: () => {
        const now = this.clock.monotonic();
        if (released) return;
        estimate.firstToken(engineWork, now);
        if (stamp !== undefined) this.cacheModel.note(keys, stamp, now);
      },
      release: (report) => {
        if (released) return;
        released = true;
        const now = this.clock.monotonic();
        this.directory.addInFlight(engine.id, -1);
        estimate.end(engineWork, now);
        this.limits.end(work.context);
        this.learn(work, prediction, report, now - dispatchedAt);
        this.scheduleProcessing(0);
      },
    };
  }

  private learn(work: Work, prediction: Prediction, report: AttemptReport, elapsed: number): void {
    const { stamp, estimate, cachedTokens } = prediction;
    const { usage, incarnation, firstTokenAfter } = report;
    const keys = reusedKeys(work, prediction);
    if (stamp !== undefined && incarnation !== undefined && incarnation !== stamp.incarnation) {
      this.cacheModel.markRestarted(stamp, this.clock.monotonic());
      return;
    }
    if (firstTokenAfter === undefined) this.cacheModel.forget(keys, prediction.engine.id);
    if (report.ended !== "finished") return;
    this.slotHoldingTimes.learn(work, elapsed);
    if (usage === undefined || usage.promptTokens === 0) return;
    this.queue.charge(
      work,
      servedTokens(work, cachedTokens, usage) - servedTokens(work, cachedTokens, undefined),
    );
    const computed = usage.promptTokens - usage.cachedTokens;
    const corrected = computed - (work.promptTokens - cachedTokens);
    this.prefillBudgets.charge(work.context.organisation.name, corrected);
    if (firstTokenAfter !== undefined) {
      const waited = firstTokenAfter - computed * estimate.millisecondsPerToken() - prediction.ownWait;
      estimate.learnWait(prediction.priority, Math.max(0, waited), this.clock.monotonic());
    }
    if (
      prediction.wait < maximumIdleWait &&
      firstTokenAfter !== undefined &&
      computed >= minimumPrefillSample
    ) {
      estimate.learnPrefill(computed, firstTokenAfter);
    }
    this.learnCache(work, prediction, usage);
  }

  /** Compares the predicted cache contents with the tokens that the engine took from its cache. */
  private learnCache(work: Work, prediction: Prediction, usage: Usage): void {
    const { affinity, expectedLevel, isUnobservedHome, estimate } = prediction;
    // Converts the router's estimated token counts to the engine's.
    const scale = usage.promptTokens / work.promptTokens;
    const holds = (tokens: number): boolean => usage.cachedTokens >= tokens * scale * cacheHitShare;
    if (isUnobservedHome)
      this.homeConfidence.learn(work.context.organisation.name, affinity.rate, holds(affinity.level.tokens));
    if (expectedLevel === undefined) return;
    this.estimates.learnRetention(estimate, holds(expectedLevel.tokens), expectedLevel.confidence);
  }
}
