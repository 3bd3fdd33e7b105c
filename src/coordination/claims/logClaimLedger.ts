/**
 * Claims as records of the log service: a claim is appended and read back before anything is dispatched, and
 * the first by offset wins. docs/design/claims.md has the reasons.
 */
import { randomUUID } from "node:crypto";
import type { LogService } from "../../protocol/LogService.ts";
import type { RequestContext } from "../../protocol/types.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { refusals } from "../requests/refusals.ts";
import type { ClaimResult } from "./ClaimLedger.ts";
import { ClaimLedger } from "./ClaimLedger.ts";
import { checkAge, readClaimKey } from "./claimKey.ts";
import type { StandingClaim } from "./claimState.ts";
import {
  longestClaimWait,
  longestFlush,
  longestOutcomeWait,
  longestWaitWhileDown,
  outcomePollInterval,
} from "./constants.ts";
import { claimFailures } from "./errors.ts";
import type { Partition, Wish } from "./claimWriter.ts";
import { createClaimAppends } from "./claimWriter.ts";
import { createPartitionReader } from "./partitionReader.ts";
import { createPartitionWriter } from "./partitionWriter.ts";

/** What the ledger works with. */
export interface LogClaimLedgerDependencies {
  readonly log: LogService;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** How long claims are kept, milliseconds; within the log service's own retention. */
  readonly retention: () => number;
}

/** A ledger with what the daemon needs of it. */
export interface LogClaimLedger extends ClaimLedger, AsyncDisposable {
  /** Resolves when every outcome is recorded, or after a while without the log service. */
  readonly flush: () => Promise<void>;
  readonly dump: () => unknown;
}

/** Makes a ledger; it reads and appends nothing until a claim is asked for. */
export const createLogClaimLedger = (parts: LogClaimLedgerDependencies): LogClaimLedger => {
  const { log, clock, metrics } = parts;
  const partitions = new Map<string, Partition>();

  const partitionOf = (stream: string): Partition => {
    const partition = partitions.get(stream) ?? {
      reader: createPartitionReader(log, stream),
      writer: createPartitionWriter(log, stream, clock),
    };
    partitions.set(stream, partition);
    return partition;
  };

  const { release, createClaim, appendClaim } = createClaimAppends(clock);

  /** The claim is ours; the log service's clock decides whether the key is good. */
  const acceptOwn = async (wish: Wish, standing: StandingClaim): Promise<ClaimResult> => {
    try {
      checkAge(wish.key, standing.appendedAt, parts.retention());
    } catch (error) {
      await release(wish, standing.holder);
      throw error;
    }
    return { kind: "claimed", claim: createClaim(wish, standing.holder) };
  };

  /** Waits for the outcome of the request that holds the key. @returns Undefined once it is released. */
  const awaitOutcome = async (wish: Wish, first: StandingClaim): Promise<ClaimResult | undefined> => {
    const until = Math.min(wish.until, clock.monotonic() + longestOutcomeWait);
    let standing: StandingClaim | undefined = first;
    for (;;) {
      if (standing === undefined) return undefined;
      if (standing.fingerprint !== wish.fingerprint) throw claimFailures.keyReused();
      if (standing.outcome !== undefined) return { kind: "completed", outcome: standing.outcome };
      const isOverdue =
        standing.isAbandoned || clock.wall() > standing.appendedAt + standing.expectedDuration;
      if (isOverdue || clock.monotonic() >= until) throw claimFailures.inProgress();
      await pause(clock, outcomePollInterval);
      try {
        standing = (await wish.partition.reader.lookUpLatest(wish.key)).standing;
      } catch {
        // The log service is away; the claim still stands as far as anybody knows.
      }
    }
  };

  const settleWish = async (wish: Wish): Promise<ClaimResult> => {
    for (;;) {
      const holder = randomUUID();
      const known = wish.partition.reader.getIndexed(wish.key)?.standing;
      const standing = known ?? (await appendClaim(wish, holder)).standing;
      if (standing?.holder === holder) return acceptOwn(wish, standing);
      const result = standing === undefined ? undefined : await awaitOutcome(wish, standing);
      if (result !== undefined) return result;
      if (clock.monotonic() >= wish.until) throw refusals.claimsUnavailable();
    }
  };

  const createWish = (context: RequestContext, fingerprint: string): Wish => {
    const key = readClaimKey(context);
    checkAge(key, clock.wall(), parts.retention());
    const now = clock.monotonic();
    const partition = partitionOf(key.stream);
    const longestWait = partition.writer.isDown() ? longestWaitWhileDown : longestClaimWait;
    return {
      key,
      partition,
      fingerprint,
      expected: Math.max(0, context.completionDeadline - now),
      until: Math.min(now + longestWait, context.completionDeadline),
    };
  };

  const flush = async (): Promise<void> => {
    const flushed = Promise.all([...partitions.values()].map(({ writer }) => writer.flush()));
    const limit = new AbortController();
    await Promise.race([flushed, pause(clock, longestFlush, limit.signal)]);
    limit.abort();
  };

  class Implementation extends ClaimLedger implements LogClaimLedger {
    override async acquire(context: RequestContext, fingerprint: string): Promise<ClaimResult> {
      const startedAt = clock.monotonic();
      const result = await settleWish(createWish(context, fingerprint));
      metrics.count(metricNames.claims, 1, { result: result.kind });
      metrics.time(metricNames.claimWait, clock.monotonic() - startedAt);
      return result;
    }

    readonly flush = flush;

    readonly dump = (): unknown =>
      [...partitions].map(([stream, { reader, writer }]) => ({
        stream,
        indexedKeys: reader.indexedKeys(),
        waiting: writer.waiting(),
      }));

    async [Symbol.asyncDispose](): Promise<void> {
      await flush();
      for (const { writer } of partitions.values()) writer.stop();
    }
  }

  return new Implementation();
};
