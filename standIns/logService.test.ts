import { expect } from "earl";
import { describe, it } from "node:test";
import type { LogPage } from "../src/protocol/types.ts";
import { createLogServiceStandIn, type LogServiceStandIn } from "./logService.ts";

const append = (log: LogServiceStandIn, ...records: readonly string[]): Promise<Response> =>
  fetch(`${log.url}/streams/leases/records`, { method: "POST", body: JSON.stringify({ records }) });

const read = async (log: LogServiceStandIn, query: string): Promise<LogPage> => {
  const answer = await fetch(`${log.url}/streams/leases/records?${query}`);
  return (await answer.json()) as LogPage;
};

describe("log service stand-in", () => {
  it("assigns offsets in order and keeps only the newest records", async () => {
    await using log = await createLogServiceStandIn({ retentionRecords: 2 });
    expect(await (await append(log, "a", "b")).json()).toEqual({ offsets: [0, 1] });
    expect(await (await append(log, "c")).json()).toEqual({ offsets: [2] });
    const page = await read(log, "from=0");
    expect(page.records.map(({ offset, data }) => [offset, data])).toEqual([
      [1, "b"],
      [2, "c"],
    ]);
    expect([page.earliestOffset, page.nextOffset]).toEqual([1, 3]);
  });

  it("stores an append whose answer is lost", async () => {
    await using log = await createLogServiceStandIn();
    log.faults.loseAppendAnswers = 1;
    await expect(append(log, "a")).toBeRejected();
    expect(log.records("leases").map(({ data }) => data)).toEqual(["a"]);
  });

  it("answers a long poll once a record is appended", async () => {
    await using log = await createLogServiceStandIn();
    const waiting = read(log, "from=0&waitMilliseconds=5000");
    await append(log, "a");
    expect((await waiting).records.length).toEqual(1);
  });

  it("refuses appends above the rate limit and every request during an outage", async () => {
    await using log = await createLogServiceStandIn({ appendsPerSecond: 1 });
    await append(log, "a");
    expect((await append(log, "b")).status).toEqual(429);
    log.faults.outage = true;
    await expect(read(log, "from=0")).toBeRejected();
  });

  it("accepts fault switches over HTTP and refuses unknown ones", async () => {
    await using log = await createLogServiceStandIn();
    const set = (faults: object): Promise<Response> =>
      fetch(`${log.url}/stand-in/faults`, { method: "POST", body: JSON.stringify(faults) });
    expect((await set({ outage: true })).status).toEqual(200);
    expect(log.faults.outage).toEqual(true);
    expect((await set({ outtage: false })).status).toEqual(400);
  });
});
