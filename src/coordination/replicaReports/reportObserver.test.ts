import { describe, it } from "node:test";
import { expect } from "earl";
import { engineEntry } from "../../../tests/support/forwardingFixture.ts";
import type { ReplicaReport } from "../../protocol/forwarding/types.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { setLogSink } from "../../state/log.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import { createManualClock } from "../manualClock.ts";
import { createReportObserver } from "./reportObserver.ts";

const report: ReplicaReport = {
  status: 200,
  echoedId: "asked",
  replicaId: undefined,
  isSealed: true,
  isNotExecuted: false,
  limit: undefined,
  isDraining: false,
  retryAfter: undefined,
};

const start = () => {
  const replicas = createReplicaTable();
  replicas.put(engineEntry("engine"));
  const state = replicas.get("engine");
  if (state === undefined) throw new Error("The replica is not registered.");
  const observed: (number | "none")[] = [];
  const metrics = new MemoryMetrics();
  const observe = createReportObserver({
    limits: {
      observeLimit: (_, { perSecond }) => observed.push(perSecond),
      observeNoLimit: () => observed.push("none"),
    },
    replicas,
    onDraining: () => undefined,
    onBackoff: () => undefined,
    metrics,
    clock: createManualClock(100),
    random: () => 0,
  });
  const request = { replica: state.entry, id: "asked", askedAt: 50 };
  const receive = (limit: ReplicaReport["limit"], head: Partial<ReplicaReport> = report): void =>
    observe(request, { ...report, ...head, limit });
  return { receive, observed, metrics, replicas };
};

describe("limits in answers", () => {
  it("are observed in every kind of answer, also a limit of 0", () => {
    const { receive, observed } = start();
    receive(1.6);
    receive(0.4, { isSealed: false, isNotExecuted: true });
    receive(0);
    receive(undefined);
    expect(observed).toEqual([1.6, 0.4, 0, "none"]);
  });

  it("count as no limit where they are too high to matter", () => {
    const { receive, observed } = start();
    receive(1e30);
    expect(observed).toEqual(["none"]);
  });

  it("change nothing where they can't be decoded, and are counted each time and logged once", () => {
    const { receive, observed, metrics } = start();
    const lines: string[] = [];
    setLogSink((_, event) => lines.push(event));
    receive("unreadable");
    receive("unreadable");
    expect(observed).toEqual([]);
    expect(lines).toEqual(["limit_unreadable"]);
    expect(metrics.snapshot().limits_unreadable).toEqual(2);
  });

  it("are ignored in answers from another replica at the address, to another request, or without a mark", () => {
    const { receive, observed } = start();
    receive(1, { replicaId: "another", isNotExecuted: true });
    receive(1, { echoedId: "crossed" });
    receive(1, { isSealed: false });
    expect(observed).toEqual([]);
  });
});

describe("draining and backoff in answers", () => {
  const record = () => {
    const lines: [string, unknown][] = [];
    setLogSink((_, event, fields) => lines.push([event, fields]));
    return lines;
  };

  it("are logged with the answer that reported them, and counted", () => {
    const { receive, metrics } = start();
    const lines = record();
    receive(undefined, { isDraining: true });
    receive(undefined, { isDraining: true });
    receive(undefined, { status: 503, isSealed: false, isNotExecuted: true, retryAfter: 3_000 });
    expect(lines).toEqual([
      ["draining", { replica: "engine", request: "asked", status: 200 }],
      ["backoff_started", { replica: "engine", request: "asked", status: 503, milliseconds: 3_000 }],
    ]);
    expect(metrics.snapshot().draining_reported).toEqual(2);
    expect(metrics.snapshot().backoffs_reported).toEqual(1);
  });

  it("start a backoff with a 429, and with a 503 without a mark of the replica", () => {
    const { receive, replicas } = start();
    const lines = record();
    receive(undefined, { status: 429, isSealed: false, isNotExecuted: true, retryAfter: 1_000 });
    expect(lines.length).toEqual(1);
    replicas.remove("engine");
    replicas.put(engineEntry("engine", { bornAt: 2 }));
    receive(undefined, { status: 503, isSealed: false, retryAfter: 9_000 });
    expect(replicas.get("engine")?.backoff?.until).toEqual(9_100);
  });

  it("set no period where Retry-After is zero or can't be decoded, but other replicas are preferred", () => {
    const { receive, replicas } = start();
    receive(undefined, { status: 503, isNotExecuted: true, retryAfter: 0 });
    receive(undefined, { status: 503, isNotExecuted: true, retryAfter: "unreadable" });
    const backoff = replicas.get("engine")?.backoff;
    expect([backoff?.until, backoff?.refusals]).toEqual([Number.NEGATIVE_INFINITY, 2]);
  });

  it("start no backoff with Retry-After in an answer that is no refusal", () => {
    const { receive } = start();
    const lines = record();
    receive(undefined, { retryAfter: 3_000 });
    expect(lines).toEqual([]);
  });

  it("are ignored in answers from another replica at the address", () => {
    const { receive } = start();
    const lines = record();
    receive(undefined, { isDraining: true, replicaId: "another" });
    receive(undefined, { status: 503, isNotExecuted: true, retryAfter: 3_000, echoedId: "crossed" });
    expect(lines).toEqual([]);
  });

  it("are counted each time and logged once where they can't be decoded", () => {
    const { receive, metrics } = start();
    const lines = record();
    receive(undefined, { status: 503, isNotExecuted: true, retryAfter: "unreadable" });
    receive(undefined, { isDraining: "unreadable" });
    expect(lines).toEqual([
      ["report_unreadable", { replica: "engine", request: "asked", field: "retryAfter" }],
    ]);
    expect(metrics.snapshot().reports_unreadable).toEqual(2);
  });
});
