/** The requests that a router sends to no replica, since they crash those that run them. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { QuarantineRecord } from "../../protocol/forwarding/types.ts";
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { StoreEpoch } from "../../protocol/storeEpoch.ts";
import type { Clock } from "../clock.ts";
import { mostHeld, mostTrials, quarantineTime, trialDelays } from "./constants.ts";

/** One of them. Times are milliseconds on the monotonic clock. */
export interface Held {
  /** When this router learned that it is held back. */
  readonly since: number;
  /** This router had it in flight at a replica that crashed. */
  readonly isOwn: boolean;
  record: QuarantineRecord;
  /** No trial begins before. */
  trialFrom: number;
  /** The epoch in which the platform's store has taken the record. */
  recordedIn: StoreEpoch | undefined;
}

/** See {@link createHeldRequests}. */
export interface HeldRequests {
  readonly size: () => number;
  readonly get: (fingerprint: Fingerprint) => Held | undefined;
  readonly has: (fingerprint: Fingerprint) => boolean;
  readonly entries: () => readonly (readonly [Fingerprint, Held])[];
  /** @returns Whether it was not held back before. */
  readonly add: (fingerprint: Fingerprint, isOwn: boolean) => boolean;
  readonly remove: (fingerprint: Fingerprint) => void;
  /**
   * Takes a record of the store; a trial counts once, for the first router that has recorded it.
   *
   * @param epoch - In which the store has it.
   */
  readonly take: (fingerprint: Fingerprint, record: QuarantineRecord, epoch: StoreEpoch) => void;
  readonly isTrialDue: (fingerprint: Fingerprint) => boolean;
  /** @returns Milliseconds until something may change for it: a trial, or the end. */
  readonly untilChange: (fingerprint: Fingerprint) => number;
  /** 32 bits: the same at all routers that hold back the same requests; 0 where there are none. */
  readonly digest: () => number;
}

const noTrial: QuarantineRecord = { trials: 0, trial: "" };

/** Creates a list of none. */
export const createHeldRequests = (clock: Clock): HeldRequests => {
  /** The newest one comes last. */
  const held = new Map<Fingerprint, Held>();

  const add = (fingerprint: Fingerprint, isOwn: boolean): boolean => {
    if (held.has(fingerprint)) return false;
    const since = clock.monotonic();
    const trialFrom = since + trialDelays.first;
    held.set(fingerprint, { since, isOwn, record: noTrial, trialFrom, recordedIn: undefined });
    const oldest = held.keys().next();
    if (held.size > mostHeld && oldest.done !== true) held.delete(oldest.value);
    return true;
  };

  const takeTrial = (known: Held, record: QuarantineRecord): void => {
    known.record = record;
    known.trialFrom = clock.monotonic() + trialDelays.next;
  };

  const untilChange = (fingerprint: Fingerprint): number => {
    const known = held.get(fingerprint);
    if (known === undefined) return 0;
    const at = known.record.trials < mostTrials ? known.trialFrom : known.since + quarantineTime;
    return Math.max(0, at - clock.monotonic());
  };

  return {
    size: () => held.size,
    get: (fingerprint) => held.get(fingerprint),
    has: (fingerprint) => held.has(fingerprint),
    entries: () => [...held],
    add,
    remove: (fingerprint) => held.delete(fingerprint),
    take: (fingerprint, record, epoch) => {
      add(fingerprint, false);
      const known = held.get(fingerprint);
      if (known === undefined) return;
      known.recordedIn = epoch;
      // A router that starts reads the newest record alone, whatever trials came before it.
      if (record.trials > known.record.trials) takeTrial(known, record);
    },
    isTrialDue: (fingerprint) => {
      const known = held.get(fingerprint);
      if (known === undefined || known.record.trials >= mostTrials) return false;
      return clock.monotonic() >= known.trialFrom;
    },
    untilChange,
    digest: () => {
      let digest = 0;
      for (const fingerprint of held.keys()) digest ^= hash32(fingerprint);
      return digest >>> 0;
    },
  };
};
