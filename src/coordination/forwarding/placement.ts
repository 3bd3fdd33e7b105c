/**
 * Chooses the replica for a request: the one whose answer is predicted to begin first, with what cannot be
 * undone counted as time: old weights, bytes between data centres, parts copied, failures.
 */
import type { CallerRequest } from "../../protocol/forwarding/types.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { totalRequests } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import type { Availability } from "../replicaReports/availability.ts";
import { isAvoided } from "../replicaReports/backoff.ts";
import { queriedPlainReplicas } from "../replicaOwners/constants.ts";
import { failurePenaltyShare, remotePenalty } from "./constants.ts";
import type { EnginePlacement } from "./enginePlacement.ts";
import { limitPenalty } from "../replicaLimits/constants.ts";
import type { LimitedCandidates, PlacementChoice, PlacementFailure, Shortlist } from "./placementTypes.ts";
import { pickSome } from "./pickRandom.ts";
import { rankByCost } from "./cheapestReplica.ts";
import type { ReplicaEstimates } from "./replicaEstimates.ts";
import type { Admission } from "./types.ts";

/** What placement works with. */
export interface PlacementParts {
  readonly availability: Pick<Availability, "available">;
  readonly estimates: ReplicaEstimates;
  readonly clock: Clock;
  /** This router's data centre. */
  readonly dataCentre: string;
  readonly engines: EnginePlacement;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** See {@link createPlacement}. */
export interface Placement {
  /**
   * @param excluded - Ids of replicas that the request was sent to already.
   * @param isWide - Whether to ask about more: the few would answer too late.
   * @param limited - Which of the replicas with a limit come into question.
   */
  readonly shortlist: (
    request: CallerRequest,
    admission: Admission,
    excluded: ReadonlySet<string>,
    isWide: boolean,
    limited: LimitedCandidates,
  ) => Shortlist;
  /**
   * @param excluded - Ids of replicas that the request was sent to already.
   * @param among - The replicas to compare; all if it is left out, or if none of them is a candidate.
   * @param limited - Which of the replicas with a limit come into question.
   */
  readonly choose: (
    request: CallerRequest,
    admission: Admission,
    excluded: ReadonlySet<string>,
    among: readonly ReplicaState[] | undefined,
    limited: LimitedCandidates,
  ) => PlacementChoice | PlacementFailure;
}

/** How much of a replica's service time the requests beside one add to it, at most. */
const crowding = 0.3;

/** Creates a placement. */
export const createPlacement = (parts: PlacementParts): Placement => {
  const { availability, estimates, clock, engines } = parts;

  const isOpen = (replica: ReplicaState, now: number): boolean =>
    now >= replica.changingUntil && now >= replica.ejectedUntil && !isAvoided(replica, now);

  /** A request that found one replica unavailable doesn't try another that may be so too. */
  const isProven = ({ backoff }: ReplicaState): boolean => backoff === undefined;

  /** Those that are open; if there are none, those that only failed, then those that are being changed. */
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

  /** What others have no room for doesn't go to a replica that failed because a limit leaves no other. */
  const candidatesOf = (
    service: string,
    excluded: ReadonlySet<string>,
    limited: LimitedCandidates,
  ): readonly ReplicaState[] => {
    const now = clock.monotonic();
    return usable(service, excluded).filter((replica) => isWithinLimit(replica, limited, now));
  };

  /** The few requests that a limit allows go where they gain most, as long as the limit was heard of just now. */
  const scarcityOf = ({ limit }: ReplicaState): number => {
    if (limit === undefined) return 0;
    const age = clock.monotonic() - limit.receivedAt;
    return limitPenalty.cost * Math.max(0, 1 - age / limitPenalty.decayTime);
  };

  const isNear = ({ entry }: ReplicaState): boolean => entry.dataCentre === parts.dataCentre;

  const generalPenalty = (replica: ReplicaState, objective: number): number => {
    const remote = isNear(replica) ? 0 : remotePenalty;
    return remote + scarcityOf(replica) + replica.failureShare * objective * failurePenaltyShare;
  };

  const choosePlain = ({ route }: Admission, candidates: readonly ReplicaState[]): PlacementChoice => {
    const predict = (replica: ReplicaState): number => {
      const requests = totalRequests(replica);
      const { slots, id } = replica.entry;
      const turns = 1 + Math.max(0, requests + 1 - slots) / slots + (requests / slots) * crowding;
      return estimates.serviceTime(id) * turns + generalPenalty(replica, route.latencyObjective);
    };
    const best = rankByCost(candidates, predict, parts.random);
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
      predictedWait: best.cost,
      queueWait: 0,
    };
  };

  const shortlistPlain = (candidates: readonly ReplicaState[]): Shortlist => ({
    replicas: [
      ...new Set([
        ...pickSome(candidates.filter(isNear), queriedPlainReplicas.near, parts.random),
        ...pickSome(candidates, queriedPlainReplicas.others, parts.random),
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
    choose: ({ prompt }, admission, excluded, wanted, limited) => {
      const candidates = candidatesOf(admission.service.name, excluded, limited);
      if (candidates.length === 0) {
        return usable(admission.service.name, excluded).length === 0 ? "no_replica" : "limited";
      }
      const among = (wanted ?? []).filter((each) => candidates.includes(each));
      if (prompt === undefined || admission.service.engine === undefined) {
        return choosePlain(admission, among.length > 0 ? among : candidates);
      }
      const penalty = (replica: ReplicaState): number =>
        generalPenalty(replica, admission.route.latencyObjective);
      return engines.choose(prompt, admission, candidates, penalty, among);
    },
  };
};
