import { describe, it } from "node:test";
import { expect } from "earl";
import {
  createPublication,
  createReplacement,
  encodeConfigurationRecord,
} from "../protocol/configuration/record.ts";
import { applyDifference, digestSections } from "../protocol/configuration/sections.ts";
import type { Configuration } from "../protocol/configuration/schema.ts";
import { configurationOf, createMemoryLog, publisher, readAll } from "../../tests/support/configuration.ts";
import type { MemoryLog } from "../../tests/support/configuration.ts";
import type { LogRecord } from "../protocol/types.ts";
import { createConfigurationHistory } from "./configurationHistory.ts";
import type { ConfigurationHistory } from "./configurationHistory.ts";

const publishTo = (
  log: MemoryLog,
  seenBy: ConfigurationHistory,
  configuration: Configuration,
  publishedBy = "layla",
): LogRecord => {
  const publication = createPublication(configuration, seenBy.current(), { ...publisher, publishedBy });
  return log.append(encodeConfigurationRecord(publication));
};

/** A log with versions 0, 1 and 2, and a history that has read it. */
const createFilledLog = () => {
  const log = createMemoryLog();
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

  it("lists only the changed sections of a publication", () => {
    const { history } = createFilledLog();
    expect(history.history().map(({ put }) => put.length)).toEqual([7, 1, 1]);
  });

  it("voids a publication with a stale base and names the version that came first", () => {
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

  it("voids a publication that leads to an invalid configuration and applies the next one", () => {
    const { log, history } = createFilledLog();
    const broken = { ...configurationOf(9), dataCentres: [] };
    const outcome = history.apply(publishTo(log, history, broken));
    expect(outcome).toEqual({
      kind: "void",
      offset: 3,
      reason: {
        kind: "invalid",
        problems: [{ path: "dataCentres", cause: "Too small: expected array to have >=1 items" }],
      },
    });
    expect(history.apply(publishTo(log, history, configurationOf(4))).kind).toEqual("applied");
  });

  it("voids a publication whose result has another digest", () => {
    const { log, history } = createFilledLog();
    const publication = createPublication(configurationOf(4), history.current(), publisher);
    const incomplete = { ...publication, put: [] };
    const outcome = history.apply(log.append(encodeConfigurationRecord(incomplete)));
    expect(outcome.kind === "void" ? outcome.reason.kind : outcome.kind).toEqual("digest_mismatch");
  });

  it("voids a publication based on an unknown version", () => {
    const { log, history } = createFilledLog();
    const publication = createPublication(configurationOf(4), history.current(), publisher);
    const outcome = history.apply(log.append(encodeConfigurationRecord({ ...publication, base: 77 })));
    expect(outcome).toEqual({ kind: "void", offset: 3, reason: { kind: "unknown_base", base: 77 } });
  });

  it("voids a record that cannot be decoded", () => {
    const { log, history } = createFilledLog();
    expect(history.apply(log.append("{"))).toEqual({
      kind: "void",
      offset: 3,
      reason: { kind: "unreadable" },
    });
  });

  it("keeps the version of a republished configuration and voids an older republication", () => {
    const { log, history } = createFilledLog();
    const republication = history.republication();
    if (republication === undefined) throw new TypeError("no republication");
    const data = encodeConfigurationRecord(republication);
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

  it("stays uncertain after records expired unread, until a republication provides the state", () => {
    const { log, history } = createFilledLog();
    const republication = history.republication();
    publishTo(log, history, configurationOf(4));
    if (republication === undefined) throw new TypeError("no republication");
    log.append(encodeConfigurationRecord(republication));
    log.expire(3);
    const newReader = createConfigurationHistory();
    const outcomes = newReader.applyPage(0, log.read(0, 1));
    expect(outcomes).toEqual([{ kind: "undecided", offset: 3 }]);
    expect([newReader.isCertain(), newReader.current()]).toEqual([false, undefined]);
    readAll(newReader, log);
    expect(newReader.isCertain()).toEqual(true);
    expect(newReader.current()?.version).toEqual(3);
    expect(standingOf(newReader)).toEqual(4);
  });

  it("does not start from a republication whose writer had not read the expired records", () => {
    const { log, history } = createFilledLog();
    const republication = history.republication();
    publishTo(log, history, configurationOf(4));
    if (republication === undefined) throw new TypeError("no republication");
    log.append(encodeConfigurationRecord(republication));
    log.expire(4);
    const newReader = createConfigurationHistory();
    readAll(newReader, log);
    expect([newReader.isCertain(), newReader.current()]).toEqual([false, undefined]);
  });

  it("starts from a replacement if the earlier records have expired", () => {
    const { log, history } = createFilledLog();
    log.expire(3);
    const newReader = createConfigurationHistory();
    const replacement = createReplacement(configurationOf(6), publisher);
    const record = log.append(encodeConfigurationRecord(replacement));
    readAll(newReader, log);
    history.apply(record);
    expect([newReader.isCertain(), newReader.current()?.version]).toEqual([true, 3]);
    expect(history.current()?.version).toEqual(3);
  });

  it("does not start from a republication whose readTo is beyond its own offset", () => {
    const { log, history } = createFilledLog();
    const republication = history.republication();
    if (republication === undefined) throw new TypeError("no republication");
    const data = encodeConfigurationRecord({ ...republication, readTo: 99 });
    expect(history.apply(log.append(data)).kind).toEqual("void");
    log.expire(3);
    const newReader = createConfigurationHistory();
    readAll(newReader, log);
    expect(newReader.isCertain()).toEqual(false);
  });

  it("decides only the records that the writer of a republication had not read", () => {
    const { log, history } = createFilledLog();
    log.append("?");
    readAll(history, log);
    const republication = history.republication();
    if (republication === undefined) throw new TypeError("no republication");
    log.append(encodeConfigurationRecord(republication));
    log.expire(3);
    const newReader = createConfigurationHistory();
    readAll(newReader, log);
    expect(newReader.history().map(({ offset, fate }) => [offset, fate.kind])).toEqual([[4, "restated"]]);
  });

  it("stays uncertain with a peer's state that is older than the expired records", () => {
    const { log, history } = createFilledLog();
    const snapshot = history.snapshot();
    if (snapshot === undefined) throw new TypeError("no snapshot");
    publishTo(log, history, configurationOf(4));
    publishTo(log, history, configurationOf(5));
    readAll(history, log);
    log.expire(4);
    const newReader = createConfigurationHistory();
    readAll(newReader, log);
    expect(newReader.adopt(snapshot)).toEqual({ kind: "adopted", version: 2 });
    expect([newReader.isCertain(), newReader.republication()]).toEqual([false, undefined]);
    const newer = history.snapshot();
    expect(newer && newReader.adopt(newer)).toEqual({ kind: "adopted", version: 3 });
    expect(newReader.isCertain()).toEqual(true);
  });

  it("voids a publication with a section that is not named after its body", () => {
    const { log, history } = createFilledLog();
    const publication = createPublication(configurationOf(4, 1), history.current(), publisher);
    const put = publication.put.map(({ body }) => ({ section: "organisations/carrier-9", body }));
    const misnamed = applyDifference(history.current()?.sections ?? new Map(), { put, remove: [] });
    const digest = digestSections(misnamed);
    expect(history.apply(log.append(encodeConfigurationRecord({ ...publication, put, digest })))).toEqual({
      kind: "void",
      offset: 3,
      reason: {
        kind: "invalid",
        problems: [{ path: "organisations/carrier-9", cause: "the section is not named after its body" }],
      },
    });
  });

  it("keeps a bounded number of records", () => {
    const { log, history } = createFilledLog();
    for (let count = 0; count < 250; count += 1) log.append("?");
    readAll(history, log);
    expect(history.history().length).toEqual(200);
    expect(history.current()?.version).toEqual(2);
  });

  it("provides no changes from before the snapshot that it adopted", () => {
    const { history } = createFilledLog();
    const snapshot = history.snapshot();
    const peer = createConfigurationHistory();
    if (snapshot !== undefined) peer.adopt(snapshot);
    expect(peer.changesSince(1)).toEqual(undefined);
    expect(peer.changesSince(2)?.put).toEqual([]);
  });

  it("provides only the changed sections to a peer", () => {
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

  it("refuses a damaged state of a peer and does not adopt an older one", () => {
    const { history } = createFilledLog();
    const snapshot = history.snapshot();
    if (snapshot === undefined) throw new TypeError("no snapshot");
    const damaged = { ...snapshot, sections: snapshot.sections.slice(1) };
    const adoption = createConfigurationHistory().adopt(damaged);
    expect(adoption.kind === "refused" ? adoption.reason.kind : adoption.kind).toEqual("digest_mismatch");
    expect(history.adopt(snapshot)).toEqual({ kind: "unchanged" });
    expect(history.adopt({ ...snapshot, version: 1, knownTo: 2 })).toEqual({ kind: "unchanged" });
    expect(history.adopt({ ...snapshot, version: 1, knownTo: 9 })).toEqual({
      kind: "refused",
      reason: { kind: "older_restatement", version: 1, inForce: 2 },
    });
  });
});
