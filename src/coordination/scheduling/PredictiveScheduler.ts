/** Placement by predicted time to first token, with admission in front of it. */
import type { RequestError } from "../../protocol/errors.ts";
import type { Usage } from "../../protocol/types.ts";
import { createCachePicture } from "../../state/cachePicture.ts";
import type { CachePicture } from "../../state/cachePicture.ts";
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
  enginePatience,
  fewestPrefillTokens,
  generatedTokenCost,
  latePriority,
  longestRetryAfter,
  pictureLimits,
  queueInterval,
  shortestRetryAfter,
} from "./constants.ts";
import { createComputingShares } from "./prefillBudgets.ts";
import type { ComputingShares } from "./prefillBudgets.ts";
import { createEngineEstimates } from "./engineEstimates.ts";
import type { EngineEstimates } from "./engineEstimates.ts";
import { createHomeConfidence } from "./homeConfidence.ts";
import type { HomeConfidence } from "./homeConfidence.ts";
import { createHoldingTimes } from "./slotHoldingTimes.ts";
import type { HoldingTimes } from "./slotHoldingTimes.ts";
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

/** What a predictive scheduler works with. */
export interface PredictiveSchedulerDependencies {
  readonly directory: EngineDirectory;
  readonly clock: Clock;
  readonly configuration: () => ConfigurationIndex | undefined;
  /** This router's data centre. */
  readonly dataCentre: string;
  /** Live routers that give work to the same engines, this one included; 1 unless told. */
  readonly liveRouters?: () => number;
  /** This router's part of an organisation's limits, 0 to 1; the whole unless told. */
  readonly organisationShare?: (organisation: string) => number;
}

interface WaitingWork {
  readonly work: Work;
  readonly settle: (result: Assignment | RequestError) => void;
}

const hotPrefixesShown = 20;

/** A shorter predicted wait is none, milliseconds. */
const idleWait = 2;

/** Part of a level's tokens that has to come from the cache for the level to have been held. */
const heldShare = 0.9;

const retryAfter = (milliseconds: number): number =>
  Math.min(longestRetryAfter, Math.max(shortestRetryAfter, Math.ceil(milliseconds / 1_000)));

const servedTokens = (work: Work, cachedTokens: number, usage: Usage | undefined): number => {
  const computed =
    usage === undefined ? work.promptTokens - cachedTokens : usage.promptTokens - usage.cachedTokens;
  const generated = usage?.completionTokens ?? Math.min(work.maximumTokens, assumedGeneratedTokens);
  return computed + generated * generatedTokenCost;
};

/** What lies below the level by which the prompt is placed does not return, and nothing is believed about it. */
const reusedKeys = (work: Work, { affinity }: Prediction): readonly string[] =>
  work.levels.slice(0, affinity.index + 1).map(({ key }) => key);

/** Decides by what answers have shown; keeps no more than bounded tables. */
export class PredictiveScheduler extends Scheduler implements Disposable {
  private readonly directory: EngineDirectory;
  private readonly clock: Clock;
  private readonly picture: CachePicture;
  private readonly estimates: EngineEstimates;
  private readonly affinity: AffinityLearner;
  private readonly shards: ShuffleShards;
  private readonly holdingTimes: HoldingTimes;
  private readonly priorityMix: PriorityMix = createPriorityMix();
  private readonly homeConfidence: HomeConfidence = createHomeConfidence();
  private readonly computingShares: ComputingShares;
  private readonly limits: OrganisationLimits;
  private readonly placement: Placement;
  private readonly queue: AdmissionQueue<WaitingWork> = createAdmissionQueue();
  private readonly unsubscribe: () => void;
  private callOffPump: (() => void) | undefined;

  constructor(parts: PredictiveSchedulerDependencies) {
    super();
    const { directory, clock, configuration } = parts;
    const liveRouters = parts.liveRouters ?? (() => 1);
    this.directory = directory;
    this.clock = clock;
    this.picture = createCachePicture(directory, pictureLimits);
    this.estimates = createEngineEstimates(directory, configuration);
    this.affinity = createAffinityLearner(liveRouters);
    this.shards = createShuffleShards(directory, configuration);
    this.holdingTimes = createHoldingTimes();
    this.computingShares = createComputingShares(liveRouters);
    this.limits = createOrganisationLimits(parts.organisationShare ?? (() => 1));
    const {
      picture,
      estimates,
      affinity,
      shards,
      holdingTimes,
      priorityMix,
      homeConfidence,
      computingShares,
    } = this;
    const { dataCentre } = parts;
    this.placement = createPlacement({
      directory,
      configuration,
      dataCentre,
      liveRouters,
      picture,
      estimates,
      affinity,
      shards,
      holdingTimes,
      priorityMix,
      homeConfidence,
      computingShares,
    });
    this.unsubscribe = directory.subscribe(({ kind }) => {
      if (kind !== "added") this.schedulePump(0);
    });
  }

