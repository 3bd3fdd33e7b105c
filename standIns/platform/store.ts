/** The platform's store over HTTP, with the ways in which it fails. */
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreBackup, Topics } from "./topics.ts";
import { createTopics, keyedRecord, splitRecords, valueOf } from "./topics.ts";

/** What a test can switch on; each is off at first. */
export interface StoreFaults {
  /** Every call is answered 503. */
  isBusy: boolean;
  /** No call is answered. */
  isUnresponsive: boolean;
  /** The same, until the store returns from a copy. */
  isDown: boolean;
  /** The next appends are done, and their connections closed without an answer. */
  loseAppends: number;
  /** Answers are sent so long after the call was carried out, milliseconds. */
  answerDelay: number;
  /** Answers don't name the epoch. */
  omitsEpoch: boolean;
}

/** A running store. */
export interface StoreStandIn extends AsyncDisposable {
  /** `IP:PORT`. */
  readonly address: string;
  readonly topics: Topics;
  readonly faults: StoreFaults;
  /** Calls by path. */
  readonly calls: ReadonlyMap<string, number>;
  /** Reads of a topic's records, by topic. */
  readonly reads: ReadonlyMap<string, number>;
  /** Writes as the operator or a replica would. */
  readonly put: (topic: string, key: string, value: unknown) => void;
  /** Resets all open connections. */
  readonly closeConnections: () => void;
  /**
   * Is away for a time, then returns from a copy in the next epoch.
   *
   * @param away - Milliseconds.
   * @param options - Whether calls that are under way are still answered.
   */
  readonly restoreFrom: (
    copy: StoreBackup,
    away: number,
    options?: { readonly keepsConnections: boolean },
  ) => Promise<void>;
}

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

/** What a call is answered with. */
interface Answer {
  readonly status: number;
  readonly body: Buffer;
}

const json = (status: number, value: unknown): Answer => ({
  status,
  body: Buffer.from(JSON.stringify(value)),
});

/**
 * Starts a store on a free port.
 *
 * @param topics - Of another store: this one is a second way to it, with faults of its own.
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

  /** @returns Nothing where the connection ends without an answer. */
  const carryOut = (pathname: string, query: URLSearchParams, body: Buffer): Promise<Answer | undefined> => {
    if (faults.isBusy) return Promise.resolve(json(503, {}));
    if (pathname === "/-/log-append") return Promise.resolve(append(query, body));
    if (pathname === "/-/log-read") return read(query);
    if (pathname === "/-/log-newest") return Promise.resolve(newest(query));
    return Promise.resolve(json(404, {}));
  };

  const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { pathname, searchParams } = new URL(request.url ?? "/", "http://store");
    calls.set(pathname, (calls.get(pathname) ?? 0) + 1);
    const body = await readBody(request);
    if (faults.isUnresponsive || faults.isDown) return;
    const made = await carryOut(pathname, searchParams, body);
    const epoch = topics.epoch();
    if (faults.answerDelay > 0) await sleep(faults.answerDelay);
    if (made === undefined) {
      response.destroy();
      return;
    }
    const named = faults.omitsEpoch ? {} : { "store-era": String(epoch) };
    response.writeHead(made.status, { "content-type": "application/json", ...named });
    response.end(made.body);
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
