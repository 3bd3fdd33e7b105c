/**
 * Random histories of the registry: replicas write, lapse, restart with clocks that step, report draining in the
 * registry or in an answer, and writes are carried out late; the store returns from copies; routers read late, read
 * everything again, and announce what they know to one another. The model is written from the registry's published
 * rules, not from the code.
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { drainingAnswer, engineEntry } from "../../../tests/support/forwardingFixture.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import type { FeedPage, FeedRecord, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import { StorePosition } from "../../protocol/StorePosition.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createManualClock } from "../manualClock.ts";
import { recoveryDuration } from "./constants.ts";
import { createRegistryRecovery } from "./registryRecovery.ts";

const names = ["a", "b", "c"] as const;
const routerCount = 2;

type Name = (typeof names)[number];

type Action =
  | { readonly kind: "beat" | "lapse" | "leave" | "drain" | "writeLate" | "writeReady"; readonly name: Name }
  | { readonly kind: "restart"; readonly name: Name; readonly clockStep: number }
  | { readonly kind: "drainInAnswer"; readonly name: Name; readonly router: number }
  | { readonly kind: "read" | "announce"; readonly router: number }
  | {
      readonly kind: "readAll";
      readonly router: number;
      /** The number of records by which the store's answer is old. */
      readonly lag: number;
      /** The number of records that the answer contains although they follow its position. */
      readonly overlap: number;
    }
  | { readonly kind: "restore"; readonly lost: number };

const name = fc.constantFrom(...names);
const router = fc.nat({ max: routerCount - 1 });
const kindOf = <Kind extends string>(...kinds: readonly Kind[]) => fc.constantFrom(...kinds);

const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 10,
    arbitrary: fc.record({
      kind: kindOf("beat", "beat", "lapse", "leave", "drain", "writeLate", "writeReady"),
      name,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: kindOf("restart"),
      name,
      clockStep: fc.constantFrom(-2_000, -1, 1, 2_000),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: kindOf("drainInAnswer"), name, router }) },
  { weight: 5, arbitrary: fc.record({ kind: kindOf("read", "read", "announce"), router }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kindOf("readAll"),
      router,
      lag: fc.nat({ max: 3 }),
      overlap: fc.nat({ max: 3 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: kindOf("restore"), lost: fc.nat({ max: 6 }) }) },
);

/** A running replica: the incarnation that writes its entry. */
interface Process {
  readonly bornAt: number;
  readonly isDraining: boolean;
}

interface StoredRecord {
  readonly key: Name;
  readonly entry: ReplicaEntry | undefined;
}

const entryOf = (key: Name, { bornAt, isDraining }: Process): ReplicaEntry =>
  engineEntry(`${key}/${bornAt}`, { registeredAs: key, bornAt, isDraining });

/** The store: a log of records, of which the newest of each key counts. */
const createStore = () => {
  let epoch = 1;
  let log: StoredRecord[] = [];
  const toRecord = ({ key, entry }: StoredRecord, offset: number): FeedRecord<ReplicaEntry> => ({
    position: new StorePosition(epoch, offset),
    key,
    value: entry,
  });
  const pageOf = (records: readonly FeedRecord<ReplicaEntry>[], next: number): FeedPage<ReplicaEntry> => ({
    records,
    next: new StorePosition(epoch, next),
    isComplete: true,
  });
  /** @returns The newest record of each key among the first records of the log. */
  const newestOf = (length: number): readonly FeedRecord<ReplicaEntry>[] => {
    const records = log.slice(0, length).map(toRecord);
    return names.flatMap((key) => {
      const record = records.findLast((each) => each.key === key);
      return record?.value === undefined ? [] : [record];
    });
  };
  return {
    epoch: () => epoch,
    end: () => log.length,
    write: (key: Name, entry: ReplicaEntry | undefined): void => {
      log.push({ key, entry });
    },
    changes: (from: number) => pageOf(log.map(toRecord).slice(from), log.length),
    newest: (lag: number, overlap: number) => {
      const length = Math.max(0, log.length - lag);
      return pageOf(newestOf(length), Math.max(0, length - overlap));
    },
    /** @returns The position after the last record that changes which replicas get work. */
    lastChange: () => {
      const described = new Map<Name, string>();
      let last = 0;
      for (const [offset, { key, entry }] of log.entries()) {
        const description = entry === undefined ? "" : `${entry.id} ${entry.isDraining}`;
        if (description !== (described.get(key) ?? "")) last = offset + 1;
        described.set(key, description);
      }
      return new StorePosition(epoch, last);
    },
    restore: (lost: number): void => {
      log = log.slice(0, Math.max(0, log.length - lost));
      epoch += 1;
    },
  };
};

