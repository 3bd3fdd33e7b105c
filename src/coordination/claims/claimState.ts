/** What the records of one key add up to; the same for every reader, since all read them in the same order. */
import type { ClaimRecord } from "./claimRecord.ts";
import { outcomeOf } from "./claimRecord.ts";
import type { RecordedOutcome } from "./types.ts";

/** The claim that is in force. */
export interface StandingClaim {
  readonly holder: string;
  readonly fingerprint: string;
  /** On the log service's clock, milliseconds since 1970. */
  readonly appendedAt: number;
  /** Milliseconds within which the holder expected to have ended. */
  readonly expectedDuration: number;
  readonly outcome: RecordedOutcome | undefined;
  /** The holder doesn't know the outcome either, and never will. */
  readonly isAbandoned: boolean;
}

/** One key. */
export interface KeyState {
  readonly standing: StandingClaim | undefined;
  /** Holders that gave up; a claim of theirs that arrives later means nothing. */
  readonly released: readonly string[];
}

/** A key without records. */
export const unclaimed: KeyState = { standing: undefined, released: [] };

const applyRelease = (state: KeyState, holder: string): KeyState => {
  if (state.released.includes(holder)) return state;
  const released = [...state.released, holder];
  const { standing } = state;
  const ends = standing?.holder === holder && standing.outcome === undefined && !standing.isAbandoned;
  return { standing: ends ? undefined : standing, released };
};

/**
 * Adds a record. The first claim by offset holds the key until its own holder releases it.
 *
 * @param appendedAt - On the log service's clock.
 */
export const applyClaimRecord = (state: KeyState, record: ClaimRecord, appendedAt: number): KeyState => {
  const { holder } = record;
  if (record.kind === "release") return applyRelease(state, holder);
  const { standing } = state;
  if (record.kind === "abandon") {
    if (standing?.holder !== holder || standing.outcome !== undefined) return state;
    return { ...state, standing: { ...standing, isAbandoned: true } };
  }
  if (record.kind === "complete") {
    if (standing?.holder !== holder || standing.outcome !== undefined) return state;
    return { ...state, standing: { ...standing, outcome: outcomeOf(record) } };
  }
  if (standing !== undefined || state.released.includes(holder)) return state;
  const { fingerprint, expected } = record;
  const open = { outcome: undefined, isAbandoned: false };
  return { ...state, standing: { holder, fingerprint, appendedAt, expectedDuration: expected, ...open } };
};
