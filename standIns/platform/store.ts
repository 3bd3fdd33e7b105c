/** A stand-in for the platform's store over HTTP, with fault injection. */
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreBackup, Topics } from "./topics.ts";
import { createTopics, keyedRecord, splitRecords, valueOf } from "./topics.ts";

/** Fault switches of the store; all are off initially. */
export interface StoreFaults {
  /** Every request is answered with status 503. */
  isBusy: boolean;
  /** No request is answered. */
  isUnresponsive: boolean;
  /** No request is answered until the store has been restored from a backup. */
  isDown: boolean;
  /** The next N appends are stored, but their connections are closed without an answer. */
  loseAppends: number;
  /** Delay of each answer after its request was processed, milliseconds. */
  answerDelay: number;
  /** Answers have no header with the store's epoch. */
  omitsEpoch: boolean;
}

/** A running store. */
export interface StoreStandIn extends AsyncDisposable {
  /** `IP:PORT`. */
  readonly address: string;
  readonly topics: Topics;
  readonly faults: StoreFaults;
  /** Number of requests by path. */
  readonly calls: ReadonlyMap<string, number>;
  /** Number of reads by topic. */
  readonly reads: ReadonlyMap<string, number>;
  /** Number of requests by topic and kind, for example `keyed.op read`. */
  readonly callsByKind: ReadonlyMap<string, number>;
  /** Writes a keyed record, as the operator or a replica does. */
  readonly put: (topic: string, key: string, value: unknown) => void;
  /** Resets all open connections. */
  readonly closeConnections: () => void;
  /**
   * Makes the store unavailable for a time, then restores it from a backup in the next epoch.
   *
   * @param away - Duration of the outage, milliseconds.
   * @param options - `keepsConnections`: pending requests are still answered.
   */
  readonly restoreFrom: (
    copy: StoreBackup,
    away: number,
    options?: { readonly keepsConnections: boolean },
  ) => Promise<void>;
}

/** @returns The kind of a request: `append`, `newest`, `read`, or `wait` for a read that may wait for a record. */
const kindOf = (pathname: string, query: URLSearchParams): string =>
  Number(query.get("waitMs") ?? 0) > 0 ? "wait" : pathname.slice(pathname.lastIndexOf("-") + 1);

const pageSize = 500;
const offsetBytes = 8;

const writeOffset = (offset: number): Buffer => {
  const bytes = Buffer.alloc(offsetBytes);
  bytes.writeBigUInt64BE(BigInt(offset));
  return bytes;
};

const frame = (record: Buffer): Buffer => {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
};

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/** The answer to a request. */
interface Answer {
  readonly status: number;
  readonly body: Buffer;
}

const json = (status: number, value: unknown): Answer => ({
  status,
  body: Buffer.from(JSON.stringify(value)),
});

/**
 * Starts a store on a free loopback port.
 *
 * @param topics - The topics of another store: this one then serves the same data with faults of its own.
 */
export const startStoreStandIn = async (topics = createTopics()): Promise<StoreStandIn> => {
  const faults: StoreFaults = {
    isBusy: false,
    isUnresponsive: false,
    isDown: false,
    loseAppends: 0,
    answerDelay: 0,
    omitsEpoch: false,
  };
  const calls = new Map<string, number>();
  const reads = new Map<string, number>();
  const callsByKind = new Map<string, number>();

  const append = (query: URLSearchParams, body: Buffer): Answer | undefined => {
    const topic = query.get("topic") ?? "";
    const at = query.get("at");
    if (at !== null && Number(at) !== topics.end(topic)) return json(412, { end: topics.end(topic) });
    const offset = topics.append(topic, splitRecords(body));
    if (faults.loseAppends > 0) {
      faults.loseAppends -= 1;
      return undefined;
    }
    return json(200, { offset, end: topics.end(topic) });
  };

  const read = async (query: URLSearchParams): Promise<Answer | undefined> => {
    const topic = query.get("topic") ?? "";
    reads.set(topic, (reads.get(topic) ?? 0) + 1);
    const from = Number(query.get("from"));
    const epoch = topics.epoch();
    await topics.waitFor(topic, from, Number(query.get("waitMs") ?? 0));
    if (topics.epoch() !== epoch) return undefined;
    const records = topics.read(topic, from);
    if (records === undefined) return json(410, { first: topics.first(topic) });
    const head = [writeOffset(topics.end(topic)), writeOffset(topics.first(topic))];
    return { status: 200, body: Buffer.concat([...head, ...records.map(({ bytes }) => frame(bytes))]) };
  };

  const newest = (query: URLSearchParams): Answer => {
    const topic = query.get("topic") ?? "";
    const after = query.get("after") ?? "";
    const all = [...topics.newest(topic)].filter(([key]) => key > after);
    const page = all.sort(([left], [right]) => (left < right ? -1 : 1)).slice(0, pageSize);
    const items = page.map(([key, { offset, bytes }]) => ({
      key,
      offset,
      value: valueOf(bytes).toString("base64"),
    }));
    return json(200, { items, hasMore: all.length > page.length, end: topics.end(topic) });
  };

  const hasBecomeUnresponsive = (): boolean => faults.isUnresponsive;

  /** @returns `undefined` if the connection is to be closed without an answer. */
  const handleCall = (
    pathname: string,
    query: URLSearchParams,
    body: Buffer,
  ): Promise<Answer | undefined> => {
    if (faults.isBusy) return Promise.resolve(json(503, {}));
    if (pathname === "/-/log-append") return Promise.resolve(append(query, body));
    if (pathname === "/-/log-read") return read(query);
    if (pathname === "/-/log-newest") return Promise.resolve(newest(query));
    return Promise.resolve(json(404, {}));
  };

  const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { pathname, searchParams } = new URL(request.url ?? "/", "http://store");
    calls.set(pathname, (calls.get(pathname) ?? 0) + 1);
    const kind = `${searchParams.get("topic") ?? ""} ${kindOf(pathname, searchParams)}`;
    callsByKind.set(kind, (callsByKind.get(kind) ?? 0) + 1);
    const body = await readBody(request);
    if (faults.isUnresponsive || faults.isDown) return;
    const result = await handleCall(pathname, searchParams, body);
    // A read that was held open meanwhile gets no answer either.
    if (hasBecomeUnresponsive()) return;
    const epoch = topics.epoch();
    if (faults.answerDelay > 0) await sleep(faults.answerDelay);
    if (result === undefined) {
      response.destroy();
      return;
    }
    const epochHeader = faults.omitsEpoch ? {} : { "store-era": String(epoch) };
    response.writeHead(result.status, { "content-type": "application/json", ...epochHeader });
    response.end(result.body);
  };

  const server = createServer((request, response) => void answer(request, response));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    topics,
    faults,
    calls,
    reads,
    callsByKind,
    put: (topic, key, value) => {
      topics.append(topic, [keyedRecord(key, value)]);
    },
    closeConnections: () => server.closeAllConnections(),
    restoreFrom: async (copy, away, options) => {
      faults.isDown = true;
      if (options?.keepsConnections !== true) server.closeAllConnections();
      await sleep(away);
      topics.restore(copy);
      faults.isDown = false;
    },
    [Symbol.asyncDispose]: () => {
      server.close();
      server.closeAllConnections();
      return Promise.resolve();
    },
  };
};
