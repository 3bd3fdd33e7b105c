/** The newest claims of one partition, bounded in time and number. */
import type { LogRecord } from "../../protocol/types.ts";
import { decodeClaimRecord } from "./claimRecord.ts";
import type { KeyState } from "./claimState.ts";
import { applyClaimRecord, unclaimed } from "./claimState.ts";
import { indexSpan, maximumIndexedKeys } from "./constants.ts";

interface IndexedKey {
  readonly firstAppendedAt: number;
  readonly state: KeyState;
}

/** Knows all records appended since a time that moves on. */
export interface ClaimIndex {
  /** Adds the next record by offset. */
  readonly apply: (record: LogRecord) => void;
  readonly get: (digest: string) => KeyState;
  /** All records from this time on the log service's clock are in the index. */
  readonly coveredFrom: () => number;
  readonly size: () => number;
}

/**
 * Makes an index.
 *
 * @param coveredFrom - The log time of the first record that will be added.
 */
export const createClaimIndex = (coveredFrom: number): ClaimIndex => {
  // In the order of the first record, so that the oldest are at the front.
  const keys = new Map<string, IndexedKey>();
  let covered = coveredFrom;

  const prune = (horizon: number): void => {
    for (const [digest, { firstAppendedAt }] of keys) {
      if (firstAppendedAt >= horizon && keys.size <= maximumIndexedKeys) return;
      keys.delete(digest);
      covered = Math.max(covered, firstAppendedAt + 1);
    }
  };

  const apply = ({ data, appendedAt }: LogRecord): void => {
    const record = decodeClaimRecord(data);
    if (record === undefined) return;
    const known = keys.get(record.key);
    const needsClaim = record.kind === "complete" || record.kind === "abandon";
    // The claim that an outcome belongs to lies before this index.
    if (known === undefined && needsClaim) return;
    const state = applyClaimRecord(known?.state ?? unclaimed, record, appendedAt);
    keys.set(record.key, { firstAppendedAt: known?.firstAppendedAt ?? appendedAt, state });
    prune(appendedAt - indexSpan);
  };

  return {
    apply,
    get: (digest) => keys.get(digest)?.state ?? unclaimed,
    coveredFrom: () => covered,
    size: () => keys.size,
  };
};
