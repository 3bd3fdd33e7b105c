import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  createPublication,
  createReplacement,
  encodeConfigurationRecord,
} from "../protocol/configuration/record.ts";
import { configurationSchema } from "../protocol/configuration/schema.ts";
import type { Configuration } from "../protocol/configuration/schema.ts";
import type { LogPage, LogRecord } from "../protocol/types.ts";
import { createConfigurationHistory } from "./configurationHistory.ts";
import type { ConfigurationHistory } from "./configurationHistory.ts";

const publisher = { publishedBy: "layla", publishedAt: 1_700_000_000_000 };

/** A configuration with one organisation for each standing given. */
const configurationOf = (...standings: readonly number[]): Configuration =>
  configurationSchema.parse({
    schema: 1,
    deployments: [{ name: "levant", objective: { timeToFirstToken: 1, recomputation: 0 } }],
    dataCentres: [{ name: "amman-north", region: "amman" }],
    organisations: standings.map((standing, index) => ({
      name: `carrier-${index}`,
      deployment: "levant",
      keyHashes: [index.toString(16).padStart(64, "0")],
      standing,
      models: [],
      services: [],
      limits: { concurrentRequests: 1, requestsPerSecond: 1 },
    })),
    classes: [
      {
        name: "currency-check",
        deployment: "levant",
        kind: "interactive",
        firstTokenDeadline: 500,
        completionDeadline: 1_000,
        stallTimeout: 500,
        priority: 0,
        retryRatio: 0.1,
      },
    ],
    models: [],
    enginePools: [],
    services: [],
    limits: { claimRetention: 60_000, leaseDuration: 10_000, simultaneousLoads: 2 },
  });

/** A log that keeps everything, and shows less of it. */
const createFakeLog = () => {
  const records: LogRecord[] = [];
  let earliestOffset = 0;
  return {
    nextOffset: () => records.length,
    append: (data: string): LogRecord => {
      const record = { offset: records.length, appendedAt: records.length * 1_000, data };
      records.push(record);
      return record;
    },
    expire: (offset: number): void => {
      earliestOffset = Math.max(earliestOffset, Math.min(offset, records.length));
    },
    read: (from: number, limit: number): LogPage => ({
      records: records.slice(Math.max(from, earliestOffset)).slice(0, limit),
      earliestOffset,
      nextOffset: records.length,
    }),
  };
};

type FakeLog = ReturnType<typeof createFakeLog>;

const readAll = (history: ConfigurationHistory, log: FakeLog): void => {
  const from = history.readTo();
  history.applyPage(from, log.read(from, Number.POSITIVE_INFINITY));
};

const publishTo = (
  log: FakeLog,
  seenBy: ConfigurationHistory,
  configuration: Configuration,
  publishedBy = "layla",
): LogRecord => {
  const publication = createPublication(configuration, seenBy.current(), { ...publisher, publishedBy });
  return log.append(encodeConfigurationRecord(publication));
};

/** A log with versions 0, 1 and 2, and a history that has read it. */
const createFilledLog = () => {
  const log = createFakeLog();
  const history = createConfigurationHistory();
  for (const standing of [1, 2, 3]) {
    publishTo(log, history, configurationOf(standing, 1));
    readAll(history, log);
  }
  return { log, history };
};

const standingOf = (history: ConfigurationHistory) =>
  history.current()?.configuration.organisations[0]?.standing;

