import { describe, it } from "node:test";
import { setImmediate as settled } from "node:timers/promises";
import { expect } from "earl";
import * as fc from "fast-check";
import { MemoryNetwork } from "../../../tests/support/MemoryNetwork.ts";
import { pause } from "../clock.ts";
import { createManualClock } from "../manualClock.ts";
import type { Peer } from "../forwarding/peerTable.ts";
import { failuresUntilUnreachable } from "./constants.ts";
import type { RecordHandOver } from "./recordHandOver.ts";
import { createRecordHandOver } from "./recordHandOver.ts";
import { startStoreReading } from "./storeReading.ts";
import type { FeedPage, FeedRecord, OperatorRecord } from "../../protocol/forwarding/types.ts";
import { StorePosition } from "../../protocol/StorePosition.ts";
import { positionAt } from "../../../tests/support/positions.ts";

const bounds = { keyRevocation: 5_000, drain: 4_000 };
const readerCount = 3;

const recordsBetween = (epoch: number, from: number, to: number): readonly FeedRecord<OperatorRecord>[] =>
  Array.from({ length: Math.max(0, to - from) }, (_, index) => ({
    position: new StorePosition(epoch, from + index),
    key: "version/m",
    value: { kind: "weights", target: { model: "m", version: from + index } },
  }));

/** Every third record is too large to be handed over. */
const isSmall = ({ position }: FeedRecord<unknown>): boolean => position.offsetIn(position.epoch) % 3 !== 2;

/** Routers of one data centre with a store, of which the first few are readers, and may hand over records. */
const create = (count: number, seed = 1, handsOver = false) => {
  const clock = createManualClock(1_000);
  const network = new MemoryNetwork(clock);
  let random = seed;
  const nextRandom = (): number => {
    random = (random * 16_807) % 2_147_483_647;
    return random / 2_147_483_647;
  };
  /** The time at which each record was published. */
  const published: number[] = [];
  const store = { delay: 2, calls: 0, isDown: false };
  const routers = Array.from({ length: count }, (_, index) => {
    const state = {
      epoch: 1,
      offset: 0,
      provenAt: clock.monotonic(),
      readAt: clock.monotonic(),
      registryProvenAt: clock.monotonic(),
      isCut: false,
      /** Offsets of the records that are known. */
      known: new Set<number>(),
    };
    const apply = ({ records }: FeedPage<OperatorRecord>): void => {
      for (const record of records) {
        state.known.add(record.position.offsetIn(record.position.epoch));
        handOver.keep(record);
      }
    };
    const handOver: RecordHandOver<OperatorRecord> = createRecordHandOver({
      position: () => new StorePosition(state.epoch, state.offset),
      isSmall,
      apply,
    });
    handOver.restart(new StorePosition(state.epoch, 0));
    const read = async (): Promise<number | undefined> => {
      store.calls += 1;
      await pause(clock, store.delay);
      if (store.isDown || state.isCut) return undefined;
      const end = published.length;
      await pause(clock, store.delay);
      return end;
    };
    const check = async (): Promise<boolean> => {
      const askedAt = clock.monotonic();
      const end = await read();
      if (end === undefined) return false;
      apply({
        records: recordsBetween(state.epoch, state.offset, end),
        next: positionAt(end),
        isComplete: true,
      });
      state.offset = Math.max(state.offset, end);
      state.provenAt = Math.max(state.provenAt, askedAt);
      state.readAt = Math.max(state.readAt, askedAt);
      return true;
    };
    const readNow = (): void => {
      const askedAt = clock.monotonic();
      void read().then((end) => {
        if (end !== undefined) state.registryProvenAt = Math.max(state.registryProvenAt, askedAt);
      });
    };
    const at = { address: "10.0.0.1", port: index + 1 };
    const readers = (): readonly Peer[] =>
      Array.from({ length: readerCount }, (__, port) => ({ at: { ...at, port: port + 1 } }) as Peer).filter(
        (peer) => peer.at.port !== at.port,
      );
    const reading = startStoreReading({
      link: network.open(at.port),
      clock,
      bounds,
      isEnabled: () => true,
      isReader: () => index < readerCount,
      readers,
      readAge: () => clock.monotonic() - state.readAt,
      operator: {
        feed: { position: () => new StorePosition(state.epoch, state.offset), check, readNow },
        ...(handsOver ? { handOver } : {}),
        lastChangePosition: () =>
          (handsOver ? handOver.known() : undefined) ?? new StorePosition(state.epoch, state.offset),
        age: () => clock.monotonic() - state.provenAt,
        confirm: (moment) => {
          state.provenAt = Math.max(state.provenAt, moment);
        },
      },
      replicas: {
        feed: { position: () => new StorePosition(state.epoch, state.offset), check, readNow },
        lastChangePosition: () => new StorePosition(state.epoch, 0),
        age: () => clock.monotonic() - state.registryProvenAt,
        confirm: (moment) => {
          state.registryProvenAt = Math.max(state.registryProvenAt, moment);
        },
      },
      random: nextRandom,
    });
    return { state, reading, port: at.port };
  });
  const run = async (milliseconds: number, observe: () => void = () => undefined): Promise<void> => {
    const end = clock.monotonic() + milliseconds;
    for (let next = clock.nextTimer(); next !== undefined && next <= end; next = clock.nextTimer()) {
      clock.advanceTo(next);
      await settled();
      observe();
    }
    clock.advanceTo(end);
  };
  const ages = (): readonly number[] => routers.map(({ state }) => clock.monotonic() - state.provenAt);
  return { clock, network, published, store, routers, run, ages };
};

