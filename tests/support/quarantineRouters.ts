/** Routers that hold back requests together: datagrams and the store's records in memory, under a test's clock. */
import { setImmediate as settled } from "node:timers/promises";
import { createQuarantine } from "../../src/coordination/crashes/quarantine.ts";
import type { Quarantine } from "../../src/coordination/crashes/quarantine.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import { platformError } from "../../src/protocol/errors.ts";
import { fingerprintOf } from "../../src/protocol/forwarding/fingerprint.ts";
import { RecordFeed } from "../../src/protocol/forwarding/RecordFeed.ts";
import type {
  CallerRequest,
  FeedPage,
  FeedRecord,
  QuarantineRecord,
} from "../../src/protocol/forwarding/types.ts";
import { MemoryNetwork } from "./MemoryNetwork.ts";
import type { StoreEpoch } from "../../src/protocol/storeEpoch.ts";
import { StorePosition } from "../../src/protocol/StorePosition.ts";
import type { StoreEpochs } from "../../src/state/storeEpochs.ts";
import { createStoreEpochs } from "../../src/state/storeEpochs.ts";

/** The store's records of one topic. */
export interface MemoryRecords {
  readonly log: FeedRecord<QuarantineRecord>[];
  /** Ports of routers that the store does not answer. */
  readonly cutOffPorts: Set<number>;
  reads: number;
  epoch: StoreEpoch;
}

/** One router's way to them. */
class MemoryFeed extends RecordFeed<QuarantineRecord> {
  readonly epochs = createStoreEpochs();
  private readonly records: MemoryRecords;
  private readonly port: number;

  constructor(records: MemoryRecords, port: number) {
    super();
    this.records = records;
    this.port = port;
  }

  override newest(): Promise<FeedPage<QuarantineRecord>> {
    const byKey = new Map(this.records.log.map((record) => [record.key, record]));
    const records = [...byKey.values()].filter(({ value }) => value !== undefined);
    return this.answer({ records, next: this.end(), isComplete: true });
  }

  override changes(from: StorePosition): Promise<FeedPage<QuarantineRecord>> {
    if (this.records.cutOffPorts.has(this.port)) return this.fail();
    this.epochs.observe(this.records.epoch);
    if (from.epoch !== this.records.epoch)
      return Promise.reject(platformError("ended", "epoch_ended", false));
    const records = this.records.log.slice(from.offsetIn(this.records.epoch));
    return this.answer({ records, next: this.end(), isComplete: true });
  }

  override async put(key: string, value: QuarantineRecord): Promise<StoreEpoch> {
    await this.append(key, value);
    return this.records.epoch;
  }

  override drop(key: string): Promise<void> {
    return this.append(key, undefined);
  }

  private end(): StorePosition {
    return new StorePosition(this.records.epoch, this.records.log.length);
  }

  private append(key: string, value: QuarantineRecord | undefined): Promise<void> {
    if (this.records.cutOffPorts.has(this.port)) return this.fail();
    this.epochs.observe(this.records.epoch);
    this.records.log.push({ position: this.end(), key, value });
    return Promise.resolve();
  }

  private answer(page: FeedPage<QuarantineRecord>): Promise<FeedPage<QuarantineRecord>> {
    if (this.records.cutOffPorts.has(this.port)) return this.fail();
    this.epochs.observe(this.records.epoch);
    this.records.reads += 1;
    return Promise.resolve(page);
  }

  private fail(): Promise<never> {
    return Promise.reject(platformError("the store does not answer", "unreachable", false));
  }
}

/** A request of one caller. */
export const requestOf = (body: string, id = body): CallerRequest => ({
  id,
  method: "POST",
  host: "model.example",
  target: "/ask/2f",
  headers: [],
  body: Buffer.from(body),
  arrivedAt: 0,
  timeout: 3_000,
  key: "key-one",
  prompt: undefined,
  countedTokens: undefined,
  lastEventId: undefined,
});

const suspectOf = (body: string, hasBegun: boolean) => ({
  fingerprint: fingerprintOf(requestOf(body)),
  hasBegun,
});

