/**
 * Baseline without batching: one append per claim and one per outcome, each claim followed by a read of new
 * records.
 */
import { randomUUID } from "node:crypto";
import type { ClaimResult } from "../../src/coordination/claims/ClaimLedger.ts";
import { ClaimLedger } from "../../src/coordination/claims/ClaimLedger.ts";
import { readClaimKey } from "../../src/coordination/claims/claimKey.ts";
import { createOutcomeRecord, encodeClaimRecord } from "../../src/coordination/claims/claimRecord.ts";
import { createPartitionReader } from "../../src/coordination/claims/partitionReader.ts";
import type { PartitionReader } from "../../src/coordination/claims/partitionReader.ts";
import { claimFailures } from "../../src/coordination/claims/errors.ts";
import type { LogService } from "../../src/protocol/LogService.ts";
import type { AppendedRecords, RequestContext } from "../../src/protocol/types.ts";

const ignore = (): void => undefined;

/** Reads the log in the same way as the router's own ledger, so that only the appends differ. */
export class SingleClaimLedger extends ClaimLedger {
  private readonly log: LogService;
  private readonly readers = new Map<string, PartitionReader>();

  constructor(log: LogService) {
    super();
    this.log = log;
  }

  override async acquire(context: RequestContext, fingerprint: string): Promise<ClaimResult> {
    const key = readClaimKey(context);
    const holder = randomUUID();
    const reader = this.readers.get(key.stream) ?? createPartitionReader(this.log, key.stream);
    this.readers.set(key.stream, reader);
    const append = (record: string): Promise<AppendedRecords> => this.log.append(key.stream, [record]);
    const claim = { kind: "claim" as const, key: key.digest, holder, fingerprint, expected: 0 };
    const [offset = 0] = (await append(encodeClaimRecord(claim))).offsets;
    const { standing } = await reader.lookUp(key, offset);
    if (standing?.holder !== holder) throw claimFailures.inProgress();
    const complete = async (summary: string): Promise<void> => {
      const record = encodeClaimRecord(createOutcomeRecord(key.digest, holder, summary, undefined));
      await append(record).catch(ignore);
    };
    const doNothing = (): Promise<void> => Promise.resolve();
    return { kind: "claimed", claim: { complete, release: doNothing, abandon: doNothing } };
  }
}
