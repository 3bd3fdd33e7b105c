/** Chooses the router that a request is passed on to. */
import type { RelayTarget } from "../../protocol/forwarding/RelayClient.ts";
import type { Clock } from "../clock.ts";
import { avoidanceTime, avoidedPenalty, farPenalty } from "./constants.ts";

/** A router that may take requests on. */
export interface RelayCandidate extends RelayTarget {
  /** Whether it is in the data centre of this router. */
  readonly isNear: boolean;
}

export interface RelayTargetsDependencies {
  /** @returns The live routers that report paths to replicas. */
  readonly candidates: () => readonly RelayCandidate[];
  readonly clock: Clock;
  /** @returns A number from 0 to 1. */
  readonly random: () => number;
}

export interface RelayTargets {
  /**
   * @param excluded - Incarnations of the routers that were tried already.
   * @returns The router with the fewest requests of this one; `undefined` if there is none.
   */
  readonly choose: (excluded: ReadonlySet<string>) => RelayCandidate | undefined;
  /** Counts a request at a router. @returns Ends it. */
  readonly begin: (target: RelayTarget) => () => void;
  /** Prefers other routers for a while. */
  readonly avoid: (target: RelayTarget) => void;
}

/** Creates the choice between other routers. */
export const createRelayTargets = ({ candidates, clock, random }: RelayTargetsDependencies): RelayTargets => {
  /** By incarnation. */
  const requests = new Map<string, number>();
  const avoidedUntil = new Map<string, number>();

  const isAvoided = ({ incarnation }: RelayTarget): boolean => {
    const until = avoidedUntil.get(incarnation);
    if (until === undefined) return false;
    if (clock.monotonic() < until) return true;
    avoidedUntil.delete(incarnation);
    return false;
  };

  const costOf = (candidate: RelayCandidate): number =>
    (requests.get(candidate.incarnation) ?? 0) +
    (candidate.isNear ? 0 : farPenalty) +
    (isAvoided(candidate) ? avoidedPenalty : 0) +
    random();

  return {
    choose: (excluded) => {
      const [cheapest] = candidates()
        .filter(({ incarnation }) => !excluded.has(incarnation))
        .map((candidate) => ({ candidate, cost: costOf(candidate) }))
        .sort((left, right) => left.cost - right.cost);
      return cheapest?.candidate;
    },
    begin: ({ incarnation }) => {
      requests.set(incarnation, (requests.get(incarnation) ?? 0) + 1);
      let isOpen = true;
      return () => {
        if (!isOpen) return;
        isOpen = false;
        const left = (requests.get(incarnation) ?? 1) - 1;
        if (left > 0) requests.set(incarnation, left);
        else requests.delete(incarnation);
      };
    },
    avoid: ({ incarnation }) => {
      avoidedUntil.set(incarnation, clock.monotonic() + avoidanceTime);
    },
  };
};
