/**
 * Chooses the replica for a request: the one whose answer is predicted to begin first, with what cannot be
 * undone counted as time: old weights, bytes between data centres, parts copied, failures.
 */
import type { CallerRequest } from "../../protocol/forwarding/types.ts";
import type { ReplicaState, ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { totalRequests } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import {
  failurePenaltyShare,
  longestStalePenaltyShare,
  remotePenalty,
  staleWorkPenaltyShare,
} from "./constants.ts";
import type { EnginePlacement } from "./enginePlacement.ts";
import type { SharedParts } from "./partSaving.ts";
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
  /** How old what is known of work from other data centres may be beyond what is usual, milliseconds. */
  readonly farDelay: () => number;
  readonly engines: EnginePlacement;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** A replica for a request, with what it is to be told. */
export interface PlacementChoice {
  readonly replica: ReplicaState;
  readonly weightsVersion: number | undefined;
  readonly cacheSalt: string | undefined;
  readonly fetchFrom: string | undefined;
  /** What saving its prompt's parts is decided by; nothing where there is no such decision. */
  readonly shared: SharedParts | undefined;
  /** For engines: 0 is the most urgent. */
  readonly priority: number | undefined;
  /** Its prompt takes longer than the time between two messages to peers. */
  readonly outlastsMessages: boolean;
  /** The key of a prompt part that an engine is computing, and that is worth waiting for. */
  readonly awaitedPart: number | undefined;
  /** Prompt tokens that it is expected to compute. */
  readonly promptTokens: number;
  /** Predicted time to the beginning of the answer, milliseconds. */
  readonly predictedWait: number;
  /** The part of it that passes before the replica begins with the request. */
  readonly queueWait: number;
}

/** Why there is no choice. */
export type PlacementFailure = "no_replica" | "old_weights";

/** See {@link createPlacement}. */
export interface Placement {
  /** @param excluded - Ids of replicas that the request was sent to already. */
  readonly choose: (
    request: CallerRequest,
    admission: Admission,
    excluded: ReadonlySet<string>,
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

  /** Routers that all see the same idle replica far away, and not one another's work there, would flood it. */
  const remoteCost = (objective: number): number =>
    remotePenalty + Math.min(parts.farDelay() * staleWorkPenaltyShare, objective * longestStalePenaltyShare);

  const generalPenalty = (replica: ReplicaState, objective: number): number => {
    const remote = replica.entry.dataCentre === parts.dataCentre ? 0 : remoteCost(objective);
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

  return {
    choose: ({ prompt }, admission, excluded) => {
      const candidates = candidatesOf(admission.service.name, excluded);
      if (candidates.length === 0) return "no_replica";
      if (prompt === undefined || admission.service.engine === undefined) {
        return choosePlain(admission, candidates);
      }
      const penalty = (replica: ReplicaState): number =>
        generalPenalty(replica, admission.route.latencyObjective);
      return engines.choose(prompt, admission, candidates, penalty);
    },
  };
};
