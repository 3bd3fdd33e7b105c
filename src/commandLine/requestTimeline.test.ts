import { describe, it } from "node:test";
import { expect } from "earl";
import { readLogLines } from "./logLines.ts";
import { summarise } from "./logSummary.ts";
import { buildTimeline } from "./requestTimeline.ts";

const line = (
  second: number,
  part: string,
  event: string,
  fields: Readonly<Record<string, unknown>>,
): string =>
  JSON.stringify({ at: new Date(second * 1_000).toISOString(), part, event, router: "router-1", ...fields });

const timelineOf = (...written: readonly string[]) =>
  buildTimeline("wanted", readLogLines(written.join("\n")).lines);

describe("the timeline of a request", () => {
  it("orders the lines of several routers, with the state of the replica at the time", () => {
    const timeline = timelineOf(
      line(20, "requests", "stream_broken", {
        request: "wanted",
        replica: "i-1",
        milliseconds: 1_018,
        reason: "the connection failed",
      }),
      line(19.5, "requests", "attempt_failed", {
        request: "wanted",
        replica: "i-0",
        fault: "overloaded",
        progress: "sent",
      }),
      line(20.4, "router", "replica", { replica: "i-1", state: "gone", router: "router-2" }),
      line(20, "requests", "served", { request: "another", replica: "i-1" }),
      line(3, "router", "replica", { replica: "i-1", state: "ready" }),
      line(19, "replicas", "ejected", { replica: "i-9" }),
    );
    expect(timeline.steps.map(({ text }) => text.split(" ")[0])).toEqual(["attempt", "the"]);
    expect(timeline.around.length).toEqual(1);
    expect(timeline.around[0]?.text.includes("state=gone")).toEqual(true);
    expect(timeline.cause.includes("connection failed or it was silent")).toEqual(true);
  });

  it("names the replicas that were unavailable, and the state they reported", () => {
    const timeline = timelineOf(
      line(18, "replicas", "backoff_started", { replica: "i-2", request: "other", milliseconds: 3_000 }),
      line(20, "requests", "failed", {
        request: "wanted",
        replica: "i-1",
        milliseconds: 4,
        skipped: "i-2:backoff:1200 i-3:draining",
        reason: "All replicas are shutting down, asked for backoff or are full; the request has not run.",
      }),
    );
    expect(timeline.steps[0]?.text.includes("i-2:backoff:1200 i-3:draining")).toEqual(true);
    expect(timeline.around.length).toEqual(1);
    expect(timeline.cause.includes("every replica of the service drained")).toEqual(true);
  });

  it("says how old the registry was when a request was sent, and which of its entries had no effect", () => {
    const timeline = timelineOf(
      line(19, "replicas", "entry_dropped", { replica: "i-1", reason: "departed", isDraining: true }),
      line(20, "requests", "served", {
        request: "wanted",
        replica: "i-1",
        milliseconds: 9,
        registryAge: 240,
      }),
    );
    expect(timeline.steps[0]?.text.includes("the registry had been read 240 ms before")).toEqual(true);
    expect(timeline.around.map(({ text }) => text)).toEqual([
      "replicas entry_dropped replica=i-1 reason=departed isDraining=true",
    ]);
  });

  // Without the reason, an organisation's own flood looks like a lack of capacity.
  it("says why a request was refused for load, and what its organisation had queued", () => {
    const timeline = timelineOf(
      line(20, "requests", "turned_away", {
        request: "wanted",
        organisation: "one",
        kind: "ask",
        reason: "share",
        replica: "i-1",
        predictedWait: 210,
        queueWait: 190,
        queued: 200,
        organisationQueued: 170,
        capacity: 350,
        comeBackAfter: 400,
      }),
      line(20, "requests", "failed", {
        request: "wanted",
        replica: null,
        reason: "Too much work is waiting",
      }),
    );
    expect(timeline.steps[0]?.text.includes("turned away (share)")).toEqual(true);
    expect(timeline.steps[0]?.text.includes("200 ms were queued there, 170 ms of it by one")).toEqual(true);
    expect(timeline.cause.includes("its organisation had queued its share")).toEqual(true);
  });

  it("names a stale configuration as the cause of a refusal, with its age and the loss of the store", () => {
    const timeline = timelineOf(
      line(9, "feeds", "lost", { feed: "operator" }),
      line(14, "requests", "refused", {
        request: "wanted",
        reason: "RequestError: This router can't tell whether its configuration is in force.",
        configurationVersion: 7,
        storeEpoch: 3,
        readAge: 120,
        configurationAge: 4_900,
      }),
    );
    const proof = "configuration 7, store epoch 3, read 120 ms and proved 4900 ms before";
    expect(timeline.steps[0]?.text.includes(proof)).toEqual(true);
    expect(timeline.around[0]?.text.startsWith("feeds lost")).toEqual(true);
    expect(timeline.cause.includes("no fresh proof")).toEqual(true);
  });

  it("names the limit that refused a request, and that the router could not query its coordinator", () => {
    const timeline = timelineOf(
      line(9, "limits", "unasked", { organisation: "levant" }),
      line(10, "requests", "limited", {
        request: "wanted",
        organisation: "levant",
        amount: 12_000,
        comeBackAfter: 340,
      }),
      line(10, "requests", "failed", {
        request: "wanted",
        organisation: "levant",
        milliseconds: 2,
        reason: "RequestError: The organisation's limit is reached.",
      }),
    );
    expect(timeline.steps[0]?.text.includes("counts 12000 beyond the limit of levant")).toEqual(true);
    expect(timeline.around.map(({ text }) => text)).toEqual(["limits unasked organisation=levant"]);
    expect(timeline.cause.includes("limit allows")).toEqual(true);
  });

  it("names unreachable replica owners as the cause of a wrong placement", () => {
    const timeline = timelineOf(
      line(9, "owners", "silent", { owner: "router-7", milliseconds: 500 }),
      line(12, "requests", "served", {
        request: "wanted",
        replica: "i-1",
        milliseconds: 2_000,
        predictedWait: 90,
        replicasAsked: 4,
        replicasKnown: 0,
        askedFor: 12,
      }),
    );
    expect(timeline.around[0]?.text.startsWith("owners silent owner=router-7")).toEqual(true);
    expect(timeline.cause.includes("no owner of a replica answered")).toEqual(true);
  });

  it("names outdated weights and a wrong prediction as causes", () => {
    const wrong = timelineOf(
      line(1, "requests", "attempt_failed", {
        request: "wanted",
        fault: "wrong_weights",
        progress: "refused",
      }),
      line(2, "requests", "served", {
        request: "wanted",
        replica: "i-1",
        milliseconds: 900,
        predictedWait: 800,
      }),
    );
    expect(wrong.cause.includes("other weights")).toEqual(true);
    const late = timelineOf(
      line(2, "requests", "served", {
        request: "wanted",
        replica: "i-1",
        milliseconds: 900,
        predictedWait: 80,
      }),
    );
    expect(late.cause.includes("longer than predicted")).toEqual(true);
  });

  it("is counted in the summary of refusals and failures by cause and time", () => {
    const written = [
      line(10, "daemon", "starting", {}),
      line(11, "requests", "attempt_failed", { fault: "overloaded" }),
      line(12, "requests", "refused", { reason: "no proof for 4900 ms" }),
      line(21, "requests", "refused", { reason: "no proof for 5100 ms" }),
      line(22, "requests", "served", {}),
    ];
    const { from, causes } = summarise(readLogLines(written.join("\n")).lines, 5);
    expect(from).toEqual(new Date(10_000).toISOString());
    expect(causes).toEqual([
      { cause: "refused: no proof for N ms", total: 2, counts: [1, 0, 1] },
      { cause: "attempt_failed: overloaded", total: 1, counts: [1, 0, 0] },
    ]);
    expect(summarise([], 5).causes).toEqual([]);
  });

  it("reports that no line was found, and counts unreadable lines", () => {
    expect(timelineOf().cause.startsWith("no router wrote a line")).toEqual(true);
    const { lines, unreadable } = readLogLines(
      `router-1 | ${line(1, "daemon", "starting", {})}\nnoise\n{"a":1}\n\n`,
    );
    expect([lines.length, unreadable]).toEqual([1, 2]);
  });
});
