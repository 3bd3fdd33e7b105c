/** The traits of requests that a router sends to no replica, since they crash the replicas that run them. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { RequestTrait } from "../../protocol/forwarding/requestTrait.ts";
import type { QuarantineRecord } from "../../protocol/forwarding/types.ts";
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { StoreEpoch } from "../../protocol/storeEpoch.ts";
import type { Clock } from "../clock.ts";
import { maxQuarantined, maxTrials, quarantineDurations, trialDelays } from "./constants.ts";

/** A quarantined trait. Times are milliseconds on the monotonic clock. */
export interface Quarantined {
  /** When this router learned of the quarantine. */
  readonly since: number;
  /** Whether this router had such a request in flight at a replica that crashed. */
  readonly isOwn: boolean;
  record: QuarantineRecord;
  /** No trial begins before this time. */
  trialFrom: number;
  /** The epoch in which the platform's store accepted the record; `undefined` if it has not. */
  recordedIn: StoreEpoch | undefined;
}

export interface QuarantinedTraits {
  readonly size: () => number;
  readonly get: (fingerprint: Fingerprint) => Quarantined | undefined;
  readonly has: (fingerprint: Fingerprint) => boolean;
  readonly entries: () => readonly (readonly [Fingerprint, Quarantined])[];
  /** @returns All quarantined traits. */
  readonly traits: () => readonly RequestTrait[];
  /** @returns Whether the trait was not quarantined before. */
  readonly add: (trait: RequestTrait, isOwn: boolean) => boolean;
  readonly remove: (fingerprint: Fingerprint) => void;
  /**
   * Applies a record of the store. Of several routers that record the same trial, only the first gets it.
   *
   * @param epoch - The epoch in which the store has the record.
   */
  readonly applyRecord: (fingerprint: Fingerprint, record: QuarantineRecord, epoch: StoreEpoch) => void;
  readonly isTrialDue: (fingerprint: Fingerprint) => boolean;
  /** @returns Whether a quarantine has lasted its full duration. */
  readonly hasExpired: (fingerprint: Fingerprint) => boolean;
  /** @returns Milliseconds until the next trial is due, or until the quarantine ends after the last one. */
  readonly untilChange: (fingerprint: Fingerprint) => number;
  /** @returns 32 bits, the same at all routers with the same quarantined traits; 0 if there are none. */
  readonly digest: () => number;
}

const trialsOf = ({ record }: Quarantined): number => record.trials;

/** Creates an empty list. */
export const createQuarantinedTraits = (clock: Clock): QuarantinedTraits => {
  /** Ordered by time of quarantine, oldest first. */
  const quarantined = new Map<Fingerprint, Quarantined>();

  /** A part is quarantined for all callers after it was for one: the trials of both count together. */
  const countEarlierTrials = ({ kind, name }: RequestTrait): number => {
    if (kind !== "part") return 0;
    const narrower = [...quarantined.values()].filter(({ record }) => record.kind === "callerPart");
    return Math.max(0, ...narrower.filter(({ record }) => record.name === name).map(trialsOf));
  };

  const add = (trait: RequestTrait, isOwn: boolean): boolean => {
    const { fingerprint, kind, name } = trait;
    if (quarantined.has(fingerprint)) return false;
    const since = clock.monotonic();
    const trials = countEarlierTrials(trait);
    const trialFrom = since + (trials === 0 ? trialDelays.first : trialDelays.next);
    const record: QuarantineRecord = { kind, name, trials, trial: "" };
    quarantined.set(fingerprint, { since, isOwn, record, trialFrom, recordedIn: undefined });
    const oldest = quarantined.keys().next();
    if (quarantined.size > maxQuarantined && oldest.done !== true) quarantined.delete(oldest.value);
    return true;
  };

  const applyTrial = (known: Quarantined, record: QuarantineRecord): void => {
    known.record = record;
    known.trialFrom = clock.monotonic() + trialDelays.next;
  };

  const untilChange = (fingerprint: Fingerprint): number => {
    const known = quarantined.get(fingerprint);
    if (known === undefined) return 0;
    const changesAt =
      known.record.trials < maxTrials
        ? known.trialFrom
        : known.since + quarantineDurations[known.record.kind];
    return Math.max(0, changesAt - clock.monotonic());
  };

  return {
    size: () => quarantined.size,
    get: (fingerprint) => quarantined.get(fingerprint),
    has: (fingerprint) => quarantined.has(fingerprint),
    entries: () => [...quarantined],
    traits: () =>
      [...quarantined].map(
        ([
          fingerprint,
          {
            record: { kind, name },
          },
        ]) => ({ fingerprint, kind, name }),
      ),
    hasExpired: (fingerprint) => {
      const known = quarantined.get(fingerprint);
      return known !== undefined && clock.monotonic() - known.since > quarantineDurations[known.record.kind];
    },
    add,
    remove: (fingerprint) => quarantined.delete(fingerprint),
    applyRecord: (fingerprint, record, epoch) => {
      add({ fingerprint, kind: record.kind, name: record.name }, false);
      const known = quarantined.get(fingerprint);
      if (known === undefined) return;
      known.recordedIn = epoch;
      // A starting router reads only the newest record, which counts the trials of all earlier ones.
      if (record.trials > known.record.trials) applyTrial(known, record);
    },
    isTrialDue: (fingerprint) => {
      const known = quarantined.get(fingerprint);
      if (known === undefined || known.record.trials >= maxTrials) return false;
      return clock.monotonic() >= known.trialFrom;
    },
    untilChange,
    digest: () => {
      let digest = 0;
      for (const fingerprint of quarantined.keys()) digest ^= hash32(fingerprint);
      return digest >>> 0;
    },
  };
};
