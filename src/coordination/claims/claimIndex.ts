/** In-memory index of the most recent claims of one partition, bounded in time span and number of keys. */
import type { LogRecord } from "../../protocol/types.ts";
import { decodeClaimRecord } from "./claimRecord.ts";
import type { KeyState } from "./claimState.ts";
import { applyClaimRecord, unclaimed } from "./claimState.ts";
import { indexSpan, maxIndexedKeys } from "./constants.ts";

interface IndexedKey {
  readonly firstAppendedAt: number;
  readonly state: KeyState;
}

/** Contains the state of every key whose first record was appended since a moving start time. */
export interface ClaimIndex {
  /** Applies the next record in log order. */
  readonly apply: (record: LogRecord) => void;
  readonly get: (digest: string) => KeyState;
  /** The index holds all records from this time on: milliseconds since 1970 on the log service's clock. */
  readonly coveredFrom: () => number;
  readonly size: () => number;
}

/**
 * Creates an empty index.
 *
 * @param coveredFrom - Every record appended from this time on will be applied: milliseconds since 1970 on the
 * log service's clock.
 */
export const createClaimIndex = (coveredFrom: number): ClaimIndex => {
  // Ordered by the first record of each key, so that the oldest keys come first.
  const keys = new Map<string, IndexedKey>();
  let covered = coveredFrom;

  const prune = (cutoff: number): void => {
    for (const [digest, { firstAppendedAt }] of keys) {
      if (firstAppendedAt >= cutoff && keys.size <= maxIndexedKeys) return;
      keys.delete(digest);
      covered = Math.max(covered, firstAppendedAt + 1);
    }
  };

  const apply = ({ data, appendedAt }: LogRecord): void => {
    const record = decodeClaimRecord(data);
    if (record === undefined) return;
    const existing = keys.get(record.key);
    const needsClaim = record.kind === "complete" || record.kind === "abandon";
    // The claim that this outcome belongs to was appended before the index begins.
    if (existing === undefined && needsClaim) return;
    const state = applyClaimRecord(existing?.state ?? unclaimed, record, appendedAt);
    keys.set(record.key, { firstAppendedAt: existing?.firstAppendedAt ?? appendedAt, state });
    prune(appendedAt - indexSpan);
  };

  return {
    apply,
    get: (digest) => keys.get(digest)?.state ?? unclaimed,
    coveredFrom: () => covered,
    size: () => keys.size,
  };
};