/** A router with its own state, which reads a store. */
const createReader = (store: ReturnType<typeof createStore>) => {
  const replicas = createReplicaTable();
  const clock = createManualClock(1_000);
  const registry = createRegistryRecovery(replicas, clock);
  let position: StorePosition | undefined;
  /** Ids of which this router has been told, by whatever source, that they drain. */
  const toldDraining = new Set<string>();

  const noteRead = ({ records, next }: FeedPage<ReplicaEntry>): void => {
    for (const { value } of records) if (value?.isDraining === true) toldDraining.add(value.id);
    position = next;
  };

  const readAll = (lag = 0, overlap = 0): void => {
    const page = store.newest(lag, overlap);
    registry.replace(page);
    noteRead(page);
  };

  const read = (): void => {
    const known = position?.epoch === store.epoch() ? position : undefined;
    if (known === undefined) readAll();
    const page = store.changes((known ?? position)?.offsetIn(store.epoch()) ?? 0);
    registry.apply(page);
    noteRead(page);
    registry.confirm(clock.monotonic());
  };

  return {
    replicas,
    registry,
    toldDraining,
    read,
    readAll,
    endRecovery: (): void => {
      clock.advanceTo(clock.monotonic() + recoveryDuration);
      read();
    },
    learnDraining: (id: string): void => {
      replicas.markDraining(id, drainingAnswer);
      toldDraining.add(id);
    },
    serving: (): readonly string[] => replicas.serving("engines").map(({ entry }) => entry.id),
  };
};

type Reader = ReturnType<typeof createReader>;

const announce = (from: Reader, to: Reader): void => {
  for (const id of from.toldDraining) {
    to.replicas.markKeyDraining(replicaKeyOf(id), { source: "peer", detail: "peer" });
    to.toldDraining.add(id);
  }
};

const createWorld = () => {
  const store = createStore();
  const processes = new Map<Name, Process>();
  const ended = new Map<Name, Process>();
  let births = 10_000;
  const start = (key: Name, clockStep: number): void => {
    const before = processes.get(key);
    if (before !== undefined) ended.set(key, before);
    births += 10;
    processes.set(key, { bornAt: births + clockStep, isDraining: false });
  };
  const beat = (key: Name): void => {
    const process = processes.get(key);
    if (process !== undefined) store.write(key, entryOf(key, process));
  };
  for (const key of names) {
    start(key, 0);
    beat(key);
  }
  const readers = Array.from({ length: routerCount }, () => createReader(store));
  for (const reader of readers) reader.read();
  const readerAt = (index: number): Reader => {
    const reader = readers[index];
    if (reader === undefined) throw new RangeError(`There is no router ${index}.`);
    return reader;
  };
  const drain = (key: Name): void => {
    const process = processes.get(key);
    if (process !== undefined) processes.set(key, { ...process, isDraining: true });
  };

  const apply = (step: Action): void => {
    switch (step.kind) {
      case "beat":
        beat(step.name);
        break;
      case "lapse":
        store.write(step.name, undefined);
        break;
      case "leave":
        processes.delete(step.name);
        store.write(step.name, undefined);
        break;
      case "writeReady": {
        const process = processes.get(step.name);
        if (process !== undefined)
          store.write(step.name, entryOf(step.name, { ...process, isDraining: false }));
        break;
      }
      case "drain":
        drain(step.name);
        beat(step.name);
        break;
      case "writeLate": {
        const late = ended.get(step.name);
        ended.delete(step.name);
        if (late !== undefined) store.write(step.name, entryOf(step.name, late));
        break;
      }
      case "restart":
        start(step.name, step.clockStep);
        beat(step.name);
        break;
      case "drainInAnswer": {
        const process = processes.get(step.name);
        drain(step.name);
        if (process !== undefined) readerAt(step.router).learnDraining(entryOf(step.name, process).id);
        break;
      }
      case "read":
        readerAt(step.router).read();
        break;
      case "readAll":
        readerAt(step.router).readAll(step.lag, step.overlap);
        break;
      case "announce":
        announce(readerAt(step.router), readerAt(1 - step.router));
        break;
      case "restore":
        store.restore(step.lost);
        break;
    }
  };
  const repeatOrExpire = (key: Name): void => {
    if (processes.has(key)) beat(key);
    else store.write(key, undefined);
  };
  return { store, processes, readers, repeatOrExpire, apply };
};

