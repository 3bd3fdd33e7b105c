import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { configurationOf, createMemoryLog, publisher, readAll } from "../../tests/support/configuration.ts";
import {
  createPublication,
  createReplacement,
  encodeConfigurationRecord,
} from "../protocol/configuration/record.ts";
import type { LogPage } from "../protocol/types.ts";
import { createConfigurationHistory } from "./configurationHistory.ts";
import type { ConfigurationHistory } from "./configurationHistory.ts";

const readerCount = 3;
const reader = fc.nat(readerCount - 1);

const step = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("write" as const),
      reader,
      standing: fc.integer({ min: 1, max: 5 }),
      late: fc.boolean(),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("restate" as const), reader, late: fc.boolean() }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("replace" as const), standing: fc.integer({ min: 1, max: 5 }) }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("garbage" as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("appendLate" as const) }) },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("poll" as const),
      reader,
      shift: fc.integer({ min: -3, max: 2 }),
      limit: fc.integer({ min: 1, max: 4 }),
      late: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("deliverLate" as const), reader, newest: fc.boolean() }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("gossip" as const), reader, peer: reader, whole: fc.boolean() }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("expire" as const), records: fc.integer({ min: 1, max: 3 }) }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart" as const), reader }) },
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

const identityOf = (history: ConfigurationHistory): string => {
  const inForce = history.current();
  return inForce === undefined ? "none" : `${inForce.version} ${inForce.digest}`;
};

/** Readers that publish to one log, and the expected state after each of its offsets. */
const createWorld = () => {
  const log = createMemoryLog();
  const reference = createConfigurationHistory();
  const referenceAt = [identityOf(reference)];
  const readers = Array.from({ length: readerCount }, createConfigurationHistory);
  const versions = readers.map(() => -1);
  const lateRecords: string[] = [];
  const latePages: { from: number; page: LogPage }[] = [];

  const append = (data: string): void => {
    reference.apply(log.append(data));
    referenceAt.push(identityOf(reference));
  };

  const write = (data: string, late: boolean): void => {
    if (late) lateRecords.push(data);
    else append(data);
  };

  const historyOf = (index: number): ConfigurationHistory => {
    const history = readers[index];
    if (history === undefined) throw new TypeError("no such reader");
    return history;
  };

  const gossip = (target: ConfigurationHistory, source: ConfigurationHistory, whole: boolean): void => {
    const state = whole ? source.snapshot() : source.changesSince(target.current()?.version ?? -1);
    if (state !== undefined) target.adopt(state);
  };

  const poll = (history: ConfigurationHistory, { shift, limit, late }: Step & { kind: "poll" }): void => {
    const from = Math.max(0, history.readTo() + shift);
    const page = log.read(from, limit);
    if (late) latePages.push({ from, page });
    else history.applyPage(from, page);
  };

  const republish = (history: ConfigurationHistory, late: boolean): void => {
    const record = history.republication();
    if (record !== undefined) write(encodeConfigurationRecord(record), late);
  };

  const run = (action: Step): void => {
    switch (action.kind) {
      case "write": {
        const seen = historyOf(action.reader).current();
        const target = configurationOf(action.standing, 1);
        write(encodeConfigurationRecord(createPublication(target, seen, publisher)), action.late);
        return;
      }
      case "restate": {
        republish(historyOf(action.reader), action.late);
        return;
      }
      case "replace": {
        append(encodeConfigurationRecord(createReplacement(configurationOf(action.standing), publisher)));
        return;
      }
      case "garbage": {
        append("?");
        return;
      }
      case "appendLate": {
        const data = lateRecords.shift();
        if (data !== undefined) append(data);
        return;
      }
      case "poll": {
        poll(historyOf(action.reader), action);
        return;
      }
      case "deliverLate": {
        const late = action.newest ? latePages.pop() : latePages.shift();
        if (late !== undefined) historyOf(action.reader).applyPage(late.from, late.page);
        return;
      }
      case "gossip": {
        gossip(historyOf(action.reader), historyOf(action.peer), action.whole);
        return;
      }
      case "expire": {
        log.expire(log.read(0, 1).earliestOffset + action.records);
        return;
      }
      case "restart":
        readers[action.reader] = createConfigurationHistory();
        versions[action.reader] = -1;
    }
  };

  const checkReader = (history: ConfigurationHistory, index: number): void => {
    const version = history.current()?.version ?? -1;
    expect(version).toBeGreaterThanOrEqual(versions[index] ?? -1);
    versions[index] = version;
    if (history.isCertain())
      expect(identityOf(history)).toEqual(referenceAt[history.readTo()] ?? "beyond the end");
    else expect(referenceAt).toInclude(identityOf(history));
  };

  const settle = (): void => {
    republish(reference, false);
    readers.forEach((history) => readAll(history, log));
  };

  return { run, settle, check: () => readers.forEach(checkReader), readers, reference };
};

describe("createConfigurationHistory under random events", () => {
  it("reaches the same result at all readers and never returns to an earlier version", () => {
    const property = fc.property(fc.array(step, { maxLength: 60, size: "max" }), (steps) => {
      const world = createWorld();
      for (const action of steps) {
        world.run(action);
        world.check();
      }
      world.settle();
      world.check();
      const results = world.readers.map(identityOf);
      expect(results).toEqual(results.map(() => identityOf(world.reference)));
    });
    fc.assert(property, { numRuns: 300, seed: 20_261_202 });
  });
});
