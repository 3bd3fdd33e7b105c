/**
 * Tracks which requests were in flight at replicas that crashed, and have not been answered since. Of several requests
 * in flight at the same crash one is the cause: once one of them is quarantined, that crash counts against no other.
 */
import type { Suspect } from "../../protocol/forwarding/crashMessage.ts";
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import { crashThreshold, maxSuspects } from "./constants.ts";

export interface CrashEvidence {
  readonly isEmpty: () => boolean;
  /**
   * Records the requests that were in flight at a replica when it crashed. The same request and replica count once.
   *
   * @param isOwn - Whether they were in flight from this router.
   */
  readonly note: (replica: string, suspects: readonly Suspect[], isOwn: boolean) => void;
  readonly isSuspected: (fingerprint: Fingerprint) => boolean;
  /** @returns Whether this router had the request in flight at one of the crashes. */
  readonly isOwn: (fingerprint: Fingerprint) => boolean;
  /**
   * @returns Whether a request has reached the threshold for quarantine, and at least one of its crashes is not
   * explained by another quarantined request. Of two causes at the same replicas, the second is therefore found at
   * its next crash.
   */
  readonly isCause: (fingerprint: Fingerprint) => boolean;
  /** @returns The number of replicas that crashed with the request in flight. */
  readonly crashesOf: (fingerprint: Fingerprint) => number;
  /** Forgets a request, for example once it has been answered. */
  readonly clear: (fingerprint: Fingerprint) => void;
  /** @returns The likeliest cause that is not quarantined yet; `undefined` if there is none. */
  readonly likeliestCause: () => Fingerprint | undefined;
}

/** By replica: whether the answer had begun. */
type Crashes = Map<string, boolean>;

/** @param isQuarantined - Whether a request is quarantined. */
export const createCrashEvidence = (isQuarantined: (fingerprint: Fingerprint) => boolean): CrashEvidence => {
  /** Ordered by the newest crash of each request, oldest first. */
  const crashes = new Map<Fingerprint, Crashes>();
  const byReplica = new Map<string, Set<Fingerprint>>();
  const own = new Set<Fingerprint>();

  const clear = (fingerprint: Fingerprint): void => {
    for (const replica of crashes.get(fingerprint)?.keys() ?? []) {
      const suspects = byReplica.get(replica);
      suspects?.delete(fingerprint);
      if (suspects?.size === 0) byReplica.delete(replica);
    }
    crashes.delete(fingerprint);
    own.delete(fingerprint);
  };

  const dropOldest = (): void => {
    const oldest = crashes.keys().next();
    if (crashes.size > maxSuspects && oldest.done !== true) clear(oldest.value);
  };

  const add = (replica: string, { fingerprint, hasBegun }: Suspect): void => {
    const known = crashes.get(fingerprint) ?? new Map<string, boolean>();
    known.set(replica, hasBegun || known.get(replica) === true);
    crashes.delete(fingerprint);
    crashes.set(fingerprint, known);
    const suspects = byReplica.get(replica) ?? new Set<Fingerprint>();
    suspects.add(fingerprint);
    byReplica.set(replica, suspects);
    dropOldest();
  };

  const crashesOf = (fingerprint: Fingerprint): number => crashes.get(fingerprint)?.size ?? 0;

  const isExplained = (replica: string, fingerprint: Fingerprint): boolean => {
    for (const other of byReplica.get(replica) ?? []) {
      if (other !== fingerprint && isQuarantined(other)) return true;
    }
    return false;
  };

  /** @returns For each crash that no quarantined request explains: whether the answer had begun. */
  const unexplained = (fingerprint: Fingerprint): readonly boolean[] => {
    const known = [...(crashes.get(fingerprint) ?? [])];
    return known.filter(([replica]) => !isExplained(replica, fingerprint)).map(([, hasBegun]) => hasBegun);
  };

  /** A request with more crashes ranks higher; among equals, one with fewer answers that had begun. */
  const rank = (begun: readonly boolean[]): number =>
    begun.length - begun.filter(Boolean).length / (begun.length + 1);

  return {
    isEmpty: () => crashes.size === 0,
    note: (replica, suspects, isOwn) => {
      for (const suspect of suspects) {
        add(replica, suspect);
        if (isOwn) own.add(suspect.fingerprint);
      }
    },
    isOwn: (fingerprint) => own.has(fingerprint),
    isSuspected: (fingerprint) => crashes.has(fingerprint),
    isCause: (fingerprint) => crashesOf(fingerprint) >= crashThreshold && unexplained(fingerprint).length > 0,
    crashesOf,
    clear,
    likeliestCause: () => {
      let likeliest: { readonly fingerprint: Fingerprint; readonly rank: number } | undefined;
      for (const [fingerprint, { size }] of crashes) {
        if (size < crashThreshold || isQuarantined(fingerprint)) continue;
        const begun = unexplained(fingerprint);
        if (rank(begun) <= (likeliest?.rank ?? 0)) continue;
        likeliest = { fingerprint, rank: rank(begun) };
      }
      return likeliest?.fingerprint;
    },
  };
};
