import { describe, it } from "node:test";
import { expect } from "earl";
import { engineEntry } from "../../../tests/support/forwardingFixture.ts";
import type { ReplicaReport } from "../../protocol/forwarding/types.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { directLogs } from "../../state/log.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import { createManualClock } from "../manualClock.ts";
import { createReportObserver } from "./reportObserver.ts";

const own: ReplicaReport = {
  status: 200,
  echoedId: "asked",
  replicaId: undefined,
  isSealed: true,
  isNotRun: false,
  limit: undefined,
  isDraining: false,
  retryAfter: undefined,
};

const start = () => {
  const replicas = createReplicaTable();
  replicas.put(engineEntry("engine"));
  const state = replicas.get("engine");
  if (state === undefined) throw new Error("The replica is not registered.");
  const heard: (number | "none")[] = [];
  const metrics = new MemoryMetrics();
  const observe = createReportObserver({
    limits: {
      observeLimit: (_, { perSecond }) => heard.push(perSecond),
      observeNoLimit: () => heard.push("none"),
    },
    replicas,
    onDraining: () => undefined,
    onBackoff: () => undefined,
    metrics,
    clock: createManualClock(100),
    random: () => 0,
  });
  const request = { replica: state.entry, id: "asked", askedAt: 50 };
  const hear = (limit: ReplicaReport["limit"], head: Partial<ReplicaReport> = own): void =>
    observe(request, { ...own, ...head, limit });
  return { hear, heard, metrics, replicas };
};

describe("what answers name as a limit", () => {
  it("is heard whatever the answer is, 0 too", () => {
    const { hear, heard } = start();
    hear(1.6);
    hear(0.4, { isSealed: false, isNotRun: true });
    hear(0);
    hear(undefined);
    expect(heard).toEqual([1.6, 0.4, 0, "none"]);
  });

  it("is none if it binds nothing", () => {
    const { hear, heard } = start();
    hear(1e30);
    expect(heard).toEqual(["none"]);
  });

  it("changes nothing where it can't be read, is counted, and told once", () => {
    const { hear, heard, metrics } = start();
    const lines: string[] = [];
    directLogs((_, event) => lines.push(event));
    hear("unreadable");
    hear("unreadable");
    expect(heard).toEqual([]);
    expect(lines).toEqual(["limit_unreadable"]);
    expect(metrics.snapshot().limits_unreadable).toEqual(2);
  });

  it("isn't the replica's if another one answers at its address, or to another request", () => {
    const { hear, heard } = start();
    hear(1, { replicaId: "another", isNotRun: true });
    hear(1, { echoedId: "crossed" });
    hear(1, { isSealed: false });
    expect(heard).toEqual([]);
  });
});

describe("what answers report about draining and backoff", () => {
  const record = () => {
    const lines: [string, unknown][] = [];
    directLogs((_, event, fields) => lines.push([event, fields]));
    return lines;
  };

  it("is logged with the answer that said so, and counted", () => {
    const { hear, metrics } = start();
    const lines = record();
    hear(undefined, { isDraining: true });
    hear(undefined, { isDraining: true });
    hear(undefined, { status: 503, isSealed: false, isNotRun: true, retryAfter: 3_000 });
    expect(lines).toEqual([
      ["draining", { replica: "engine", request: "asked", status: 200 }],
      ["backoff_started", { replica: "engine", request: "asked", status: 503, milliseconds: 3_000 }],
    ]);
    expect(metrics.snapshot().draining_reported).toEqual(2);
    expect(metrics.snapshot().backoffs_reported).toEqual(1);
  });

  it("is a backoff in a 429, and in a 503 that bears no mark of the replica", () => {
    const { hear, replicas } = start();
    const lines = record();
    hear(undefined, { status: 429, isSealed: false, isNotRun: true, retryAfter: 1_000 });
    expect(lines.length).toEqual(1);
    replicas.remove("engine");
    replicas.put(engineEntry("engine", { bornAt: 2 }));
    hear(undefined, { status: 503, isSealed: false, retryAfter: 9_000 });
    expect(replicas.get("engine")?.backoff?.until).toEqual(9_100);
  });

  it("is no period where it is zero or can't be decoded, but others are preferred", () => {
    const { hear, replicas } = start();
    hear(undefined, { status: 503, isNotRun: true, retryAfter: 0 });
    hear(undefined, { status: 503, isNotRun: true, retryAfter: "unreadable" });
    const backoff = replicas.get("engine")?.backoff;
    expect([backoff?.until, backoff?.refusals]).toEqual([Number.NEGATIVE_INFINITY, 2]);
  });

  it("is no backoff in an answer that is no refusal", () => {
    const { hear } = start();
    const lines = record();
    hear(undefined, { retryAfter: 3_000 });
    expect(lines).toEqual([]);
  });

  it("is ignored from another replica at the address", () => {
    const { hear } = start();
    const lines = record();
    hear(undefined, { isDraining: true, replicaId: "another" });
    hear(undefined, { status: 503, isNotRun: true, retryAfter: 3_000, echoedId: "crossed" });
    expect(lines).toEqual([]);
  });

  it("is counted each time and logged once where it can't be decoded", () => {
    const { hear, metrics } = start();
    const lines = record();
    hear(undefined, { status: 503, isNotRun: true, retryAfter: "unreadable" });
    hear(undefined, { isDraining: "unreadable" });
    expect(lines).toEqual([
      ["report_unreadable", { replica: "engine", request: "asked", field: "retryAfter" }],
    ]);
    expect(metrics.snapshot().reports_unreadable).toEqual(2);
  });
});
