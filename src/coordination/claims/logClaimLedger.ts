/**
 * Claim ledger on top of the log service: a claim is appended and read back before a non-idempotent request is
 * dispatched, and the first claim in log order wins. docs/design/claims.md explains the design.
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
import { checkKeyAge, readClaimKey } from "./claimKey.ts";
import type { StandingClaim } from "./claimState.ts";
import {
  claimTimeout,
  flushTimeout,
  outcomeTimeout,
  claimTimeoutWhileUnavailable,
  outcomePollInterval,
} from "./constants.ts";
import { claimFailures } from "./errors.ts";
import type { Partition, ClaimAttempt } from "./claimWriter.ts";
import { createClaimWriter } from "./claimWriter.ts";
import { createPartitionReader } from "./partitionReader.ts";
import { createPartitionWriter } from "./partitionWriter.ts";

export interface LogClaimLedgerDependencies {
  readonly log: LogService;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** How long claims are kept, in milliseconds; at most the log service's own retention. */
  readonly retention: () => number;
}

/** The ledger together with the functions that the router process uses. */
export interface LogClaimLedger extends ClaimLedger, AsyncDisposable {
  /** Resolves when every queued record is appended, or after {@link flushTimeout}. */
  readonly flush: () => Promise<void>;
  /** State of each partition for operators. */
  readonly dump: () => unknown;
}

/** Creates a ledger, which reads and appends nothing until the first claim is requested. */
export const createLogClaimLedger = (dependencies: LogClaimLedgerDependencies): LogClaimLedger => {
  const { log, clock, metrics } = dependencies;
  const partitions = new Map<string, Partition>();

  const partitionOf = (stream: string): Partition => {
    const partition = partitions.get(stream) ?? {
      reader: createPartitionReader(log, stream),
      writer: createPartitionWriter(log, stream, clock),
    };
    partitions.set(stream, partition);
    return partition;
  };

  const { release, createClaim, appendClaim } = createClaimWriter(clock);

  /** Accepts this request's own claim unless the key is too old or too new by the log service's clock. */
  const acceptClaim = async (attempt: ClaimAttempt, standing: StandingClaim): Promise<ClaimResult> => {
    try {
      checkKeyAge(attempt.key, standing.appendedAt, dependencies.retention());
    } catch (error) {
      await release(attempt, standing.holder);
      throw error;
    }
    return { kind: "claimed", claim: createClaim(attempt, standing.holder) };
  };

  /**
   * Waits for the outcome of the request that holds the key. Throws if the key was used for another request, or if no
   * outcome arrives in time.
   *
   * @returns Undefined once the claim is released.
   */
  const awaitOutcome = async (
    attempt: ClaimAttempt,
    first: StandingClaim,
  ): Promise<ClaimResult | undefined> => {
    const deadline = Math.min(attempt.deadline, clock.monotonic() + outcomeTimeout);
    let standing: StandingClaim | undefined = first;
    for (;;) {
      if (standing === undefined) return undefined;
      if (standing.fingerprint !== attempt.fingerprint) throw claimFailures.keyReused();
      if (standing.outcome !== undefined) return { kind: "completed", outcome: standing.outcome };
      const isOverdue =
        standing.isAbandoned || clock.wall() > standing.appendedAt + standing.expectedDuration;
      if (isOverdue || clock.monotonic() >= deadline) throw claimFailures.inProgress();
      await pause(clock, outcomePollInterval);
      try {
        standing = (await attempt.partition.reader.lookUpLatest(attempt.key)).standing;
      } catch {
        // The log service is unavailable: assume that the claim is still in force.
      }
    }
  };

  const resolveAttempt = async (attempt: ClaimAttempt): Promise<ClaimResult> => {
    for (;;) {
      const holder = randomUUID();
      const indexed = attempt.partition.reader.getIndexed(attempt.key)?.standing;
      const standing = indexed ?? (await appendClaim(attempt, holder)).standing;
      if (standing?.holder === holder) return acceptClaim(attempt, standing);
      const result = standing === undefined ? undefined : await awaitOutcome(attempt, standing);
      if (result !== undefined) return result;
      if (clock.monotonic() >= attempt.deadline) throw refusals.claimsUnavailable();
    }
  };

  const createAttempt = (context: RequestContext, fingerprint: string): ClaimAttempt => {
    const key = readClaimKey(context);
    checkKeyAge(key, clock.wall(), dependencies.retention());
    const now = clock.monotonic();
    const partition = partitionOf(key.stream);
    const timeout = partition.writer.isUnavailable() ? claimTimeoutWhileUnavailable : claimTimeout;
    return {
      key,
      partition,
      fingerprint,
      expectedDuration: Math.max(0, context.completionDeadline - now),
      deadline: Math.min(now + timeout, context.completionDeadline),
    };
  };

  const flush = async (): Promise<void> => {
    const flushed = Promise.all([...partitions.values()].map(({ writer }) => writer.flush()));
    const limit = new AbortController();
    await Promise.race([flushed, pause(clock, flushTimeout, limit.signal)]);
    limit.abort();
  };

  class Implementation extends ClaimLedger implements LogClaimLedger {
    override async acquire(context: RequestContext, fingerprint: string): Promise<ClaimResult> {
      const startedAt = clock.monotonic();
      const result = await resolveAttempt(createAttempt(context, fingerprint));
      metrics.count(metricNames.claims, 1, { result: result.kind });
      metrics.time(metricNames.claimWait, clock.monotonic() - startedAt);
      return result;
    }

    readonly flush = flush;

    readonly dump = (): unknown =>
      [...partitions].map(([stream, { reader, writer }]) => ({
        stream,
        indexedKeys: reader.indexedKeys(),
        waiting: writer.queuedRecords(),
      }));

    async [Symbol.asyncDispose](): Promise<void> {
      await flush();
      for (const { writer } of partitions.values()) writer.stop();
    }
  }

  return new Implementation();
};