/** A router, and what a test lets happen there. */
export interface QuarantineRouter {
  readonly port: number;
  readonly quarantine: Quarantine;
}

/** Milliseconds between two turns in which promises settle, and between two messages to peers. */
const step = 10;
const beatInterval = 200;

/** Starts routers that know one another. */
export const createQuarantineRouters = (count: number) => {
  const clock = createManualClock(1_000);
  const network = new MemoryNetwork(clock);
  const records: MemoryRecords = { log: [], cutOffPorts: new Set(), reads: 0, epoch: 1 };
  const routers: QuarantineRouter[] = [];
  const trackers: StoreEpochs[] = [];
  /** Ports that exchange no datagrams with the rest. */
  const isolatedPorts = new Set<number>();

  const start = (port: number): QuarantineRouter => {
    const link = network.open(port);
    const others = () =>
      routers
        .filter((other) => other.port !== port && isolatedPorts.has(other.port) === isolatedPorts.has(port))
        .map((other) => ({ at: { address: "10.0.0.1", port: other.port } }));
    const feed = new MemoryFeed(records, port);
    const { epochs } = feed;
    trackers.push(epochs);
    const random = (): number => port / (count + 100);
    const quarantine = createQuarantine({ link, clock, feed, epochs, others, random });
    const router = { port, quarantine };
    routers.push(router);
    return router;
  };
  for (let port = 1; port <= count; port += 1) start(port);

  /** The store loses all records from an offset on. */
  const restoreStore = (length: number): void => {
    records.log.length = length;
    records.epoch += 1;
    // Routers read other topics all the time.
    for (const epochs of trackers) epochs.observe(records.epoch);
  };

  /** What routers' messages to one another say all the time. */
  const beat = (): void => {
    for (const { port, quarantine } of routers) {
      for (const other of routers) {
        if (isolatedPorts.has(other.port) === isolatedPorts.has(port))
          other.quarantine.notePeerDigest(quarantine.digest());
      }
    }
    clock.after(beatInterval, beat);
  };
  beat();

  const advance = async (milliseconds: number): Promise<void> => {
    const until = clock.monotonic() + milliseconds;
    while (clock.monotonic() < until) {
      clock.advanceTo(Math.min(until, clock.monotonic() + step));
      for (let turn = 0; turn < 3; turn += 1) await settled();
    }
  };

  const at = (index: number): QuarantineRouter => {
    const router = routers[index];
    if (router === undefined) throw new Error("There is no such router.");
    return router;
  };

  return {
    clock,
    network,
    records,
    routers,
    isolatedPorts: isolatedPorts,
    start,
    restoreStore: restoreStore,
    stop: async (router: QuarantineRouter): Promise<void> => {
      routers.splice(routers.indexOf(router), 1);
      const disposed = router.quarantine[Symbol.asyncDispose]();
      await advance(step);
      await disposed;
    },
    at,
    advance,
    /** A replica crashes with requests in flight at one router. @param begun - Bodies whose answer had begun. */
    crash: (
      index: number,
      replica: string,
      bodies: readonly string[],
      begun: readonly string[] = [],
    ): void => {
      const suspects = bodies.map((body) => suspectOf(body, begun.includes(body)));
      at(index).quarantine.noteCrash({ replica, suspects });
    },
    /** At which routers a request would not be sent. */
    quarantinedAt: (body: string): readonly number[] =>
      routers.filter(({ quarantine }) => quarantine.isQuarantined(requestOf(body))).map(({ port }) => port),
    /** Asks whether a request may be passed on; moves on until there is an answer. */
    admit: async (index: number, body: string, id = `${body}-${clock.monotonic()}-${index}`) => {
      const request = requestOf(body, id);
      let result: { readonly wait: number | undefined } | undefined;
      const asked = at(index).quarantine.admit(request) ?? Promise.resolve(undefined);
      void asked.then((wait) => {
        result = { wait };
      });
      while (result === undefined) await advance(step);
      return { request, wait: result.wait };
    },
  };
};
