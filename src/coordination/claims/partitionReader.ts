/** Reads one claims stream on demand: forward to keep the index current, and from an earlier time for older keys. */
import { platformError } from "../../protocol/errors.ts";
import type { LogService } from "../../protocol/LogService.ts";
import type { LogPage } from "../../protocol/types.ts";
import type { ClaimIndex } from "./claimIndex.ts";
import { createClaimIndex } from "./claimIndex.ts";
import { decodeClaimRecord } from "./claimRecord.ts";
import type { KeyState } from "./claimState.ts";
import { applyClaimRecord, unclaimed } from "./claimState.ts";
import { indexSpan, maxCatchUpRecords, maxClockSkew, pageSize } from "./constants.ts";
import type { ClaimKey } from "./types.ts";

/** Passed as an offset: reads to the end of the stream, wherever that is. */
const endOfStream = -1;

/** Looks up keys in one claims stream. The methods that return a promise reject with `PlatformError`. */
export interface PartitionReader {
  /**
   * Looks a key up in the index without reading. The state may be out of date.
   *
   * @returns Undefined if the index does not reach back far enough for the key.
   */
  readonly getIndexed: (key: ClaimKey) => KeyState | undefined;
  /**
   * Looks a key up after reading the stream.
   *
   * @param offset - All records up to this one are taken into account; later ones may be.
   */
  readonly lookUp: (key: ClaimKey, offset: number) => Promise<KeyState>;
  /** Looks a key up after reading to the end of the stream. */
  readonly lookUpLatest: (key: ClaimKey) => Promise<KeyState>;
  /** Number of keys in the index. */
  readonly indexedKeys: () => number;
}

/** An index and the offset of the next record to apply. */
interface OpenIndex {
  readonly index: ClaimIndex;
  position: number;
}

/** Creates a reader, which reads nothing until the first lookup. */
export const createPartitionReader = (log: LogService, stream: string): PartitionReader => {
  let open: OpenIndex | undefined;
  let reading: Promise<unknown> = Promise.resolve();
  let scanning: Promise<unknown> = Promise.resolve();

  /** Finds the first record appended at a time or later, by binary search: append times increase with offsets. */
  const findOffset = async (time: number, range: LogPage): Promise<number> => {
    let low = range.earliestOffset;
    let high = range.nextOffset;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const [record] = (await log.read(stream, middle, 1)).records;
      if (record === undefined || record.appendedAt >= time) high = middle;
      else low = record.offset + 1;
    }
    return low;
  };

  const openIndex = async (): Promise<OpenIndex> => {
    const range = await log.read(stream, 0, 1);
    const [newest] = (await log.read(stream, Math.max(0, range.nextOffset - 1), 1)).records;
    // Records that the log service has dropped are older than any key that is accepted.
    if (newest === undefined) return { index: createClaimIndex(0), position: range.nextOffset };
    const from = newest.appendedAt - indexSpan;
    const position = await findOffset(from, range);
    const isWholeStream = position <= range.earliestOffset;
    return { index: createClaimIndex(isWholeStream ? 0 : from), position };
  };

  /** @returns The offset after the last record of the stream at the time of the read. */
  const readPage = async (current: OpenIndex): Promise<number> => {
    const page = await log.read(stream, current.position, pageSize);
    for (const record of page.records) current.index.apply(record);
    const last = page.records.at(-1)?.offset;
    current.position = last === undefined ? Math.max(current.position, page.nextOffset) : last + 1;
    return page.nextOffset;
  };

  /** Reopens the index further on if it would only evict the skipped records again. */
  const seekForward = async (current: OpenIndex): Promise<OpenIndex> => {
    const reopened = await openIndex();
    return reopened.position > current.position + pageSize ? reopened : current;
  };

  const readTo = async (offset: number): Promise<void> => {
    open ??= await openIndex();
    if (open.position > offset && offset >= 0) return;
    let end = await readPage(open);
    if (end - open.position > maxCatchUpRecords) open = await seekForward(open);
    while (open.position < end) end = Math.max(end, await readPage(open));
    if (open.position <= offset)
      throw platformError(`stream ${stream} has no record at offset ${offset}`, "malformed", false);
  };

  /** Runs one read at a time, so that records are applied in order; queued calls benefit from the reads before. */
  const readSerially = (offset: number): Promise<void> => {
    const result = reading.then(() => readTo(offset));
    reading = result.catch(() => undefined);
    return result;
  };

  /** Derives the state of one key from the log itself, reading all records since a time. */
  const scan = async (digest: string, since: number, end: number): Promise<KeyState> => {
    let state = unclaimed;
    let from = await findOffset(since, await log.read(stream, 0, 1));
    while (from < end) {
      const page = await log.read(stream, from, pageSize);
      for (const { data, appendedAt } of page.records) {
        const record = decodeClaimRecord(data);
        if (record?.key === digest) state = applyClaimRecord(state, record, appendedAt);
      }
      from = (page.records.at(-1)?.offset ?? page.nextOffset) + 1;
    }
    return state;
  };

  const getIndexed = ({ digest, issuedAt }: ClaimKey): KeyState | undefined => {
    // Claims with an earlier append time are rejected, so nothing was dispatched under them.
    const isCovered = open !== undefined && issuedAt - maxClockSkew >= open.index.coveredFrom();
    return isCovered ? open?.index.get(digest) : undefined;
  };

  const lookUp = async (key: ClaimKey, offset: number): Promise<KeyState> => {
    await readSerially(offset);
    const indexed = getIndexed(key);
    if (indexed !== undefined) return indexed;
    const end = open?.position ?? 0;
    const result = scanning.then(() => scan(key.digest, key.issuedAt - maxClockSkew, end));
    scanning = result.catch(() => undefined);
    return result;
  };

  return {
    getIndexed,
    lookUp,
    lookUpLatest: (key) => lookUp(key, endOfStream),
    indexedKeys: () => open?.index.size() ?? 0,
  };
};
