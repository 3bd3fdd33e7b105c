/**
 * Tracks which traits of requests were in flight at replicas that crashed, and have not been answered since. Several
 * requests, each with several traits, are in flight at a crash, and one trait of one of them is the cause: once it is
 * quarantined, that crash counts against no other.
 */
import type { Suspect } from "../../protocol/forwarding/crashMessage.ts";
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { TraitKind } from "../../protocol/forwarding/requestTrait.ts";
import { traitKinds } from "../../protocol/forwarding/requestTrait.ts";
import { crashThresholds, maxSuspects, provenThresholdIncrease, simultaneousCrashes } from "./constants.ts";

export interface CrashEvidence {
  readonly isEmpty: () => boolean;
  /**
   * Records the traits that were in flight at a replica when it crashed. The same trait and replica count once.
   *
   * @param at - When the crash became known here, milliseconds on the monotonic clock.
   * @param isOwn - Whether they were in flight from this router.
   */
  readonly note: (replica: string, suspects: readonly Suspect[], at: number, isOwn: boolean) => void;
  readonly isSuspected: (fingerprint: Fingerprint) => boolean;
  /** @returns Whether this router had the trait in flight at one of the crashes. */
  readonly isOwn: (fingerprint: Fingerprint) => boolean;
  /**
   * @returns Whether a trait that is not quarantined has reached the threshold for it, and at least one of its crashes
   * is not explained by another quarantined trait. Of two causes at the same replicas, the second is therefore found at
   * its next crash.
   */
  readonly isUndecided: (fingerprint: Fingerprint) => boolean;
  /** @returns The kind of a suspected trait. */
  readonly kindOf: (fingerprint: Fingerprint) => TraitKind;
  /** @returns The number of replicas that crashed with the trait in flight. */
  readonly crashesOf: (fingerprint: Fingerprint) => number;
  /** @returns Whether a crash with the trait in flight is not explained by a quarantined one. */
  readonly hasUnexplained: (fingerprint: Fingerprint) => boolean;
  /** Forgets a trait, for example once it has been answered. */
  readonly clear: (fingerprint: Fingerprint) => void;
  /** Forgets the crashes with a trait in flight, also for all other traits that were in flight there. */
  readonly forgetCrashes: (fingerprint: Fingerprint) => void;
  /** @returns The likeliest cause that is not quarantined yet; `undefined` if there is none. */
  readonly likeliestCause: () => Fingerprint | undefined;
  /**
   * @returns The quarantined traits of which every crash is one of the cause's as well, while the cause has more: they
   * were in flight beside it.
   */
  readonly explainedBy: (cause: Fingerprint) => readonly Fingerprint[];
}

/** One crash with a trait in flight. */
interface TraitCrash {
  readonly at: number;
  /** Whether the answer had begun. */
  readonly hasBegun: boolean;
}

interface SuspectRecord {
  readonly kind: TraitKind;
  isProven: boolean;
  readonly crashes: Map<string, TraitCrash>;
}

/**
 * Counts crashes that happen at once as one: a power failure or a kill of many replicas has every popular trait in
 * flight, whereas each request with a crashing trait ends one replica, at its own time.
 */
const countSeparate = (crashes: Iterable<TraitCrash>): number => {
  let count = 0;
  let groupAt = Number.NEGATIVE_INFINITY;
  for (const at of Array.from(crashes, (crash) => crash.at).sort((left, right) => left - right)) {
    if (at - groupAt < simultaneousCrashes) continue;
    count += 1;
    groupAt = at;
  }
  return count;
};

const hasReachedThreshold = ({ kind, isProven, crashes }: SuspectRecord): boolean => {
  const threshold = crashThresholds[kind];
  if (kind === "content") return crashes.size >= threshold;
  if (crashes.size < threshold) return false;
  return countSeparate(crashes.values()) >= threshold + (isProven ? provenThresholdIncrease : 0);
};

/** What ranks one suspect above another, the most decisive first: compared in order, the higher is likelier. */
const rankOf = ({ kind, isProven }: SuspectRecord, unexplained: readonly TraitCrash[]): readonly number[] => [
  unexplained.length,
  isProven ? 0 : 1,
  -unexplained.filter(({ hasBegun }) => hasBegun).length,
  -traitKinds.indexOf(kind),
];

const isHigher = (left: readonly number[], right: readonly number[]): boolean => {
  const index = left.findIndex((value, at) => value !== right[at]);
  return index !== -1 && (left[index] ?? 0) > (right[index] ?? 0);
};