describe("createConfigurationHistory", () => {
  it("applies a publication that is based on the version in force", () => {
    const { history } = createFilledLog();
    expect(history.current()?.version).toEqual(2);
    expect(standingOf(history)).toEqual(3);
    expect(history.current()?.publishedBy).toEqual("layla");
  });

  it("carries only the sections that changed", () => {
    const { history } = createFilledLog();
    expect(history.history().map(({ put }) => put.length)).toEqual([7, 1, 1]);
  });

  it("names the version that beat a publication", () => {
    const { log, history } = createFilledLog();
    const winner = publishTo(log, history, configurationOf(4), "layla");
    const loser = publishTo(log, history, configurationOf(5), "rosalia");
    readAll(history, log);
    expect(history.apply(winner)).toEqual({ kind: "seen", offset: 3 });
    expect(history.history().at(-1)?.fate).toEqual({
      kind: "void",
      offset: loser.offset,
      reason: { kind: "stale_base", base: 2, beatenBy: 3 },
    });
    expect(standingOf(history)).toEqual(4);
  });

  it("voids a publication that leads to an invalid configuration, and then takes the next", () => {
    const { log, history } = createFilledLog();
    const broken = { ...configurationOf(9), dataCentres: [] };
    const fate = history.apply(publishTo(log, history, broken));
    expect(fate).toEqual({
      kind: "void",
      offset: 3,
      reason: {
        kind: "invalid",
        problems: [{ path: "dataCentres", cause: "Too small: expected array to have >=1 items" }],
      },
    });
    expect(history.apply(publishTo(log, history, configurationOf(4))).kind).toEqual("applied");
  });

  it("voids a publication whose result is not the published file", () => {
    const { log, history } = createFilledLog();
    const publication = createPublication(configurationOf(4), history.current(), publisher);
    const crippled = { ...publication, put: [] };
    const fate = history.apply(log.append(encodeConfigurationRecord(crippled)));
    expect(fate.kind === "void" ? fate.reason.kind : fate.kind).toEqual("digest_mismatch");
  });

  it("voids a publication based on a version that never was", () => {
    const { log, history } = createFilledLog();
    const publication = createPublication(configurationOf(4), history.current(), publisher);
    const fate = history.apply(log.append(encodeConfigurationRecord({ ...publication, base: 77 })));
    expect(fate).toEqual({ kind: "void", offset: 3, reason: { kind: "unknown_base", base: 77 } });
  });

  it("voids what is no record", () => {
    const { log, history } = createFilledLog();
    expect(history.apply(log.append("{"))).toEqual({
      kind: "void",
      offset: 3,
      reason: { kind: "unreadable" },
    });
  });

  it("keeps the version of a restated configuration, and voids an older restatement", () => {
    const { log, history } = createFilledLog();
    const restatement = history.restatement();
    if (restatement === undefined) throw new TypeError("no restatement");
    const data = encodeConfigurationRecord(restatement);
    expect(history.apply(log.append(data))).toEqual({ kind: "restated", offset: 3, version: 2 });
    expect(history.wholeRecord()).toEqual({ offset: 3, appendedAt: 3_000 });
    history.apply(publishTo(log, history, configurationOf(4)));
    expect(history.apply(log.append(data))).toEqual({
      kind: "void",
      offset: 5,
      reason: { kind: "older_restatement", version: 2, inForce: 4 },
    });
    expect(history.current()?.version).toEqual(4);
  });

  it("is ignorant where records expired, until a restatement tells the state", () => {
    const { log, history } = createFilledLog();
    const restatement = history.restatement();
    publishTo(log, history, configurationOf(4));
    if (restatement === undefined) throw new TypeError("no restatement");
    log.append(encodeConfigurationRecord(restatement));
    log.expire(3);
    const late = createConfigurationHistory();
    const fates = late.applyPage(0, log.read(0, 1));
    expect(fates).toEqual([{ kind: "undecided", offset: 3 }]);
    expect([late.isCertain(), late.current()]).toEqual([false, undefined]);
    readAll(late, log);
    expect(late.isCertain()).toEqual(true);
    expect(late.current()?.version).toEqual(3);
    expect(standingOf(late)).toEqual(4);
  });

  it("does not start from a restatement whose writer had not read what expired", () => {
    const { log, history } = createFilledLog();
    const restatement = history.restatement();
    publishTo(log, history, configurationOf(4));
    if (restatement === undefined) throw new TypeError("no restatement");
    log.append(encodeConfigurationRecord(restatement));
    log.expire(4);
    const late = createConfigurationHistory();
    readAll(late, log);
    expect([late.isCertain(), late.current()]).toEqual([false, undefined]);
  });

  it("lets a replacement start a log that no longer tells its state", () => {
    const { log, history } = createFilledLog();
    log.expire(3);
    const late = createConfigurationHistory();
    const replacement = createReplacement(configurationOf(6), publisher);
    const record = log.append(encodeConfigurationRecord(replacement));
    readAll(late, log);
    history.apply(record);
    expect([late.isCertain(), late.current()?.version]).toEqual([true, 3]);
    expect(history.current()?.version).toEqual(3);
  });

  it("sends a peer only what changed", () => {
    const { log, history } = createFilledLog();
    const peer = createConfigurationHistory();
    peer.applyPage(0, log.read(0, 2));
    history.apply(publishTo(log, history, configurationOf(3)));
    const changes = history.changesSince(1);
    expect(changes?.put.map(({ section }) => section)).toEqual(["organisations/carrier-0"]);
    expect(changes?.remove).toEqual(["organisations/carrier-1"]);
    if (changes === undefined) return;
    expect(peer.adopt(changes)).toEqual({ kind: "adopted", version: 3 });
    expect(peer.current()).toEqual(history.current());
    expect(createConfigurationHistory().adopt(changes)).toEqual({ kind: "other_base" });
  });

  it("refuses a peer's state that is damaged or older", () => {
    const { history } = createFilledLog();
    const snapshot = history.snapshot();
    if (snapshot === undefined) throw new TypeError("no snapshot");
    const damaged = { ...snapshot, sections: snapshot.sections.slice(1) };
    const adoption = createConfigurationHistory().adopt(damaged);
    expect(adoption.kind === "refused" ? adoption.reason.kind : adoption.kind).toEqual("digest_mismatch");
    expect(history.adopt(snapshot)).toEqual({ kind: "unchanged" });
    expect(history.adopt({ ...snapshot, version: 1, knownTo: 9 })).toEqual({
      kind: "refused",
      reason: { kind: "older_restatement", version: 1, inForce: 2 },
    });
  });
});

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