  override assign(work: Work, signal: AbortSignal): Promise<Assignment> {
    const now = this.clock.monotonic();
    if (signal.aborted) return Promise.reject(refusals.callerGone());
    const refused = this.enter(work, now);
    if (refused !== undefined) return Promise.reject(refused);
    const ahead = this.queue.ahead(work);
    const result = this.tryNow(work, ahead, now);
    const isRefused = result !== undefined && !("engine" in result);
    if (result !== undefined && (isRefused || ahead < 1)) return this.settleAtOnce(work, result);
    return this.wait(work, signal);
  }

  override dump(): unknown {
    const now = this.clock.monotonic();
    return {
      policy: "predictive",
      waiting: this.queue.size(),
      classes: this.queue.dump(),
      organisations: this.limits.dump(),
      beliefs: this.picture.size(),
      trackedPrefixes: this.affinity.size(),
      hotPrefixes: this.affinity
        .hottest(hotPrefixesShown, now)
        .map(({ key, rate }) => ({ key, perSecond: rate * 1_000 })),
      engines: this.directory.all().map((engine) => {
        const estimate = this.estimates.of(engine, now);
        return {
          id: engine.id,
          limit: estimate.limit(),
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
    this.callOffPump?.();
    this.picture[Symbol.dispose]();
    this.estimates[Symbol.dispose]();
    this.shards[Symbol.dispose]();
  }

  /** Counts a request against its organisation's limits; a further attempt of one that was let in always is. */
  private enter(work: Work, now: number): RequestError | undefined {
    if (work.furtherAttempt ?? work.excluded.size > 0) {
      this.limits.retake(work.context, now);
      return undefined;
    }
    const wait = this.limits.take(work.context, now);
    if (wait !== undefined) return refusals.organisationLimit(retryAfter(wait));
    this.affinity.note(work, now);
    return undefined;
  }

  private settleAtOnce(work: Work, result: Prediction | RequestError): Promise<Assignment> {
    if ("engine" in result) return Promise.resolve(this.dispatch(work, result));
    this.limits.giveUp(work.context);
    return Promise.reject(result);
  }

  private wait(work: Work, signal: AbortSignal): Promise<Assignment> {
    return new Promise((resolve, reject) => {
      const leave = (): void => waiting.settle(refusals.callerGone());
      const expire = (): void => {
        const late = work.context.requestClass.firstTokenDeadline;
        waiting.settle(refusals.overloaded(retryAfter(late)));
      };
      const settle = (result: Assignment | RequestError): void => {
        if (!this.queue.remove(waiting)) return;
        signal.removeEventListener("abort", leave);
        callOffExpiry();
        if ("engine" in result) {
          resolve(result);
          return;
        }
        this.limits.giveUp(work.context);
        reject(result);
      };
      const waiting: WaitingWork = { work, settle };
      const untilDeadline = work.context.firstTokenDeadline - this.clock.monotonic();
      const callOffExpiry = this.clock.after(Math.max(0, untilDeadline), expire);
      signal.addEventListener("abort", leave);
      this.queue.add(waiting);
      this.pump();
    });
  }

  /**
   * @param ahead - Waiting pieces that go first.
   * @returns Where to send the work now, a refusal, or undefined if it has to wait.
   */
  private tryNow(work: Work, ahead: number, now: number): Prediction | RequestError | undefined {
    const prediction = this.placement.choose(work, now);
    if (prediction === undefined) {
      return this.mayComeBack(work, now) ? undefined : refusals.noEngine(shortestRetryAfter);
    }
    const queued = prediction.queueTurn * ahead;
    const late = prediction.lateBy + queued;
    if (late > 0) return refusals.overloaded(retryAfter(late));
    return prediction.hasRoom && this.limits.mayStart(work.context) ? prediction : undefined;
  }

  /**
   * Whether an engine that failed, or has not reported yet, may take the work soon: a failed one is asked for its
   * load several times within the patience, and most failures are over by then.
   */
  private mayComeBack({ pools, excluded, context }: Work, now: number): boolean {
    if (now - context.arrivedAt >= enginePatience) return false;
    const engines = pools.flatMap((pool) => this.directory.inPool(pool));
    return engines.some(
      ({ id, state }) => (state === "suspect" || state === "unconfirmed") && !excluded.has(id),
    );
  }

  /** Gives engines to waiting work, as far as there is room, and refuses what can't be in time any more. */
  private pump(): void {
    const now = this.clock.monotonic();
    let ahead = 0;
    for (const waiting of this.queue.next(now)) {
      const result = this.tryNow(waiting.work, ahead, now);
      ahead += 1;
      if (result === undefined) continue;
      waiting.settle("engine" in result ? this.dispatch(waiting.work, result) : result);
    }
    if (this.queue.size() > 0) this.schedulePump(queueInterval);
  }

  private schedulePump(delay: number): void {
    if (this.queue.size() === 0) return;
    this.callOffPump?.();
    this.callOffPump = this.clock.after(delay, () => {
      this.callOffPump = undefined;
      this.pump();
    });
  }

  private dispatch(work: Work, prediction: Prediction): Assignment {
    const { engine, stamp, estimate, cachedTokens, priority } = prediction;
    const dispatchedAt = this.clock.monotonic();
    const keys = reusedKeys(work, prediction);
    const own = {
      priority,
      uncachedTokens: work.promptTokens - cachedTokens,
      dispatchedAt,
      firstTokenAfter: prediction.wait + prediction.prefill,
    };
    this.directory.addInFlight(engine.id, 1);
    estimate.begin(own);
    this.limits.start(work.context);
    this.priorityMix.note(priority, own.uncachedTokens);
    this.queue.charge(work, servedTokens(work, cachedTokens, undefined));
    this.computingShares.charge(work.context.organisation.name, own.uncachedTokens);
    // The engine computes prompts in turn, so what is sent after this one will find its levels.
    if (stamp !== undefined && priority < latePriority) this.picture.note(keys, stamp, dispatchedAt);
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
        estimate.firstToken(own, now);
        if (stamp !== undefined) this.picture.note(keys, stamp, now);
      },
      release: (report) => {
        if (released) return;
        released = true;
        const now = this.clock.monotonic();
        this.directory.addInFlight(engine.id, -1);
        estimate.end(own, now);
        this.limits.end(work.context);
        this.learn(work, prediction, report, now - dispatchedAt);
        this.schedulePump(0);
      },
    };
  }

  private learn(work: Work, prediction: Prediction, report: AttemptReport, elapsed: number): void {
    const { stamp, estimate, cachedTokens } = prediction;
    const { usage, incarnation, firstTokenAfter } = report;
    const keys = reusedKeys(work, prediction);
    if (stamp !== undefined && incarnation !== undefined && incarnation !== stamp.incarnation) {
      this.picture.doubt(stamp, this.clock.monotonic());
      return;
    }
    if (firstTokenAfter === undefined) this.picture.forget(keys, prediction.engine.id);
    if (report.ended !== "finished") return;
    this.holdingTimes.learn(work, elapsed);
    if (usage === undefined || usage.promptTokens === 0) return;
    this.queue.charge(
      work,
      servedTokens(work, cachedTokens, usage) - servedTokens(work, cachedTokens, undefined),
    );
    const computed = usage.promptTokens - usage.cachedTokens;
    const corrected = computed - (work.promptTokens - cachedTokens);
    this.computingShares.charge(work.context.organisation.name, corrected);
    if (firstTokenAfter !== undefined) {
      const waited = firstTokenAfter - computed * estimate.millisecondsPerToken() - prediction.ownWait;
      estimate.learnWait(prediction.priority, Math.max(0, waited), this.clock.monotonic());
    }
    if (prediction.wait < idleWait && firstTokenAfter !== undefined && computed >= fewestPrefillTokens) {
      estimate.learnPrefill(computed, firstTokenAfter);
    }
    this.learnCache(work, prediction, usage);
  }

  /** Compares what was believed of the engine's cache with what the engine took from it. */
  private learnCache(work: Work, prediction: Prediction, usage: Usage): void {
    const { affinity, believed, homeUntested, estimate } = prediction;
    // Estimated tokens are brought to the engine's count.
    const scale = usage.promptTokens / work.promptTokens;
    const holds = (tokens: number): boolean => usage.cachedTokens >= tokens * scale * heldShare;
    if (homeUntested)
      this.homeConfidence.learn(work.context.organisation.name, affinity.rate, holds(affinity.level.tokens));
    if (believed === undefined) return;
    this.estimates.learnRetention(estimate, holds(believed.tokens), believed.confidence);
  }
}
