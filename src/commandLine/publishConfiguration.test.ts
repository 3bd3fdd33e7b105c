import { describe, it } from "node:test";
import { expect } from "earl";
import { configurationOf, createMemoryLog } from "../../tests/support/configuration.ts";
import { PlatformError, platformError } from "../protocol/errors.ts";
import { LogService } from "../protocol/LogService.ts";
import type { AppendedRecords, LogPage } from "../protocol/types.ts";
import { publishConfiguration } from "./publishConfiguration.ts";
import type { PublishResult } from "./publishConfiguration.ts";
import { defaultEpoch } from "../protocol/storeEpoch.ts";

/** How an append fails. Without a fault left in the list, appends succeed. */
type Fault = "taken_answer_lost" | "lost_before" | "refused" | "rival_first";

/** A log in memory whose appends fail in the given order, and whose reads fail in a given range. */
const createFaultyLog = (appendFaults: readonly Fault[], readFaults = 0, readsBeforeFaults = 0) => {
  const records = createMemoryLog();
  const faults = [...appendFaults];
  let reads = 0;

  class FaultyLog extends LogService {
    override async append(stream: string, data: readonly string[]): Promise<AppendedRecords> {
      const fault = faults.shift();
      if (fault === "refused") throw platformError("fake: 429", "overloaded", false);
      if (fault === "lost_before") throw platformError("fake: lost", "unreachable", true);
      if (fault === "rival_first") await publish(log, 7, "rosalia");
      const offsets = data.map((item) => records.append(item).offset);
      if (fault === "taken_answer_lost") throw platformError("fake: lost", "unreachable", true);
      return { offsets, epoch: defaultEpoch };
    }

    override read(_stream: string, fromOffset: number, limit: number): Promise<LogPage> {
      reads += 1;
      const fails = reads > readsBeforeFaults && reads <= readsBeforeFaults + readFaults;
      if (fails) return Promise.reject(platformError("fake: out", "unreachable", false));
      return Promise.resolve(records.read(fromOffset, limit));
    }
  }

  const log = new FaultyLog();
  return { log, records };
};

const publish = (
  log: LogService,
  standing: number,
  publishedBy = "layla",
  replace = false,
): Promise<PublishResult> =>
  publishConfiguration(log, {
    configuration: configurationOf(standing),
    publishedBy,
    publishedAt: 1_700_000_000_000,
    replace,
    retryDelay: 0,
  });

const kindOf = async (result: Promise<PublishResult>): Promise<string> => (await result).kind;

describe("publishConfiguration", () => {
  it("publishes, and does not publish the same configuration again", async () => {
    const { log, records } = createFaultyLog([]);
    const result = await publish(log, 1);
    expect(result.kind === "published" && result.version).toEqual(0);
    expect((await publish(log, 1)).kind).toEqual("already_in_force");
    expect(records.nextOffset()).toEqual(1);
  });

  it("names the publication that was appended first", async () => {
    const { log } = createFaultyLog(["rival_first"]);
    expect(await publish(log, 1)).toEqual({
      kind: "beaten",
      by: { version: 0, publishedBy: "rosalia", publishedAt: 1_700_000_000_000 },
    });
  });

  it("finds a publication whose response was lost, and does not append it again", async () => {
    const { log, records } = createFaultyLog(["taken_answer_lost"]);
    expect(await kindOf(publish(log, 1))).toEqual("published");
    expect(records.nextOffset()).toEqual(1);
  });

  it("appends again if the append did not reach the log", async () => {
    const { log, records } = createFaultyLog(["lost_before", "refused"]);
    expect(await kindOf(publish(log, 1))).toEqual("published");
    expect(records.nextOffset()).toEqual(1);
  });

  it("never appends a replacement twice", async () => {
    const { log, records } = createFaultyLog(["lost_before"]);
    expect(await kindOf(publish(log, 1, "layla", true))).toEqual("outcome_unknown");
    expect(records.nextOffset()).toEqual(0);
  });

  it("reports an unknown outcome if the log fails after a lost response", async () => {
    const { log } = createFaultyLog(
      ["taken_answer_lost", "taken_answer_lost", "taken_answer_lost"],
      Number.POSITIVE_INFINITY,
      1,
    );
    expect(await kindOf(publish(log, 1))).toEqual("outcome_unknown");
  });

  it("throws if the log has rejected every append", async () => {
    const { log, records } = createFaultyLog(["refused", "refused", "refused"]);
    const error: unknown = await publish(log, 1).catch((failure: unknown) => failure);
    expect(error instanceof PlatformError).toEqual(true);
    expect(records.nextOffset()).toEqual(0);
  });

  it("retries reads while the log is unavailable for a moment", async () => {
    const { log } = createFaultyLog([], 3);
    expect(await kindOf(publish(log, 1))).toEqual("published");
  });

  it("does not publish if the log no longer shows the state, unless asked to replace it", async () => {
    const { log, records } = createFaultyLog([]);
    await publish(log, 1);
    await publish(log, 2);
    records.expire(1);
    expect(await kindOf(publish(log, 3))).toEqual("state_unknown");
    const result = await publish(log, 3, "layla", true);
    expect(result.kind === "published" && result.version).toEqual(2);
  });
});
