/**
 * State of one key, derived from its records. Every reader reaches the same state, as all apply the records in log
 * order.
 */
import type { ClaimRecord } from "./claimRecord.ts";
import { readOutcome } from "./claimRecord.ts";
import type { RecordedOutcome } from "./types.ts";

/** The claim that currently holds a key. */
export interface StandingClaim {
  readonly holder: string;
  readonly fingerprint: string;
  /** Milliseconds since 1970 on the log service's clock. */
  readonly appendedAt: number;
  /** Milliseconds within which the holder expected the request to end. */
  readonly expectedDuration: number;
  readonly outcome: RecordedOutcome | undefined;
  /** The holder has recorded that the outcome will never be known. */
  readonly isAbandoned: boolean;
}

/** State of one key. */
export interface KeyState {
  readonly standing: StandingClaim | undefined;
  /** Holders that released their claim; a claim record of theirs that is appended late is ignored. */
  readonly released: readonly string[];
}

/** State of a key without records. */
export const unclaimed: KeyState = { standing: undefined, released: [] };

const applyRelease = (state: KeyState, holder: string): KeyState => {
  if (state.released.includes(holder)) return state;
  const released = [...state.released, holder];
  const { standing } = state;
  const endsClaim = standing?.holder === holder && standing.outcome === undefined && !standing.isAbandoned;
  return { standing: endsClaim ? undefined : standing, released };
};

/**
 * Applies the next record. The first claim in log order holds the key until its own holder releases it.
 *
 * @param appendedAt - Milliseconds since 1970 on the log service's clock.
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
    return { ...state, standing: { ...standing, outcome: readOutcome(record) } };
  }
  if (standing !== undefined || state.released.includes(holder)) return state;
  const { fingerprint, expected: expectedDuration } = record;
  const initial = { outcome: undefined, isAbandoned: false };
  return { ...state, standing: { holder, fingerprint, appendedAt, expectedDuration, ...initial } };
};
