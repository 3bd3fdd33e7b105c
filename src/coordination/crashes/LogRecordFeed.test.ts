import { describe, it } from "node:test";
import { expect } from "earl";
import { FakeLogService } from "../../../tests/support/FakeLogService.ts";
import { positionAt } from "../../../tests/support/positions.ts";
import { createManualClock } from "../manualClock.ts";
import { LogRecordFeed } from "./LogRecordFeed.ts";

const stream = "quarantine";

describe("quarantine records in the log", () => {
  it("are the newest of each key that was not dropped, and skip unreadable records", async () => {
    const log = new FakeLogService(createManualClock(0));
    const feed = new LogRecordFeed(log, stream);
    await feed.put("first", { kind: "content", name: "", trials: 0, trial: "" });
    await feed.put("second", { kind: "content", name: "", trials: 0, trial: "" });
    await log.append(stream, ["no record", JSON.stringify({ key: 7 })]);
    await feed.put("first", { kind: "content", name: "", trials: 1, trial: "a" });
    await feed.drop("second");
    const { records, next } = await feed.newest();
    expect(records.map(({ key, value }) => [key, value?.trials])).toEqual([["first", 1]]);
    expect(next).toEqual(positionAt(6));
    const later = await feed.changes(positionAt(4), 0);
    expect(later.records.map(({ key, value }) => [key, value === undefined])).toEqual([
      ["first", false],
      ["second", true],
    ]);
    expect(later.isComplete).toEqual(true);
  });
});
