/** One request's search for a replica that has room for it, where replicas name limits. */
import type { LimitedCandidates, PlacementFailure } from "../forwarding/placementTypes.ts";
import { bookingShare, mostBookings, mostRefusals } from "./constants.ts";

/** See {@link createGrantSearch}. */
export interface GrantSearch {
  /** Which of the replicas with a limit come into question now. */
  readonly limitedChoice: () => LimitedCandidates;
  /** @returns Replicas that are left out: those that it was sent to, and those that had no turn for it. */
  readonly excluded: (sentTo: ReadonlySet<string>) => ReadonlySet<string>;
  /** How long it may wait for a turn, milliseconds: not at all while there may be room elsewhere. */
  readonly maxWait: (left: number, objective: number) => number;
  /** A replica had no turn for it. */
  readonly noteRefused: (id: string) => void;
  /** Whether it has asked for as many turns as are worth asking for. */
  readonly isExhausted: () => boolean;
  /** There is no candidate. @returns Whether to look again, among more. */
  readonly widen: (failure: PlacementFailure) => boolean;
  /** Whether it found none because of limits. */
  readonly wasLimited: () => boolean;
}

/** Creates a search that has looked nowhere. */
export const createGrantSearch = (): GrantSearch => {
  const withoutTurn = new Set<string>();
  let limited: LimitedCandidates = "open";
  let refusals = 0;
  let wasLimited = false;

  return {
    limitedChoice: () => limited,
    excluded: (sentTo) => (withoutTurn.size === 0 ? sentTo : new Set([...sentTo, ...withoutTurn])),
    maxWait: (left, objective) => (limited === "all" ? Math.min(left, objective) * bookingShare : 0),
    noteRefused: (id) => {
      if (limited === "all") {
        withoutTurn.add(id);
        wasLimited = true;
        return;
      }
      refusals += 1;
      if (refusals >= mostRefusals) limited = "none";
    },
    isExhausted: () => withoutTurn.size >= mostBookings,
    widen: (failure) => {
      wasLimited = failure === "limited" || withoutTurn.size > 0;
      if (failure === "no_replica" || limited === "all") return false;
      limited = "all";
      return true;
    },
    wasLimited: () => wasLimited,
  };
};
