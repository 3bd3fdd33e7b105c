/**
 * Which requests were in flight at replicas when these crashed, without an answer since. One of several that were at
 * the same replicas is the cause: once one is held back for a crash, that crash counts against no other.
 */
import type { Suspect } from "../../protocol/forwarding/crashMessage.ts";
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import { mostCrashes, mostSuspects } from "./constants.ts";

/** See {@link createCrashEvidence}. */
export interface CrashEvidence {
  readonly isEmpty: () => boolean;
  /**
   * Requests were in flight at a replica when it crashed; one that is known already counts once.
   *
   * @param isOwn - At this router.
   */
  readonly note: (replica: string, suspects: readonly Suspect[], isOwn: boolean) => void;
  readonly isSuspected: (fingerprint: Fingerprint) => boolean;
  /** @returns Whether this router had it in flight at one of the crashes. */
  readonly isOwn: (fingerprint: Fingerprint) => boolean;
  /**
   * @returns Whether a request was at so many crashes that it is to be held back, one of them at least with none in
   * flight that is held back already: of two causes at the same replicas the second shows itself at the next crash.
   */
  readonly isCause: (fingerprint: Fingerprint) => boolean;
  /** @returns At how many replicas it was when they crashed. */
  readonly crashesOf: (fingerprint: Fingerprint) => number;
  /** It was answered, or is forgotten. */
  readonly clear: (fingerprint: Fingerprint) => void;
  /** @returns The likeliest of the causes that are not held back yet; nothing if there is none. */
  readonly likeliestCause: () => Fingerprint | undefined;
}

/** By replica: whether its answer had begun. */
type Crashes = Map<string, boolean>;

/** @param isHeld - Whether a request is held back. */
export const createCrashEvidence = (isHeld: (fingerprint: Fingerprint) => boolean): CrashEvidence => {
  /** The one of the newest crash comes last. */
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
    if (crashes.size > mostSuspects && oldest.done !== true) clear(oldest.value);
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
      if (other !== fingerprint && isHeld(other)) return true;
    }
    return false;
  };

  const unexplained = (fingerprint: Fingerprint): readonly boolean[] => {
    const known = [...(crashes.get(fingerprint) ?? [])];
    return known.filter(([replica]) => !isExplained(replica, fingerprint)).map(([, hasBegun]) => hasBegun);
  };

  /** More crashes speak against a request, and answers that had begun for it. */
  const rank = (found: readonly boolean[]): number =>
    found.length - found.filter(Boolean).length / (found.length + 1);

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
    isCause: (fingerprint) => crashesOf(fingerprint) >= mostCrashes && unexplained(fingerprint).length > 0,
    crashesOf,
    clear,
    likeliestCause: () => {
      let likeliest: { readonly fingerprint: Fingerprint; readonly rank: number } | undefined;
      for (const [fingerprint, { size }] of crashes) {
        if (size < mostCrashes || isHeld(fingerprint)) continue;
        const found = unexplained(fingerprint);
        if (rank(found) <= (likeliest?.rank ?? 0)) continue;
        likeliest = { fingerprint, rank: rank(found) };
      }
      return likeliest?.fingerprint;
    },
  };
};
