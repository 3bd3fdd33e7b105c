/** Placement at model engines: by prompts waiting there, parts of the prompt kept there, and weights. */
import type { Prompt } from "../../protocol/forwarding/types.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { priorities, tokensAhead, totalRequests } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import type { ConfigurationState } from "./configurationState.ts";
import {
  batchDelay,
  copySetup,
  longPromptShare,
  oldWeightsCutoffShare,
  oldWeightsPenaltyShare,
  othersShare,
  packingGain,
  packingTarget,
  peerMessageIntervals,
  weightsTolerance,
} from "./constants.ts";
import type { LoadPolicy } from "./loadPolicy.ts";
import type { PartSaving } from "./partSaving.ts";
import { pickSome } from "./pickRandom.ts";
import { queriedReplicas, queriedVersions } from "../replicaOwners/constants.ts";
import { firstReplicas } from "./rendezvousReplica.ts";
import type { PlacementChoice, PlacementFailure, Shortlist } from "./placementTypes.ts";
import type { PromptView, PromptViewDependencies } from "./promptView.ts";
import { createPromptViews } from "./promptView.ts";
import { rankByCost } from "./cheapestReplica.ts";
import type { ReplicaEstimates } from "./replicaEstimates.ts";
import { describeShared, findAwaited, transferTime } from "./sharedParts.ts";
import type { Admission, ForwardingBounds } from "./types.ts";