/** The time for which a key may be served after its end, less the time that a request takes in transit. */
const longestAge = bounds.keyRevocation - 150;

describe("reading the store for other routers", () => {
  it("limits the reads of a router that the store rejects, however often peers announce newer records", async () => {
    const { clock, store, routers, run } = create(20);
    await run(3_000);
    const rejected = routers.at(-1);
    if (rejected === undefined) throw new Error("There are no routers.");
    rejected.state.isCut = true;
    const before = store.calls;
    const others = await (async () => {
      const seconds = 9;
      for (let message = 0; message < seconds * 20; message += 1) {
        rejected.reading.requestRead();
        await run(50);
      }
      return store.calls - before;
    })();
    // The three readers make some 0.8 + 0.6 calls a second each; without the limit, the rejected router reads 20
    // times a second.
    expect(others < 75).toEqual(true);
    rejected.state.isCut = false;
    await run(4_000);
    expect(clock.monotonic() - rejected.state.provenAt < longestAge).toEqual(true);
  });

  // Guards against comparing offsets of different epochs: those of another epoch may be higher.
  it("proves nothing to a router that knows another epoch of the store", async () => {
    const { routers, run } = create(6);
    await run(3_000);
    const behind = routers.at(-1);
    if (behind === undefined) throw new Error("There are no routers.");
    for (const { state } of routers) if (state !== behind.state) state.epoch = 2;
    behind.state.offset = 100;
    behind.state.isCut = true;
    await run(100);
    const before = behind.state.provenAt;
    await run(3_000);
    expect(behind.state.provenAt).toEqual(before);
    behind.state.epoch = 2;
    await run(3_000);
    expect(behind.state.provenAt > before).toEqual(true);
  });

  it("costs calls by readers only, and keeps the proofs of all routers fresh", async () => {
    const { store, run, ages } = create(31);
    await run(3_000);
    store.calls = 0;
    let oldest = 0;
    await run(20_000, () => {
      oldest = Math.max(oldest, ...ages());
    });
    expect(oldest).toBeLessThan(bounds.keyRevocation * 0.6);
    // Three readers, each with a read of both kinds of records every 1.5 s or so; all 31 routers would make 700 calls.
    expect(store.calls).toBeLessThan(90);
  });

  it("makes other routers read newer records at once", async () => {
    const { published, clock, run, routers } = create(31);
    await run(3_000);
    published.push(clock.monotonic());
    await run(3_000);
    expect(routers.every(({ state }) => state.offset === 1)).toEqual(true);
  });

  // Guards against every router reading the store for each change of weights.
  it("hands over small records without a call by the routers that get them", async () => {
    const { published, clock, run, routers, store } = create(31, 1, true);
    await run(3_000);
    const before = store.calls;
    for (const offset of [0, 1]) {
      published.push(clock.monotonic());
      await run(3_000);
      expect(routers.every(({ state }) => state.known.has(offset))).toEqual(true);
    }
    // The three readers make some 1.4 calls a second each.
    expect(store.calls - before).toBeLessThan(40);
  });

  it("continues with another reader if one is frozen, and without readers if all are", async () => {
    const { network, run, routers, clock } = create(31);
    await run(3_000);
    const others = routers.slice(readerCount);
    const oldestOfOthers = (): number =>
      Math.max(...others.map(({ state }) => clock.monotonic() - state.provenAt));
    let oldest = 0;
    const observe = (): void => {
      oldest = Math.max(oldest, oldestOfOthers());
    };
    network.freeze(1);
    await run(10_000, observe);
    network.freeze(2);
    network.freeze(3);
    await run(10_000, observe);
    expect(oldest).toBeLessThan(longestAge);
  });

  it("keeps a router fresh that is cut off from the store only", async () => {
    const { run, routers, clock } = create(31);
    const cut = routers[20];
    if (cut === undefined) throw new Error("a router is missing");
    cut.state.isCut = true;
    let oldest = 0;
    await run(20_000, () => {
      oldest = Math.max(oldest, clock.monotonic() - cut.state.provenAt);
    });
    expect(oldest).toBeLessThan(longestAge);
  });

  it("considers the store unreachable after some failed reads, and reachable again after it recovers", async () => {
    const { run, routers } = create(31);
    const [reader] = routers;
    if (reader === undefined) throw new Error("a router is missing");
    await run(1_000);
    reader.state.isCut = true;
    await run(1_500 + failuresUntilUnreachable * 1_200);
    expect(reader.reading.reachesStore()).toEqual(false);
    reader.state.isCut = false;
    await run(5_000);
    expect(reader.reading.reachesStore()).toEqual(true);
  });

  it("doesn't overload a store that is down, nor when it recovers", async () => {
    const { store, run, ages } = create(31);
    await run(3_000);
    store.isDown = true;
    store.calls = 0;
    await run(9_000);
    // Each router reads for itself, with growing delays.
    expect(store.calls).toBeLessThan(31 * 9 * 2);
    store.isDown = false;
    await run(4_000);
    expect(Math.max(...ages())).toBeLessThan(bounds.keyRevocation);
    store.calls = 0;
    await run(10_000);
    expect(store.calls).toBeLessThan(50);
  });

  it("never proves freshness wrongly, whatever is delayed, lost, frozen or down", async () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant("publish" as const), count: fc.integer({ min: 1, max: 4 }) }),
      fc.record({ kind: fc.constant("freeze" as const), port: fc.integer({ min: 1, max: 6 }) }),
      fc.record({ kind: fc.constant("thaw" as const), port: fc.integer({ min: 1, max: 6 }) }),
      // Answers after 200 ms are ignored: most of the runs need shorter ones.
      fc.record({ kind: fc.constant("messageDelay" as const), delay: fc.oneof(fc.nat(50), fc.nat(900)) }),
      fc.record({ kind: fc.constant("storeDelay" as const), delay: fc.nat(700) }),
      fc.record({ kind: fc.constant("down" as const), isDown: fc.boolean() }),
      fc.record({ kind: fc.constant("cut" as const), router: fc.nat(5), isCut: fc.boolean() }),
      fc.record({ kind: fc.constant("loss" as const), every: fc.constantFrom(0, 2, 3, 7) }),
      fc.record({ kind: fc.constant("run" as const), milliseconds: fc.nat(2_500) }),
    );
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { minLength: 10, maxLength: 60 }),
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.boolean(),
        async (steps, seed, handsOver) => {
          const { clock, network, published, store, routers, run } = create(6, seed, handsOver);
          const observe = (): void => {
            for (const { state } of routers) {
              const before = published.filter((at) => at < state.provenAt).length;
              expect(recordsBetween(1, 0, before).every((_, offset) => state.known.has(offset))).toEqual(
                true,
              );
            }
          };
          for (const each of steps) {
            if (each.kind === "publish")
              for (let record = 0; record < each.count; record += 1) published.push(clock.monotonic());
            else if (each.kind === "freeze") network.freeze(each.port);
            else if (each.kind === "thaw") network.thaw(each.port);
            else if (each.kind === "messageDelay") network.delay = each.delay;
            else if (each.kind === "storeDelay") store.delay = each.delay;
            else if (each.kind === "down") store.isDown = each.isDown;
            else if (each.kind === "loss") network.loseEveryNth = each.every;
            else if (each.kind === "run") await run(each.milliseconds, observe);
            else {
              const router = routers[each.router];
              if (router !== undefined) router.state.isCut = each.isCut;
            }
            await settled();
            observe();
          }
        },
      ),
      { seed: 27, numRuns: 250 },
    );
  });
});
