/** The appends that one wish to run a request makes: claim, release, outcome. */
import { PlatformError } from "../../protocol/errors.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { refusals } from "../requests/refusals.ts";
import type { Claim } from "./ClaimLedger.ts";
import { createOutcomeRecord, encodeClaimRecord } from "./claimRecord.ts";
import type { KeyState } from "./claimState.ts";
import { appendBackoff, longestReleaseWait } from "./constants.ts";
import type { PartitionReader } from "./partitionReader.ts";
import type { PartitionWriter } from "./partitionWriter.ts";
import type { ClaimKey } from "./types.ts";

/** One claims stream. */
export interface Partition {
  readonly reader: PartitionReader;
  readonly writer: PartitionWriter;
}

/** One wish to run a request. */
export interface Wish {
  readonly key: ClaimKey;
  readonly partition: Partition;
  readonly fingerprint: string;
  /** Milliseconds that the request may take. */
  readonly expected: number;
  /** When to give up, milliseconds on the monotonic clock. */
  readonly until: number;
}

/** What a wish appends. */
export interface ClaimAppends {
  /** Gives a claim up; goes on in the background while the log service is away. */
  readonly release: (wish: Wish, holder: string) => Promise<void>;
  readonly createClaim: (wish: Wish, holder: string) => Claim;
  /**
   * Appends a claim and reads it back.
   *
   * @returns What then stands for the key; throws `RequestError` (`claims_unavailable`).
   */
  readonly appendClaim: (wish: Wish, holder: string) => Promise<KeyState>;
}

/** Makes the appends. */
export const createClaimAppends = (clock: Clock): ClaimAppends => {
  const releaseRecord = ({ key }: Wish, holder: string): string =>
    encodeClaimRecord({ kind: "release", key: key.digest, holder });

  const release = async (wish: Wish, holder: string): Promise<void> => {
    const { writer } = wish.partition;
    const record = releaseRecord(wish, holder);
    const result = await writer.append(record, clock.monotonic() + longestReleaseWait);
    if (result.kind === "given_up") writer.appendLater(record);
  };

  const createClaim = (wish: Wish, holder: string): Claim => ({
    release: () => release(wish, holder),
    complete: (summary, answer) => {
      const record = createOutcomeRecord(wish.key.digest, holder, summary, answer);
      wish.partition.writer.appendLater(encodeClaimRecord(record));
      return Promise.resolve();
    },
    abandon: () => {
      const record = { kind: "abandon" as const, key: wish.key.digest, holder };
      wish.partition.writer.appendLater(encodeClaimRecord(record));
      return Promise.resolve();
    },
  });

  /** Repeats a read that fails until the wish is given up. */
  const read = async (wish: Wish, readOnce: () => Promise<KeyState>): Promise<KeyState> => {
    for (;;) {
      try {
        return await readOnce();
      } catch (error) {
        if (!(error instanceof PlatformError) || clock.monotonic() >= wish.until) throw error;
        await pause(clock, appendBackoff.first);
      }
    }
  };

  const appendClaim = async (wish: Wish, holder: string): Promise<KeyState> => {
    const { key, partition, fingerprint, expected, until } = wish;
    const record = encodeClaimRecord({ kind: "claim", key: key.digest, holder, fingerprint, expected });
    const result = await partition.writer.append(record, until);
    const giveUp = (): void => partition.writer.appendLater(releaseRecord(wish, holder));
    if (result.kind === "given_up") {
      // Should it arrive after all, it must not block a retry.
      if (result.mayArrive) giveUp();
      throw refusals.claimsUnavailable();
    }
    try {
      const state = await read(wish, () => partition.reader.lookUp(key, result.offset));
      if (result.repeated && state.standing?.holder !== holder) giveUp();
      return state;
    } catch (cause) {
      giveUp();
      throw refusals.claimsUnavailable(cause);
    }
  };

  return { release, createClaim, appendClaim };
};
