/** The requests that a router sends to no replica, since they crash the replicas that run them. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { QuarantineRecord } from "../../protocol/forwarding/types.ts";
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { StoreEpoch } from "../../protocol/storeEpoch.ts";
import type { Clock } from "../clock.ts";
import { maxQuarantined, maxTrials, quarantineDuration, trialDelays } from "./constants.ts";

/** A quarantined request. Times are milliseconds on the monotonic clock. */
export interface Quarantined {
  /** When this router learned of the quarantine. */
  readonly since: number;
  /** Whether this router had the request in flight at a replica that crashed. */
  readonly isOwn: boolean;
  record: QuarantineRecord;
  /** No trial begins before this time. */
  trialFrom: number;
  /** The epoch in which the platform's store accepted the record; `undefined` if it has not. */
  recordedIn: StoreEpoch | undefined;
}

export interface QuarantinedRequests {
  readonly size: () => number;
  readonly get: (fingerprint: Fingerprint) => Quarantined | undefined;
  readonly has: (fingerprint: Fingerprint) => boolean;
  readonly entries: () => readonly (readonly [Fingerprint, Quarantined])[];
  /** @returns Whether the request was not quarantined before. */
  readonly add: (fingerprint: Fingerprint, isOwn: boolean) => boolean;
  readonly remove: (fingerprint: Fingerprint) => void;
  /**
   * Applies a record of the store. Of several routers that record the same trial, only the first gets it.
   *
   * @param epoch - The epoch in which the store has the record.
   */
  readonly applyRecord: (fingerprint: Fingerprint, record: QuarantineRecord, epoch: StoreEpoch) => void;
  readonly isTrialDue: (fingerprint: Fingerprint) => boolean;
  /** @returns Milliseconds until the next trial is due, or until the quarantine ends after the last one. */
  readonly untilChange: (fingerprint: Fingerprint) => number;
  /** @returns 32 bits, the same at all routers with the same quarantined requests; 0 if there are none. */
  readonly digest: () => number;
}

const noTrial: QuarantineRecord = { trials: 0, trial: "" };

/** Creates an empty list. */
export const createQuarantinedRequests = (clock: Clock): QuarantinedRequests => {
  /** Ordered by time of quarantine, oldest first. */
  const quarantined = new Map<Fingerprint, Quarantined>();

  const add = (fingerprint: Fingerprint, isOwn: boolean): boolean => {
    if (quarantined.has(fingerprint)) return false;
    const since = clock.monotonic();
    const trialFrom = since + trialDelays.first;
    quarantined.set(fingerprint, { since, isOwn, record: noTrial, trialFrom, recordedIn: undefined });
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
    const changesAt = known.record.trials < maxTrials ? known.trialFrom : known.since + quarantineDuration;
    return Math.max(0, changesAt - clock.monotonic());
  };

  return {
    size: () => quarantined.size,
    get: (fingerprint) => quarantined.get(fingerprint),
    has: (fingerprint) => quarantined.has(fingerprint),
    entries: () => [...quarantined],
    add,
    remove: (fingerprint) => quarantined.delete(fingerprint),
    applyRecord: (fingerprint, record, epoch) => {
      add(fingerprint, false);
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