const history = fc.array(action, { maxLength: 60 });
const runs = { numRuns: 2_000, seed: 7 };

describe("the registry over random histories", () => {
  it("never gives work to an incarnation that was reported to drain, whatever the source and the order", () => {
    fc.assert(
      fc.property(history, (steps) => {
        const { readers, apply } = createWorld();
        for (const step of steps) {
          apply(step);
          for (const { serving, toldDraining } of readers)
            expect(serving().filter((id) => toldDraining.has(id))).toEqual([]);
        }
      }),
      runs,
    );
  });

  it("never gives work to a draining replica by a late write of its previous incarnation", () => {
    fc.assert(
      fc.property(history, (steps) => {
        const { readers, processes, apply } = createWorld();
        const [reader] = readers;
        if (reader === undefined) throw new Error("There is no router.");
        for (const step of steps.filter(({ kind }) => kind !== "restore" && kind !== "writeReady")) {
          apply(step);
          reader.read();
          for (const [key, process] of processes) {
            const { id } = entryOf(key, process);
            if (!process.isDraining || !reader.toldDraining.has(id)) continue;
            expect(reader.serving().filter((each) => each.startsWith(`${key}/`))).toEqual([]);
          }
        }
      }),
      runs,
    );
  });

  it("leaves a router with the replicas that one which starts then would use, except for those that drain", () => {
    fc.assert(
      fc.property(history, (steps) => {
        const { store, readers, repeatOrExpire, apply } = createWorld();
        steps.forEach(apply);
        // Running replicas repeat their entries, and the store removes those of ended ones. A replaced incarnation
        // returns with its second entry in a row, of which the first read in a new epoch is none.
        for (let round = 0; round < 3; round += 1) {
          names.forEach(repeatOrExpire);
          for (const reader of readers) reader.read();
        }
        for (const reader of readers) reader.endRecovery();
        const fresh = createReader(store);
        fresh.read();
        for (const { serving, toldDraining } of readers) {
          const expected = fresh.serving().filter((id) => !toldDraining.has(id));
          expect([...serving()].sort()).toEqual([...expected].sort());
        }
      }),
      runs,
    );
  });

  it("advances the position for every record that changes which replicas a router that starts would use", () => {
    fc.assert(
      fc.property(history, (steps) => {
        const { store, readers, apply } = createWorld();
        const [reader] = readers;
        if (reader === undefined) throw new Error("There is no router.");
        for (const step of steps) {
          apply(step);
          reader.read();
          const position = reader.registry.lastChangePosition();
          expect(position?.epoch).toEqual(store.epoch());
          expect(position?.isBefore(store.lastChange())).toEqual(false);
        }
      }),
      runs,
    );
  });
});
