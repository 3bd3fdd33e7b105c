/** Reads one claims stream as far as it is needed: forward for the index, back for keys that are older. */
import { platformError } from "../../protocol/errors.ts";
import type { LogService } from "../../protocol/LogService.ts";
import type { LogPage } from "../../protocol/types.ts";
import type { ClaimIndex } from "./claimIndex.ts";
import { createClaimIndex } from "./claimIndex.ts";
import { decodeClaimRecord } from "./claimRecord.ts";
import type { KeyState } from "./claimState.ts";
import { applyClaimRecord, unclaimed } from "./claimState.ts";
import { indexSpan, longestCatchUp, longestSkew, pageSize } from "./constants.ts";
import type { ClaimKey } from "./types.ts";

/** Asks for all records that there are, whatever their offsets. */
const newestOffset = -1;

/** What this router knows of one claims stream. Methods throw `PlatformError`. */
export interface PartitionReader {
  /** What has been read of a key so far, if enough has; it may have changed since. */
  readonly getIndexed: (key: ClaimKey) => KeyState | undefined;
  /**
   * Looks a key up.
   *
   * @param offset - Every record up to this one is taken into account; later ones may be.
   */
  readonly lookUp: (key: ClaimKey, offset: number) => Promise<KeyState>;
  /** Looks a key up in all records that there are now. */
  readonly lookUpLatest: (key: ClaimKey) => Promise<KeyState>;
  readonly indexedKeys: () => number;
}

/** An index with the offset of the next record to add. */
interface OpenIndex {
  readonly index: ClaimIndex;
  position: number;
}

/** Makes a reader, which reads nothing until it is asked. */
export const createPartitionReader = (log: LogService, stream: string): PartitionReader => {
  let open: OpenIndex | undefined;
  let reading: Promise<unknown> = Promise.resolve();
  let scanning: Promise<unknown> = Promise.resolve();

  /** The first offset whose record was appended at a time or later; records are in the order of time. */
  const findOffset = async (time: number, ends: LogPage): Promise<number> => {
    let low = ends.earliestOffset;
    let high = ends.nextOffset;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const [record] = (await log.read(stream, middle, 1)).records;
      if (record === undefined || record.appendedAt >= time) high = middle;
      else low = record.offset + 1;
    }
    return low;
  };

  const openIndex = async (): Promise<OpenIndex> => {
    const ends = await log.read(stream, 0, 1);
    const [newest] = (await log.read(stream, Math.max(0, ends.nextOffset - 1), 1)).records;
    // What the log service no longer keeps is older than any key that is accepted.
    if (newest === undefined) return { index: createClaimIndex(0), position: ends.nextOffset };
    const from = newest.appendedAt - indexSpan;
    const position = await findOffset(from, ends);
    const isWhole = position <= ends.earliestOffset;
    return { index: createClaimIndex(isWhole ? 0 : from), position };
  };

  /** @returns The offset after the newest record that there was. */
  const readPage = async (current: OpenIndex): Promise<number> => {
    const page = await log.read(stream, current.position, pageSize);
    for (const record of page.records) current.index.apply(record);
    const last = page.records.at(-1)?.offset;
    current.position = last === undefined ? Math.max(current.position, page.nextOffset) : last + 1;
    return page.nextOffset;
  };

  /** Starts anew where everything in between would be dropped from the index again. */
  const seekForward = async (current: OpenIndex): Promise<OpenIndex> => {
    const reopened = await openIndex();
    return reopened.position > current.position + pageSize ? reopened : current;
  };

  const readTo = async (offset: number): Promise<void> => {
    open ??= await openIndex();
    if (open.position > offset && offset >= 0) return;
    let end = await readPage(open);
    if (end - open.position > longestCatchUp) open = await seekForward(open);
    while (open.position < end) end = Math.max(end, await readPage(open));
    if (open.position <= offset) throw platformError(`${stream} lacks offset ${offset}`, "malformed", false);
  };

  /** One at a time, so that records are added in order; whoever waits shares what was read. */
  const readInTurn = (offset: number): Promise<void> => {
    const turn = reading.then(() => readTo(offset));
    reading = turn.catch(() => undefined);
    return turn;
  };

  /** Adds up the records of one key since a time, whatever the index holds. */
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

  const known = ({ digest, issuedAt }: ClaimKey): KeyState | undefined => {
    // No claim that was dispatched under is older than this.
    const covered = open !== undefined && issuedAt - longestSkew >= open.index.coveredFrom();
    return covered ? open?.index.get(digest) : undefined;
  };

  const lookUp = async (key: ClaimKey, offset: number): Promise<KeyState> => {
    await readInTurn(offset);
    const indexed = known(key);
    if (indexed !== undefined) return indexed;
    const end = open?.position ?? 0;
    const turn = scanning.then(() => scan(key.digest, key.issuedAt - longestSkew, end));
    scanning = turn.catch(() => undefined);
    return turn;
  };

  return {
    getIndexed: known,
    lookUp,
    lookUpLatest: (key) => lookUp(key, newestOffset),
    indexedKeys: () => open?.index.size() ?? 0,
  };
};
