/** Placement on model engines: by queued prompts, cached parts of the prompt, and weights versions. */
import type { Prompt } from "../../protocol/forwarding/types.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { priorities, tokensAhead, totalRequests } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import type { ConfigurationState } from "../forwarding/configurationState.ts";
import {
  delayPerRunningRequest,
  copySetupTime,
  longPromptShare,
  lessUrgentShare,
  packingShortfallWeight,
  packingTargetShare,
  peerMessageIntervals,
  toleratedQueueShare,
} from "../forwarding/constants.ts";
import type { LoadPolicy } from "../forwarding/loadPolicy.ts";
import type { PartSaving } from "./partSaving.ts";
import { pickRandom } from "./pickRandom.ts";
import { queriedReplicas, queriedVersions } from "../replicaOwners/constants.ts";
import { topRendezvousReplicas } from "./rendezvousReplica.ts";
import type { PlacementChoice, PlacementFailure, Shortlist } from "./placementTypes.ts";
import type { PromptView, PromptViewDependencies } from "./promptView.ts";
import { createVersionViews } from "./versionViews.ts";
import { createPromptViews } from "./promptView.ts";
import { describeQueue } from "./queuedWork.ts";
import { cheapestReplica } from "./cheapestReplica.ts";
import type { BatchMemory } from "./batchMemory.ts";
import { createVersionPenalty } from "./versionPenalty.ts";
import type { ReplicaEstimates } from "../estimates/replicaEstimates.ts";
import { describeSharedParts, findAwaitedPart, transferTime } from "./sharedParts.ts";
import type { PriorityRule } from "../admission/urgency.ts";
import type { Admission, ForwardingBounds } from "../forwarding/types.ts";

export interface EnginePlacementDependencies extends PromptViewDependencies {
  readonly configuration: ConfigurationState;
  readonly estimates: ReplicaEstimates;
  readonly clock: Clock;
  readonly bounds: ForwardingBounds;
  readonly policy: Pick<LoadPolicy, "homePreference" | "evictionRisk" | "latenessTurnedAway">;
  readonly saving: Pick<PartSaving, "lossShare">;
  /** `undefined` if the memory of running requests is not counted. */
  readonly memory: BatchMemory | undefined;
  readonly priorityOf: PriorityRule;
  /** @returns The longest wait up to which long prompts are packed, milliseconds; infinity if there is no limit. */
  readonly packingLimit: (admission: Admission) => number;
  /** @returns The key under which a request's organisation is counted; 0 if organisations are not counted. */
  readonly organisationKey: (admission: Admission) => number;
  /** @returns A random number from 0 to 1. */
  readonly random: () => number;
}

export interface EnginePlacement {
  /**
   * @param candidates - The replicas that may get the request.
   * @param isWide - Whether to add more random replicas, because the usual few would answer too late.
   * @returns The replicas whose owners to query before placement, with the keys of the prompt's parts.
   */
  readonly shortlist: (
    prompt: Prompt,
    admission: Admission,
    candidates: readonly ReplicaState[],
    isWide?: boolean,
  ) => Shortlist;
  /**
   * @param penalty - Cost of a replica in addition to its predicted wait, milliseconds.
   * @param among - The candidates to compare. All candidates are compared if this is empty, or if the weights of all
   * these are too old.
   */
  readonly choose: (
    prompt: Prompt,
    admission: Admission,
    candidates: readonly ReplicaState[],
    penalty: (replica: ReplicaState) => number,
    among: readonly ReplicaState[],
  ) => PlacementChoice | PlacementFailure;
}

const copyTime = ({ service: { engine } }: Admission, tokens: number): number => {
  if (tokens <= 0) return 0;
  return copySetupTime + (engine === undefined ? 0 : transferTime(engine, tokens, engine.linkMegabits));
};

/** Priority of requests that will be late anyway: they must not make others late too. */
const leastUrgent = priorities - 1;

/**
 * Engines admit queued prompts by priority, but compute admitted prompts one after another regardless of priority. How
 * many are admitted is not known, so less urgent prompts count up to a limit.
 */
