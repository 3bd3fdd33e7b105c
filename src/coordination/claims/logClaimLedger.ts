/**
 * Claims as records of the log service: a claim is appended and read back before anything is dispatched, and
 * the first by offset wins.
 */
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { logStreams } from "../../protocol/constants.ts";
import type { LogService } from "../../protocol/LogService.ts";
import { hash64 } from "../../protocol/prefixLevels.ts";
import type { LogRecord, RequestContext } from "../../protocol/types.ts";
import { outcomeUnknown, refusals } from "../requests/refusals.ts";
import type { Claim } from "./ClaimLedger.ts";
import { ClaimLedger } from "./ClaimLedger.ts";

const partitions = 16n;
const pageSize = 1000;

const claimRecord = z.object({
  kind: z.enum(["claim", "release", "complete"]),
  key: z.string(),
  holder: z.string(),
  fingerprint: z.string(),
});
type ClaimRecord = z.output<typeof claimRecord>;

const parseRecord = (record: LogRecord): ClaimRecord | undefined => {
  try {
    return claimRecord.safeParse(JSON.parse(record.data)).data;
  } catch {
    return undefined;
  }
};

/** Appends and reads back one claim for each request. */
export class LogClaimLedger extends ClaimLedger {
  private readonly log: LogService;

  constructor(log: LogService) {
    super();
    this.log = log;
  }

  override async claim(context: RequestContext, fingerprint: string): Promise<Claim> {
    const key = `${context.organisation.name}\u0000${context.idempotencyKey ?? context.requestId}`;
    const stream = `${logStreams.claimsPrefix}${hash64(key) % partitions}`;
    const holder = randomUUID();
    const append = (kind: ClaimRecord["kind"]): Promise<readonly number[]> =>
      this.log.append(stream, [JSON.stringify({ kind, key, holder, fingerprint } satisfies ClaimRecord)]);
    const winner = await this.appendAndRead(stream, key, () => append("claim"));
    if (winner?.holder !== holder) {
      throw outcomeUnknown("already_claimed", "A request with this idempotency key has been started before.");
    }
    return {
      release: async () => {
        await append("release");
      },
      complete: async () => {
        await append("complete");
      },
    };
  }

  private async appendAndRead(
    stream: string,
    key: string,
    append: () => Promise<unknown>,
  ): Promise<ClaimRecord | undefined> {
    try {
      await append();
      return await this.readHolder(stream, key);
    } catch (cause) {
      throw refusals.claimsUnavailable(cause);
    }
  }

  /** The first claim of a key that has not been released. */
  private async readHolder(stream: string, key: string): Promise<ClaimRecord | undefined> {
    let holder: ClaimRecord | undefined;
    let from = 0;
    for (;;) {
      const page = await this.log.read(stream, from, pageSize);
      for (const record of page.records) {
        const parsed = parseRecord(record);
        if (parsed?.key !== key) continue;
        if (parsed.kind === "claim") holder ??= parsed;
        if (parsed.kind === "release" && parsed.holder === holder?.holder) holder = undefined;
      }
      from = (page.records.at(-1)?.offset ?? page.nextOffset) + 1;
      if (from >= page.nextOffset) return holder;
    }
  }
}
