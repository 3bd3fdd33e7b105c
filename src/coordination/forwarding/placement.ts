/**
 * Chooses the replica for a request: the one whose answer is predicted to begin first, with what cannot be
 * undone counted as time: old weights, bytes between data centres, parts copied, failures.
 */
import type { CallerRequest } from "../../protocol/forwarding/types.ts";
import type { ReplicaState, ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { totalRequests } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import { askedPlain } from "../replicaOwners/constants.ts";
import { failurePenaltyShare, remotePenalty } from "./constants.ts";
import type { EnginePlacement } from "./enginePlacement.ts";
import type { PlacementChoice, PlacementFailure, Shortlist } from "./placementTypes.ts";
import { pickSome } from "./pickSome.ts";
import { rankByCost } from "./rankByCost.ts";
import type { ReplicaEstimates } from "./replicaEstimates.ts";
import type { Admission } from "./types.ts";

/** What placement works with. */
export interface PlacementParts {
  readonly replicas: ReplicaTable;
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
   */
  readonly shortlist: (
    request: CallerRequest,
    admission: Admission,
    excluded: ReadonlySet<string>,
    isWide: boolean,
  ) => Shortlist;
  /**
   * @param excluded - Ids of replicas that the request was sent to already.
   * @param among - The replicas to compare; all if it is left out, or if none of them is a candidate.
   */
  readonly choose: (
    request: CallerRequest,
    admission: Admission,
    excluded: ReadonlySet<string>,
    among?: readonly ReplicaState[],
  ) => PlacementChoice | PlacementFailure;
}

/** How much of a replica's service time the requests beside one add to it, at most. */
const crowding = 0.3;

/** Creates a placement. */
export const createPlacement = (parts: PlacementParts): Placement => {
  const { replicas, estimates, clock, engines } = parts;

  const isOpen = (replica: ReplicaState, now: number): boolean =>
    now >= replica.changingUntil && now >= replica.ejectedUntil;

  /** Those that are open; if there are none, those that only failed, then those that are being changed. */
  const candidatesOf = (service: string, excluded: ReadonlySet<string>): readonly ReplicaState[] => {
    const now = clock.monotonic();
    const serving = replicas.serving(service).filter(({ entry }) => !excluded.has(entry.id));
    const open = serving.filter((replica) => isOpen(replica, now));
    if (open.length > 0) return open;
    const failed = serving.filter((replica) => now >= replica.changingUntil);
    return failed.length > 0 ? failed : serving;
  };

  const isNear = ({ entry }: ReplicaState): boolean => entry.dataCentre === parts.dataCentre;

  const generalPenalty = (replica: ReplicaState, objective: number): number => {
    const remote = isNear(replica) ? 0 : remotePenalty;
    return remote + replica.failureShare * objective * failurePenaltyShare;
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
      directory: undefined,
      weightsVersion: undefined,
      cacheSalt: undefined,
      fetchFrom: undefined,
      shared: undefined,
      priority: undefined,
      outlastsMessages: false,
      awaitedPart: undefined,
      promptTokens: 0,
      predictedWait: best.cost,
      queueWait: 0,
    };
  };

  const shortlistPlain = (candidates: readonly ReplicaState[]): Shortlist => ({
    replicas: [
      ...new Set([
        ...pickSome(candidates.filter(isNear), askedPlain.near, parts.random),
        ...pickSome(candidates, askedPlain.others, parts.random),
      ]),
    ],
    keys: [],
  });

  return {
    shortlist: ({ prompt }, admission, excluded, isWide) => {
      const candidates = candidatesOf(admission.service.name, excluded);
      if (candidates.length < 2) return { replicas: [], keys: [] };
      if (prompt === undefined || admission.service.engine === undefined) return shortlistPlain(candidates);
      return engines.shortlist(prompt, admission, candidates, isWide);
    },
    choose: ({ prompt }, admission, excluded, wanted = []) => {
      const candidates = candidatesOf(admission.service.name, excluded);
      if (candidates.length === 0) return "no_replica";
      const among = wanted.filter((each) => candidates.includes(each));
      if (prompt === undefined || admission.service.engine === undefined) {
        return choosePlain(admission, among.length > 0 ? among : candidates);
      }
      const penalty = (replica: ReplicaState): number =>
        generalPenalty(replica, admission.route.latencyObjective);
      return engines.choose(prompt, admission, candidates, penalty, among);
    },
  };
};