const queuedTokensBefore = (replica: ReplicaState, priority: number, maxLessUrgentTokens: number): number => {
  const urgent = tokensAhead(replica, priority);
  const others = tokensAhead(replica, leastUrgent) - urgent;
  return urgent + Math.min(others, maxLessUrgentTokens);
};

/**
 * The cost of a wait for a long prompt. Long prompts are packed onto replicas with other long ones as long as they
 * are answered in time, since every short prompt that follows a long one has to wait for it.
 *
 * @param target - The longest wait up to which they are packed, milliseconds.
 */
const packingCost = (wait: number, target: number): number =>
  wait > target ? wait : (target - wait) * packingShortfallWeight;

export const createEnginePlacement = (dependencies: EnginePlacementDependencies): EnginePlacement => {
  const { replicas, configuration, estimates, policy, memory, random } = dependencies;
  const { viewPrompt, findFetchSource } = createPromptViews(dependencies);

  const versionPenalty = createVersionPenalty(dependencies);

  const createViews = (prompt: Prompt, admission: Admission) =>
    createVersionViews(replicas, viewPrompt, prompt, admission);

  const shortlist: EnginePlacement["shortlist"] = (prompt, admission, candidates, isWide = false) => {
    const { versionOf, viewOf } = createViews(prompt, admission);
    const versions = [...new Set(candidates.map(versionOf))].sort((left, right) => right - left);
    const others = isWide ? queriedReplicas.wide : queriedReplicas.others;
    const selected = new Set<ReplicaState>();
    const keys = new Set<number>();
    for (const version of versions.slice(0, queriedVersions)) {
      const view = viewOf(version);
      const sameVersion = candidates.filter((each) => versionOf(each) === version);
      const holders = sameVersion.filter(({ entry }) => view.cached.has(entry.id));
      // Routers report a part's holders to the owner of its home, even while the home gets no work itself.
      const home = replicas.get(view.home ?? "");
      if (home !== undefined) selected.add(home);
      for (const each of topRendezvousReplicas(view.partHash, sameVersion, queriedReplicas.homes))
        selected.add(each);
      for (const each of pickRandom(holders, queriedReplicas.holders, random)) selected.add(each);
      for (const each of pickRandom(sameVersion, others, random)) selected.add(each);
      for (const key of dependencies.holders.keysOf(view.salt, prompt)) keys.add(key);
    }
    return { replicas: [...selected], keys: [...keys] };
  };

  const choose: EnginePlacement["choose"] = (prompt, admission, candidates, penalty, among) => {
    const { latencyObjective: objective } = admission.route;
    const { engine } = admission.service;
    const { versionOf, viewOf } = createViews(prompt, admission);
    const priority = dependencies.priorityOf(admission);
    const packingTarget = Math.min(objective * packingTargetShare, dependencies.packingLimit(admission));

    const tokensToCompute = (replica: ReplicaState): number => {
      const view = viewOf(versionOf(replica));
      return prompt.tokens - Math.max(view.cached.get(replica.entry.id)?.tokens ?? 0, view.copyableTokens);
    };

    const isLongAt = (replica: ReplicaState): boolean =>
      tokensToCompute(replica) / estimates.prefillRate(replica.entry.id) > objective * longPromptShare;

    /** @returns Predicted time until the replica starts on the prompt, milliseconds. */
    const predictQueue = (replica: ReplicaState): number => {
      const { id, slots } = replica.entry;
      const requests = totalRequests(replica);
      const rate = estimates.prefillRate(id);
      const ahead = queuedTokensBefore(replica, priority, rate * objective * lessUrgentShare);
      const queued = Math.max(0, requests + 1 - slots) * slots;
      return ahead / rate + (requests + queued) * delayPerRunningRequest;
    };

    /** @returns Predicted time until the first token, milliseconds. */
    const predictFirstToken = (replica: ReplicaState): number => {
      const { id } = replica.entry;
      const view = viewOf(versionOf(replica));
      const copied = Math.max(0, view.copyableTokens - (view.cached.get(id)?.tokens ?? 0));
      const computing = tokensToCompute(replica) / estimates.prefillRate(id);
      return predictQueue(replica) + computing + copyTime(admission, copied);
    };

    /** Copying a part to one more engine evicts others there, which are needed again where memory is short. */
    const evictionCost = (view: PromptView, id: string): number => {
      const risk = Math.min(1, dependencies.saving.lossShare() * policy.evictionRisk);
      return (risk * view.reusableTokens) / estimates.prefillRate(id);
    };

    const costOf = (replica: ReplicaState): number => {
      const { id } = replica.entry;
      const version = versionOf(replica);
      const view = viewOf(version);
      const cachedTokens = view.cached.get(id)?.tokens ?? 0;
      /** Whether the replica is the home or caches all reusable parts. */
      const isHome = cachedTokens >= view.reusableTokens || view.home === id;
      const wait = predictFirstToken(replica);
      return (
        (isLongAt(replica) ? packingCost(wait, packingTarget) : wait) +
        (isHome ? 0 : policy.homePreference + evictionCost(view, id)) +
        penalty(replica) +
        versionPenalty(prompt.model, version, objective, wait)
      );
    };

    const reservationAt = (replica: ReplicaState): number =>
      memory?.reservationOf(prompt, viewOf(versionOf(replica)).cached.get(replica.entry.id)?.tokens ?? 0) ??
      0;

    const memoryCost = (replica: ReplicaState): number =>
      memory?.costAt(replica, reservationAt(replica), engine?.memoryTokens ?? Number.POSITIVE_INFINITY) ?? 0;

    const costWithMemory = (replica: ReplicaState): number => costOf(replica) + memoryCost(replica);

    const compared = among.length > 0 ? among : candidates;
    let { replica, cost } = cheapestReplica(compared, costWithMemory, random);
    const isShed = (at: ReplicaState): boolean =>
      predictFirstToken(at) > objective * policy.latenessTurnedAway &&
      predictQueue(at) > objective * toleratedQueueShare;
    // Lack of memory alone must not lead to a replica whose queue is so long that the request is refused.
    if (memory !== undefined && isShed(replica))
      ({ replica, cost } = cheapestReplica(compared, costOf, random));
    if (cost === Number.POSITIVE_INFINITY)
      ({ replica, cost } = cheapestReplica(candidates, costWithMemory, random));
    if (cost === Number.POSITIVE_INFINITY) return "old_weights";
    const { id } = replica.entry;
    const version = versionOf(replica);
    const view = viewOf(version);
    const cachedTokens = view.cached.get(id)?.tokens ?? 0;
    const predictedWait = predictFirstToken(replica);
    const rate = estimates.prefillRate(id);
    const isNewest = configuration.supersededBy(prompt.model, version) === undefined;
    const isLate = (tokensAhead(replica, priority) + tokensToCompute(replica)) / rate > objective;
    return {
      replica,
      home: view.home === id ? undefined : replicas.get(view.home ?? ""),
      weightsVersion: version === 0 ? undefined : version,
      cacheSalt: view.salt,
      fetchFrom: findFetchSource(view, id, cachedTokens),
      sharedParts:
        engine === undefined
          ? undefined
          : describeSharedParts(prompt, view, {
              holders: dependencies.holders,
              engine,
              store: dependencies.findStore(view.partHash),
              isNewest,
              prefillRate: rate,
            }),
      priority: isLate ? leastUrgent : priority,
      outlastsMessageInterval:
        tokensToCompute(replica) / estimates.prefillRate(id) > peerMessageIntervals.shortest,
      awaitedPart: findAwaitedPart(view, (holder) => replicas.get(holder) !== undefined, rate),
      promptTokens: Math.max(0, tokensToCompute(replica)),
      reservedTokens: reservationAt(replica),
      predictedWait,
      queueWait: predictQueue(replica),
      queued: describeQueue(replica, dependencies.organisationKey(admission), tokensToCompute(replica), rate),
    };
  };

  return { choose, shortlist };
};
