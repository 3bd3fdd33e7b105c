/** Routers that quarantine requests together, on the clock of a test. Datagrams and the store's records are in memory. */
import { setImmediate as nextLoopTurn } from "node:timers/promises";
import type { BrokenRequest } from "../../src/coordination/crashes/brokenRequests.ts";
import { traitsOfRequest } from "../../src/coordination/crashes/requestTraits.ts";
import { createQuarantine } from "../../src/coordination/crashes/quarantine.ts";
import type { Quarantine } from "../../src/coordination/crashes/quarantine.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import { platformError } from "../../src/protocol/errors.ts";
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

/** The records of one topic in the store. */
export interface MemoryRecords {
  readonly log: FeedRecord<QuarantineRecord>[];
  /** Ports of routers that can't reach the store. */
  readonly cutOffPorts: Set<number>;
  reads: number;
  epoch: StoreEpoch;
}

/** The access of one router to the records. */
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

/** @returns A request of the same caller and path, whatever its body. */
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

const brokenOf = (body: string, hasBegun: boolean): BrokenRequest => ({
  traits: traitsOfRequest(requestOf(body)),
  hasBegun,
});

/** One router. */
export interface QuarantineRouter {
  readonly port: number;
  readonly quarantine: Quarantine;
}

/** Length of a step of the clock, after which promises settle; milliseconds. */
const step = 10;
/** Interval of the messages that routers send to one another, milliseconds. */
const heartbeatInterval = 200;

/** Starts routers that know one another, at ports from 1 on. */
export const createQuarantineRouters = (count: number) => {
  const clock = createManualClock(1_000);
  const network = new MemoryNetwork(clock);
  const records: MemoryRecords = { log: [], cutOffPorts: new Set(), reads: 0, epoch: 1 };
  const routers: QuarantineRouter[] = [];
  const allEpochs: StoreEpochs[] = [];
  /** Ports that exchange no messages with the rest. */
  const isolatedPorts = new Set<number>();

  const start = (port: number): QuarantineRouter => {
    const link = network.open(port);
    const others = () =>
      routers
        .filter((other) => other.port !== port && isolatedPorts.has(other.port) === isolatedPorts.has(port))
        .map((other) => ({ at: { address: "10.0.0.1", port: other.port } }));
    const feed = new MemoryFeed(records, port);
    const { epochs } = feed;
    allEpochs.push(epochs);
    const random = (): number => port / (count + 100);
    const quarantine = createQuarantine({ link, clock, feed, epochs, others, random });
    const router = { port, quarantine };
    routers.push(router);
    return router;
  };
  for (let port = 1; port <= count; port += 1) start(port);

  /** Restores the store from an older copy: all records from an offset on are lost, and a new epoch begins. */
  const restoreStore = (length: number): void => {
    records.log.length = length;
    records.epoch += 1;
    // Routers also read other topics, and so soon observe the new epoch.
    for (const epochs of allEpochs) epochs.observe(records.epoch);
  };

  /** Exchanges the digests that routers' messages to one another contain. */
  const sendHeartbeats = (): void => {
    for (const { port, quarantine } of routers) {
      for (const other of routers) {
        if (isolatedPorts.has(other.port) === isolatedPorts.has(port))
          other.quarantine.notePeerDigest(quarantine.digest());
      }
    }
    clock.after(heartbeatInterval, sendHeartbeats);
  };
  sendHeartbeats();

  const advance = async (milliseconds: number): Promise<void> => {
    const end = clock.monotonic() + milliseconds;
    while (clock.monotonic() < end) {
      clock.advanceTo(Math.min(end, clock.monotonic() + step));
      for (let loop = 0; loop < 3; loop += 1) await nextLoopTurn();
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
    isolatedPorts,
    start,
    restoreStore,
    stop: async (router: QuarantineRouter): Promise<void> => {
      routers.splice(routers.indexOf(router), 1);
      const disposed = router.quarantine[Symbol.asyncDispose]();
      await advance(step);
      await disposed;
    },
    at,
    advance,
    /**
     * A replica crashes with requests of one router in flight.
     *
     * @param begun - Bodies of requests whose answer had begun.
     */
    crash: (
      index: number,
      replica: string,
      bodies: readonly string[],
      begun: readonly string[] = [],
    ): void => {
      const broken = bodies.map((body) => brokenOf(body, begun.includes(body)));
      at(index).quarantine.noteCrash({ replica, broken });
    },
    /** @returns Ports of the routers that quarantine a request. */
    quarantinedAt: (body: string): readonly number[] =>
      routers.filter(({ quarantine }) => quarantine.isQuarantined(requestOf(body))).map(({ port }) => port),
    /**
     * Requests admission for a request, and advances the clock until it is decided.
     *
     * @returns The wait that the quarantine gives if it does not admit the request; `undefined` if it does.
     */
    admit: async (index: number, body: string, id = `${body}-${clock.monotonic()}-${index}`) => {
      const request = requestOf(body, id);
      let result: { readonly wait: number | undefined } | undefined;
      const admission = at(index).quarantine.admit(request) ?? Promise.resolve(undefined);
      void admission.then((wait) => {
        result = { wait };
      });
      while (result === undefined) await advance(step);
      return { request, wait: result.wait };
    },
  };
};
