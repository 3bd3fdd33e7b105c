/** One request's search for a replica that can take it, where replicas report limits. */
import type { LimitedCandidates, PlacementFailure } from "../placement/placementTypes.ts";
import { maxRefusals, maxReservations, reservationWaitShare } from "./constants.ts";

/**
 * Decides after each refusal which replicas a request may still go to. It starts among all replicas, goes on among those
 * without a limit after several refusals, and reserves a grant where there is no other candidate.
 */
export interface GrantSearch {
  /** @returns Which of the replicas with a limit are candidates now. */
  readonly limitedChoice: () => LimitedCandidates;
  /** @returns Replicas to exclude: those that the request was sent to, and those that had no grant for it. */
  readonly excluded: (sentTo: ReadonlySet<string>) => ReadonlySet<string>;
  /**
   * @param left - Time left to the request, milliseconds.
   * @param objective - The latency objective, milliseconds.
   * @returns How long the request may wait for a grant, milliseconds: 0 while there may be room elsewhere.
   */
  readonly maxWait: (left: number, objective: number) => number;
  /** A replica had no grant for the request. */
  readonly noteRefused: (id: string) => void;
  /** Whether the request has tried as many reservations as it may. */
  readonly isExhausted: () => boolean;
  /** Notes that there is no candidate. @returns Whether to search again, among more replicas. */
  readonly widen: (failure: PlacementFailure) => boolean;
  /** Whether the search failed because of limits. */
  readonly wasLimited: () => boolean;
}

/** Creates the search of a request that was not refused yet. */
export const createGrantSearch = (): GrantSearch => {
  const withoutReservation = new Set<string>();
  let limitedChoice: LimitedCandidates = "open";
  let refusals = 0;
  let wasLimited = false;

  return {
    limitedChoice: () => limitedChoice,
    excluded: (sentTo) =>
      withoutReservation.size === 0 ? sentTo : new Set([...sentTo, ...withoutReservation]),
    maxWait: (left, objective) =>
      limitedChoice === "all" ? Math.min(left, objective) * reservationWaitShare : 0,
    noteRefused: (id) => {
      if (limitedChoice === "all") {
        withoutReservation.add(id);
        wasLimited = true;
        return;
      }
      refusals += 1;
      if (refusals >= maxRefusals) limitedChoice = "none";
    },
    isExhausted: () => withoutReservation.size >= maxReservations,
    widen: (failure) => {
      wasLimited = failure === "limited" || withoutReservation.size > 0;
      if (failure === "no_replica" || limitedChoice === "all") return false;
      limitedChoice = "all";
      return true;
    },
    wasLimited: () => wasLimited,
  };
};
