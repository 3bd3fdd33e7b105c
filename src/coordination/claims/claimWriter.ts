/** Appends the records of an attempt to claim a request: the claim, its release and the outcome. */
import { PlatformError } from "../../protocol/errors.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { refusals } from "../requests/refusals.ts";
import type { Claim } from "./ClaimLedger.ts";
import { createOutcomeRecord, encodeClaimRecord } from "./claimRecord.ts";
import type { KeyState } from "./claimState.ts";
import { appendBackoff, releaseTimeout } from "./constants.ts";
import type { PartitionReader } from "./partitionReader.ts";
import type { PartitionWriter } from "./partitionWriter.ts";
import type { ClaimKey } from "./types.ts";

/** Reader and writer of one claims stream. */
export interface Partition {
  readonly reader: PartitionReader;
  readonly writer: PartitionWriter;
}

/** One attempt to claim a request. */
export interface ClaimAttempt {
  readonly key: ClaimKey;
  readonly partition: Partition;
  readonly fingerprint: string;
  /** Milliseconds that the request may take. */
  readonly expectedDuration: number;
  /** When the attempt fails, in milliseconds on the monotonic clock. */
  readonly deadline: number;
}

/** Creates and releases claims by appending to a partition. */
export interface ClaimWriter {
  /** Releases a claim; continues in the background if the log service does not confirm it in time. */
  readonly release: (attempt: ClaimAttempt, holder: string) => Promise<void>;
  readonly createClaim: (attempt: ClaimAttempt, holder: string) => Claim;
  /**
   * Appends a claim and reads the key's state back.
   *
   * @returns The state of the key, whose claim may be another holder's. Throws `RequestError`
   * (`claims_unavailable`).
   */
  readonly appendClaim: (attempt: ClaimAttempt, holder: string) => Promise<KeyState>;
}

/** Creates a writer of claims. */
export const createClaimWriter = (clock: Clock): ClaimWriter => {
  const releaseRecord = ({ key }: ClaimAttempt, holder: string): string =>
    encodeClaimRecord({ kind: "release", key: key.digest, holder });

  const release = async (attempt: ClaimAttempt, holder: string): Promise<void> => {
    const { writer } = attempt.partition;
    const record = releaseRecord(attempt, holder);
    const result = await writer.append(record, clock.monotonic() + releaseTimeout);
    if (result.kind === "given_up") writer.appendInBackground(record);
  };

  const createClaim = (attempt: ClaimAttempt, holder: string): Claim => ({
    release: () => release(attempt, holder),
    complete: (summary, answer) => {
      const record = createOutcomeRecord(attempt.key.digest, holder, summary, answer);
      attempt.partition.writer.appendInBackground(encodeClaimRecord(record));
      return Promise.resolve();
    },
    abandon: () => {
      const record = { kind: "abandon" as const, key: attempt.key.digest, holder };
      attempt.partition.writer.appendInBackground(encodeClaimRecord(record));
      return Promise.resolve();
    },
  });

  /** Repeats a read that fails until the attempt's deadline. */
  const read = async (attempt: ClaimAttempt, readOnce: () => Promise<KeyState>): Promise<KeyState> => {
    for (;;) {
      try {
        return await readOnce();
      } catch (error) {
        if (!(error instanceof PlatformError) || clock.monotonic() >= attempt.deadline) throw error;
        await pause(clock, appendBackoff.initial);
      }
    }
  };

  const appendClaim = async (attempt: ClaimAttempt, holder: string): Promise<KeyState> => {
    const { key, partition, fingerprint, expectedDuration, deadline } = attempt;
    const record = encodeClaimRecord({
      kind: "claim",
      key: key.digest,
      holder,
      fingerprint,
      expected: expectedDuration,
    });
    const result = await partition.writer.append(record, deadline);
    const releaseInBackground = (): void =>
      partition.writer.appendInBackground(releaseRecord(attempt, holder));
    if (result.kind === "given_up") {
      // If the claim is appended after all, it must not block a retry.
      if (result.mayBeAppended) releaseInBackground();
      throw refusals.claimsUnavailable();
    }
    try {
      const state = await read(attempt, () => partition.reader.lookUp(key, result.offset));
      if (result.mayBeDuplicated && state.standing?.holder !== holder) releaseInBackground();
      return state;
    } catch (cause) {
      releaseInBackground();
      throw refusals.claimsUnavailable(cause);
    }
  };

  return { release, createClaim, appendClaim };
};