/** @param isQuarantined - Whether a trait is quarantined. */
export const createCrashEvidence = (isQuarantined: (fingerprint: Fingerprint) => boolean): CrashEvidence => {
  /** Ordered by the newest crash of each trait, oldest first. */
  const records = new Map<Fingerprint, SuspectRecord>();
  const byReplica = new Map<string, Set<Fingerprint>>();
  const own = new Set<Fingerprint>();

  const clear = (fingerprint: Fingerprint): void => {
    for (const replica of records.get(fingerprint)?.crashes.keys() ?? []) {
      const suspects = byReplica.get(replica);
      suspects?.delete(fingerprint);
      if (suspects?.size === 0) byReplica.delete(replica);
    }
    records.delete(fingerprint);
    own.delete(fingerprint);
  };

  const forgetCrash = (replica: string): void => {
    for (const fingerprint of byReplica.get(replica) ?? []) {
      const record = records.get(fingerprint);
      record?.crashes.delete(replica);
      if (record?.crashes.size === 0) clear(fingerprint);
    }
    byReplica.delete(replica);
  };

  const dropOldest = (): void => {
    const oldest = records.keys().next();
    if (records.size > maxSuspects && oldest.done !== true) clear(oldest.value);
  };

  const add = (replica: string, { kind, fingerprint, hasBegun, isProven }: Suspect, at: number): void => {
    const record = records.get(fingerprint) ?? { kind, isProven, crashes: new Map<string, TraitCrash>() };
    record.isProven ||= isProven;
    const known = record.crashes.get(replica);
    record.crashes.set(replica, { at: known?.at ?? at, hasBegun: hasBegun || known?.hasBegun === true });
    records.delete(fingerprint);
    records.set(fingerprint, record);
    const suspects = byReplica.get(replica) ?? new Set<Fingerprint>();
    suspects.add(fingerprint);
    byReplica.set(replica, suspects);
    dropOldest();
  };

  const crashesOf = (fingerprint: Fingerprint): number => records.get(fingerprint)?.crashes.size ?? 0;

  const isExplained = (replica: string, fingerprint: Fingerprint): boolean => {
    for (const other of byReplica.get(replica) ?? []) {
      if (other !== fingerprint && isQuarantined(other)) return true;
    }
    return false;
  };

  /** @returns The crashes that no quarantined trait explains. */
  const unexplained = (fingerprint: Fingerprint): readonly TraitCrash[] =>
    [...(records.get(fingerprint)?.crashes ?? [])]
      .filter(([replica]) => !isExplained(replica, fingerprint))
      .map(([, crash]) => crash);

  const hasUnexplained = (fingerprint: Fingerprint): boolean => unexplained(fingerprint).length > 0;

  return {
    isEmpty: () => records.size === 0,
    note: (replica, suspects, at, isOwn) => {
      for (const suspect of suspects) {
        add(replica, suspect, at);
        if (isOwn) own.add(suspect.fingerprint);
      }
    },
    isOwn: (fingerprint) => own.has(fingerprint),
    isSuspected: (fingerprint) => records.has(fingerprint),
    isUndecided: (fingerprint) => {
      const record = records.get(fingerprint);
      if (record === undefined || isQuarantined(fingerprint)) return false;
      return hasReachedThreshold(record) && hasUnexplained(fingerprint);
    },
    kindOf: (fingerprint) => records.get(fingerprint)?.kind ?? "content",
    crashesOf,
    hasUnexplained,
    clear,
    forgetCrashes: (fingerprint) =>
      [...(records.get(fingerprint)?.crashes.keys() ?? [])].forEach(forgetCrash),
    likeliestCause: () => {
      let likeliest: { readonly fingerprint: Fingerprint; readonly rank: readonly number[] } | undefined;
      for (const [fingerprint, record] of records) {
        if (isQuarantined(fingerprint) || !hasReachedThreshold(record)) continue;
        const open = unexplained(fingerprint);
        if (open.length === 0) continue;
        const rank = rankOf(record, open);
        if (likeliest === undefined || isHigher(rank, likeliest.rank)) likeliest = { fingerprint, rank };
      }
      return likeliest?.fingerprint;
    },
    explainedBy: (cause) => {
      const causeCrashes = records.get(cause)?.crashes;
      if (causeCrashes === undefined) return [];
      return [...records]
        .filter(([fingerprint]) => fingerprint !== cause && isQuarantined(fingerprint))
        .filter(([, { crashes }]) => crashes.size < causeCrashes.size)
        .filter(([, { crashes }]) => [...crashes.keys()].every((replica) => causeCrashes.has(replica)))
        .map(([fingerprint]) => fingerprint);
    },
  };
};
