/**
 * Chooses the replica for a request: the one whose answer is predicted to start first. Other costs are added as time:
 * old weights, traffic between data centres, copied parts, failures. Used by
 * daemons/forwardingRouter.ts, which forwards requests unchanged.
 */
import type { CallerRequest } from "../../protocol/forwarding/types.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { totalRequests } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import type { Availability } from "../replicaReports/availability.ts";
import { isAvoided } from "../replicaReports/backoff.ts";
import { queriedPlainReplicas } from "../replicaOwners/constants.ts";
import { failurePenaltyShare, remotePenalty } from "../forwarding/constants.ts";
import type { EnginePlacement } from "./enginePlacement.ts";
import { limitPenalty } from "../replicaLimits/constants.ts";
import type { LimitedCandidates, PlacementChoice, PlacementFailure, Shortlist } from "./placementTypes.ts";
import { noQueuedWork } from "./queuedWork.ts";
import { pickRandom } from "./pickRandom.ts";
import { cheapestReplica } from "./cheapestReplica.ts";
import type { ReplicaEstimates } from "../estimates/replicaEstimates.ts";
import type { Admission } from "../forwarding/types.ts";

export interface PlacementDependencies {
  readonly availability: Pick<Availability, "available">;
  readonly estimates: ReplicaEstimates;
  readonly clock: Clock;
  /** This router's data centre. */
  readonly dataCentre: string;
  readonly engines: EnginePlacement;
  /** @returns A random number from 0 to 1. */
  readonly random: () => number;
}

export interface Placement {
  /**
   * @param excluded - Ids of replicas that the request must not go to.
   * @param isWide - Whether to add more replicas, because the usual few would answer too late.
   * @param limited - Which of the replicas with a limit are candidates.
   * @returns The replicas whose owners to query before the choice; empty if there is nothing to choose between.
   */
  readonly shortlist: (
    request: CallerRequest,
    admission: Admission,
    excluded: ReadonlySet<string>,
    isWide: boolean,
    limited: LimitedCandidates,
  ) => Shortlist;
  /**
   * @param excluded - Ids of replicas that the request must not go to.
   * @param among - The replicas to compare; all candidates if `undefined`, or if none of these is a candidate.
   * @param limited - Which of the replicas with a limit are candidates.
   */
  readonly choose: (
    request: CallerRequest,
    admission: Admission,
    excluded: ReadonlySet<string>,
    among: readonly ReplicaState[] | undefined,
    limited: LimitedCandidates,
  ) => PlacementChoice | PlacementFailure;
}

/** Share of a replica's service time that concurrent requests add to it when they fill all its slots. */
const fullSlotsSlowdown = 0.3;

export const createPlacement = (dependencies: PlacementDependencies): Placement => {
  const { availability, estimates, clock, engines } = dependencies;

  const isOpen = (replica: ReplicaState, now: number): boolean =>
    now >= replica.changingUntil && now >= replica.ejectedUntil && !isAvoided(replica, now);

  /** A request that found one replica unavailable doesn't try another that may be unavailable too. */
  const isProven = ({ backoff }: ReplicaState): boolean => backoff === undefined;

  /**
   * @returns The replicas that are open. If there are none, also those that are ejected or asked for backoff; if there
   * are none of these either, also those whose weights are being changed.
   */
  const usable = (service: string, excluded: ReadonlySet<string>): readonly ReplicaState[] => {
    const now = clock.monotonic();
    const available = availability.available(service).filter(({ entry }) => !excluded.has(entry.id));
    const open = available.filter((replica) => isOpen(replica, now));
    const proven = excluded.size > 0 ? open.filter(isProven) : open;
    if (proven.length > 0) return proven;
    if (open.length > 0) return open;
    const failed = available.filter((replica) => now >= replica.changingUntil);
    return failed.length > 0 ? failed : available;
  };

  const isWithinLimit = (replica: ReplicaState, limited: LimitedCandidates, now: number): boolean => {
    if (replica.limit === undefined || limited === "all") return true;
    return limited === "open" && now >= replica.limitedUntil;
  };

  /** Limits are applied last: a request without room at open replicas must not go to a failed one because of it. */
  const candidatesOf = (
    service: string,
    excluded: ReadonlySet<string>,
    limited: LimitedCandidates,
  ): readonly ReplicaState[] => {
    const now = clock.monotonic();
    return usable(service, excluded).filter((replica) => isWithinLimit(replica, limited, now));
  };

  /**
   * The few requests that a limit allows are kept for prompts that gain most there. The penalty decays with the time
   * since the limit was last observed.
   */
  const scarcityOf = ({ limit }: ReplicaState): number => {
    if (limit === undefined) return 0;
    const age = clock.monotonic() - limit.receivedAt;
    return limitPenalty.cost * Math.max(0, 1 - age / limitPenalty.decayTime);
  };

  const isLocal = ({ entry }: ReplicaState): boolean => entry.dataCentre === dependencies.dataCentre;

  const generalPenalty = (replica: ReplicaState, objective: number): number => {
    const remote = isLocal(replica) ? 0 : remotePenalty;
    return remote + scarcityOf(replica) + replica.failureShare * objective * failurePenaltyShare;
  };

  const choosePlain = ({ route }: Admission, candidates: readonly ReplicaState[]): PlacementChoice => {
    const predictCost = (replica: ReplicaState): number => {
      const requests = totalRequests(replica);
      const { slots, id } = replica.entry;
      const serviceTimes =
        1 + Math.max(0, requests + 1 - slots) / slots + (requests / slots) * fullSlotsSlowdown;
      return estimates.serviceTime(id) * serviceTimes + generalPenalty(replica, route.latencyObjective);
    };
    const best = cheapestReplica(candidates, predictCost, dependencies.random);
    return {
      replica: best.replica,
      home: undefined,
      weightsVersion: undefined,
      cacheSalt: undefined,
      fetchFrom: undefined,
      sharedParts: undefined,
      priority: undefined,
      outlastsMessageInterval: false,
      awaitedPart: undefined,
      promptTokens: 0,
      reservedTokens: 0,
      predictedWait: best.cost,
      queueWait: 0,
      queued: noQueuedWork,
    };
  };

  const shortlistPlain = (candidates: readonly ReplicaState[]): Shortlist => ({
    replicas: [
      ...new Set([
        ...pickRandom(candidates.filter(isLocal), queriedPlainReplicas.near, dependencies.random),
        ...pickRandom(candidates, queriedPlainReplicas.others, dependencies.random),
      ]),
    ],
    keys: [],
  });

  return {
    shortlist: ({ prompt }, admission, excluded, isWide, limited) => {
      const candidates = candidatesOf(admission.service.name, excluded, limited);
      if (candidates.length < 2) return { replicas: [], keys: [] };
      if (prompt === undefined || admission.service.engine === undefined) return shortlistPlain(candidates);
      return engines.shortlist(prompt, admission, candidates, isWide);
    },
    choose: ({ prompt }, admission, excluded, preferred, limited) => {
      const candidates = candidatesOf(admission.service.name, excluded, limited);
      if (candidates.length === 0) {
        return usable(admission.service.name, excluded).length === 0 ? "no_replica" : "limited";
      }
      const among = (preferred ?? []).filter((each) => candidates.includes(each));
      if (prompt === undefined || admission.service.engine === undefined) {
        return choosePlain(admission, among.length > 0 ? among : candidates);
      }
      const penalty = (replica: ReplicaState): number =>
        generalPenalty(replica, admission.route.latencyObjective);
      return engines.choose(prompt, admission, candidates, penalty, among);
    },
  };
};