/** What it works with. */
export interface EnginePlacementDependencies extends PromptViewDependencies {
  readonly configuration: ConfigurationState;
  readonly estimates: ReplicaEstimates;
  readonly clock: Clock;
  readonly bounds: ForwardingBounds;
  readonly policy: Pick<LoadPolicy, "homePreference" | "evictionRisk">;
  readonly saving: Pick<PartSaving, "lossShare">;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** See {@link createEnginePlacement}. */
export interface EnginePlacement {
  /** @returns The replicas that are worth asking about, with the keys of the prompt's parts there. */
  readonly shortlist: (
    prompt: Prompt,
    admission: Admission,
    candidates: readonly ReplicaState[],
    isWide?: boolean,
  ) => Shortlist;
  /**
   * @param penalty - What a replica costs besides, milliseconds.
   * @param among - The candidates to compare; all of them if none of these is of use.
   */
  readonly choose: (
    prompt: Prompt,
    admission: Admission,
    candidates: readonly ReplicaState[],
    penalty: (replica: ReplicaState) => number,
    among: readonly ReplicaState[],
  ) => PlacementChoice | PlacementFailure;
}

const saltFor = ({ organisation }: Admission, model: string, version: number): string =>
  `${model}/${version}/${organisation?.isIsolated === true ? organisation.name : ""}`;

const copyTime = ({ service: { engine } }: Admission, tokens: number): number => {
  if (tokens <= 0) return 0;
  return copySetup + (engine === undefined ? 0 : transferTime(engine, tokens, engine.linkMegabits));
};

/** For requests that will be late whatever is done: they must not make others late too. */
const leastUrgent = priorities - 1;

/** How much more a route's priority counts than an organisation's. */
const routeWeight = 3;

/** Routes differ by more than organisations: an urgent kind of request of one goes before a less urgent one. */
const priorityOf = ({ route, organisation }: Admission): number => {
  const wanted = route.priority * routeWeight + (organisation?.priority ?? 0);
  return Math.min(leastUrgent - 1, Math.max(0, wanted));
};

/**
 * Engines compute the prompts that they have let in one after another, whatever their priorities; those that wait
 * for a place are let in by priority. How many are let in is not known: less urgent ones count up to a limit.
 */
const tokensBefore = (replica: ReplicaState, priority: number, most: number): number => {
  const urgent = tokensAhead(replica, priority);
  const others = tokensAhead(replica, leastUrgent) - urgent;
  return urgent + Math.min(others, most);
};

/**
 * What a wait counts for a long prompt: long ones go where others are as long as they are in time, since every
 * short one that comes after one has to wait for it.
 */
const packed = (wait: number, objective: number): number => {
  const target = objective * packingTarget;
  return wait > target ? wait : (target - wait) * packingGain;
};

/** Creates a placement at engines. */
export const createEnginePlacement = (parts: EnginePlacementDependencies): EnginePlacement => {
  const { replicas, configuration, estimates, clock, bounds, policy, random } = parts;
  const { viewPrompt, fetchSource } = createPromptViews(parts);

  const versionPenalty = (model: string, version: number, objective: number, wait: number): number => {
    const wanted = configuration.supersededBy(model, version);
    if (wanted === undefined) return 0;
    const age = clock.monotonic() - wanted.learnedAt;
    // It begins when the engine has let it in, not when it is sent.
    if (age + wait >= bounds.weights * oldWeightsCutoffShare) return Number.POSITIVE_INFINITY;
    return age < weightsTolerance ? 0 : objective * oldWeightsPenaltyShare;
  };

  const viewsOf = (prompt: Prompt, admission: Admission) => {
    const views = new Map<number, PromptView>();
    const versionOf = ({ weights }: ReplicaState): number => weights.get(prompt.model) ?? 0;
    const viewOf = (version: number): PromptView => {
      const known = views.get(version);
      if (known !== undefined) return known;
      // Those that get no new work for a moment still keep their parts for others to copy.
      const same = replicas.serving(admission.service.name).filter((each) => versionOf(each) === version);
      const made = viewPrompt(prompt, saltFor(admission, prompt.model, version), same);
      views.set(version, made);
      return made;
    };
    return { versionOf, viewOf };
  };

  const shortlist: EnginePlacement["shortlist"] = (prompt, admission, candidates, isWide = false) => {
    const { versionOf, viewOf } = viewsOf(prompt, admission);
    const versions = [...new Set(candidates.map(versionOf))].sort((left, right) => right - left);
    const others = isWide ? queriedReplicas.wide : queriedReplicas.others;
    const asked = new Set<ReplicaState>();
    const keys = new Set<number>();
    for (const version of versions.slice(0, queriedVersions)) {
      const view = viewOf(version);
      const same = candidates.filter((each) => versionOf(each) === version);
      const holders = same.filter(({ entry }) => view.held.has(entry.id));
      // Its owner is told of the part's holders, also while it gets no work itself.
      const home = replicas.get(view.home ?? "");
      if (home !== undefined) asked.add(home);
      for (const each of firstReplicas(view.part, same, queriedReplicas.homes)) asked.add(each);
      for (const each of pickSome(holders, queriedReplicas.holders, random)) asked.add(each);
      for (const each of pickSome(same, others, random)) asked.add(each);
      for (const key of parts.holders.keysOf(view.salt, prompt)) keys.add(key);
    }
    return { replicas: [...asked], keys: [...keys] };
  };

  const choose: EnginePlacement["choose"] = (prompt, admission, candidates, penalty, among) => {
    const { latencyObjective: objective } = admission.route;
    const { engine } = admission.service;
    const { versionOf, viewOf } = viewsOf(prompt, admission);
    const priority = priorityOf(admission);

    const computedAt = (replica: ReplicaState): number => {
      const view = viewOf(versionOf(replica));
      return prompt.tokens - Math.max(view.held.get(replica.entry.id)?.tokens ?? 0, view.most);
    };

    const isLongAt = (replica: ReplicaState): boolean =>
      computedAt(replica) / estimates.prefillRate(replica.entry.id) > objective * longPromptShare;

    /** Until the replica begins with the prompt, milliseconds. */
    const predictQueue = (replica: ReplicaState): number => {
      const { id, slots } = replica.entry;
      const requests = totalRequests(replica);
      const rate = estimates.prefillRate(id);
      const ahead = tokensBefore(replica, priority, rate * objective * othersShare);
      const queued = Math.max(0, requests + 1 - slots) * slots;
      return ahead / rate + (requests + queued) * batchDelay;
    };

    /** Until the first token, milliseconds. */
    const predict = (replica: ReplicaState): number => {
      const { id } = replica.entry;
      const view = viewOf(versionOf(replica));
      const copied = Math.max(0, view.most - (view.held.get(id)?.tokens ?? 0));
      const computing = computedAt(replica) / estimates.prefillRate(id);
      return predictQueue(replica) + computing + copyTime(admission, copied);
    };

    /** A part that is brought to one more engine drops others there, which are read again where memory is short. */
    const evictionCost = (view: PromptView, id: string): number => {
      const risk = Math.min(1, parts.saving.lossShare() * policy.evictionRisk);
      return (risk * view.reusable) / estimates.prefillRate(id);
    };

    const costOf = (replica: ReplicaState): number => {
      const { id } = replica.entry;
      const version = versionOf(replica);
      const view = viewOf(version);
      const own = view.held.get(id)?.tokens ?? 0;
      const isHome = own >= view.reusable || view.home === id;
      const wait = predict(replica);
      return (
        (isLongAt(replica) ? packed(wait, objective) : wait) +
        (isHome ? 0 : policy.homePreference + evictionCost(view, id)) +
        penalty(replica) +
        versionPenalty(prompt.model, version, objective, wait)
      );
    };

    let { replica, cost } = rankByCost(among.length > 0 ? among : candidates, costOf, random);
    if (cost === Number.POSITIVE_INFINITY) ({ replica, cost } = rankByCost(candidates, costOf, random));
    if (cost === Number.POSITIVE_INFINITY) return "old_weights";
    const { id } = replica.entry;
    const version = versionOf(replica);
    const view = viewOf(version);
    const own = view.held.get(id)?.tokens ?? 0;
    const predictedWait = predict(replica);
    const rate = estimates.prefillRate(id);
    const isNewest = configuration.supersededBy(prompt.model, version) === undefined;
    const isLate =
      (tokensAhead(replica, priority) + computedAt(replica)) / estimates.prefillRate(id) > objective;
    return {
      replica,
      home: view.home === id ? undefined : replicas.get(view.home ?? ""),
      weightsVersion: version === 0 ? undefined : version,
      cacheSalt: view.salt,
      fetchFrom: fetchSource(view, id, own),
      sharedParts:
        engine === undefined
          ? undefined
          : describeShared(prompt, view, {
              holders: parts.holders,
              engine,
              store: parts.findStore(view.part),
              isNewest,
              rate,
            }),
      priority: isLate ? leastUrgent : priority,
      outlastsMessageInterval:
        computedAt(replica) / estimates.prefillRate(id) > peerMessageIntervals.shortest,
      awaitedPart: findAwaited(view, (holder) => replicas.get(holder) !== undefined, rate),
      promptTokens: Math.max(0, computedAt(replica)),
      predictedWait,
      queueWait: predictQueue(replica),
    };
  };

  return { choose, shortlist };
};