/** Publishers and readers around one log, and the state that the log has at each offset. */
const createWorld = () => {
  const log = createFakeLog();
  const truth = createConfigurationHistory();
  const truthAt = [identityOf(truth)];
  const readers = Array.from({ length: readerCount }, createConfigurationHistory);
  const versions = readers.map(() => -1);
  const lateRecords: string[] = [];
  const latePages: { from: number; page: LogPage }[] = [];

  const append = (data: string): void => {
    truth.apply(log.append(data));
    truthAt.push(identityOf(truth));
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

  const restate = (history: ConfigurationHistory, late: boolean): void => {
    const record = history.restatement();
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
        restate(historyOf(action.reader), action.late);
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
      expect(identityOf(history)).toEqual(truthAt[history.readTo()] ?? "beyond the end");
    else expect(truthAt).toInclude(identityOf(history));
  };

  const settle = (): void => {
    restate(truth, false);
    readers.forEach((history) => readAll(history, log));
  };

  return { run, settle, check: () => readers.forEach(checkReader), readers, truth };
};

describe("createConfigurationHistory, whatever happens", () => {
  it("comes to one result at all readers and never steps back", () => {
    const property = fc.property(fc.array(step, { maxLength: 60, size: "max" }), (steps) => {
      const world = createWorld();
      for (const action of steps) {
        world.run(action);
        world.check();
      }
      world.settle();
      world.check();
      const results = world.readers.map(identityOf);
      expect(results).toEqual(results.map(() => identityOf(world.truth)));
    });
    fc.assert(property, { numRuns: 300, seed: 20_261_202 });
  });
});
