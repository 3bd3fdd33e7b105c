/** Keyed records in a stream of the log service; the newest record of each key is the valid one. */
import { z } from "zod";
import type { LogService } from "../../protocol/LogService.ts";
import { RecordFeed } from "../../protocol/forwarding/RecordFeed.ts";
import type { FeedPage, FeedRecord, QuarantineRecord } from "../../protocol/forwarding/types.ts";
import { quarantineSchema } from "../../protocol/forwarding/quarantineSchema.ts";
import type { StoreEpoch } from "../../protocol/storeEpoch.ts";
import { defaultEpoch } from "../../protocol/storeEpoch.ts";
import { StorePosition } from "../../protocol/StorePosition.ts";
import type { LogRecord } from "../../protocol/types.ts";
import { createLogger } from "../../state/log.ts";
import { messageText } from "../../protocol/usableValues.ts";

const pageSize = 500;

const recordSchema = z.object({
  key: messageText,
  value: quarantineSchema.nullable(),
});

const writeLog = createLogger("quarantine");

/** @returns No record if the data doesn't match the schema: other versions may have written to the stream. */
const decode = ({ offset, data }: LogRecord): readonly FeedRecord<QuarantineRecord>[] => {
  try {
    const { key, value } = recordSchema.parse(JSON.parse(data));
    return [{ position: new StorePosition(defaultEpoch, offset), key, value: value ?? undefined }];
  } catch (error) {
    writeLog("record_unreadable", { offset, reason: String(error) });
    return [];
  }
};

/** The quarantine records in the log service. */
export class LogRecordFeed extends RecordFeed<QuarantineRecord> {
  private readonly log: LogService;
  private readonly stream: string;

  constructor(log: LogService, stream: string) {
    super();
    this.log = log;
    this.stream = stream;
  }

  override async newest(): Promise<FeedPage<QuarantineRecord>> {
    const newest = new Map<string, FeedRecord<QuarantineRecord>>();
    let next = new StorePosition(defaultEpoch, 0);
    for (;;) {
      const page = await this.changes(next, 0);
      for (const record of page.records) newest.set(record.key, record);
      next = page.next;
      if (page.isComplete) break;
    }
    const records = [...newest.values()].filter(({ value }) => value !== undefined);
    return { records, next, isComplete: true };
  }

  override async changes(from: StorePosition, wait: number): Promise<FeedPage<QuarantineRecord>> {
    const fromOffset = from.offsetIn(defaultEpoch);
    const page = await this.log.read(this.stream, fromOffset, pageSize, wait);
    const last = page.records.at(-1)?.offset;
    const nextOffset = last === undefined ? Math.max(fromOffset, page.nextOffset) : last + 1;
    return {
      records: page.records.flatMap(decode),
      next: new StorePosition(defaultEpoch, nextOffset),
      isComplete: nextOffset >= page.nextOffset,
    };
  }

  override async put(key: string, value: QuarantineRecord): Promise<StoreEpoch> {
    await this.append(key, value);
    return defaultEpoch;
  }

  override async drop(key: string): Promise<void> {
    await this.append(key, null);
  }

  private async append(key: string, value: QuarantineRecord | null): Promise<void> {
    await this.log.append(this.stream, [JSON.stringify({ key, value })]);
  }
}
