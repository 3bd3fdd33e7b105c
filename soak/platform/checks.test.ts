import { describe, it } from "node:test";
import { expect } from "earl";
import type { Arrival, ReceivedOrder, ExecutedRequest } from "../../standIns/platform/replica.ts";
import { saltHeaders } from "../../standIns/platform/platformSystem.ts";
import { routerHeader } from "../../tests/support/limitedReplicas.ts";
import { eventsPerStream, findPlatformViolations } from "./checks.ts";
import { createPlan } from "./plan.ts";
import { shrinkPlan } from "./shrink.ts";
import type { CallerRecord, SoakHistory, ReplicaRecord, StepRecord } from "./types.ts";

const plainBody = (id: string): string => JSON.stringify({ id, body: "sent" });

const streamBody = (id: string, count = eventsPerStream): string =>
  Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: ${id} ${index + 1}\n\n`).join("");

const caller = (id: string, fields: Partial<CallerRecord> = {}): CallerRecord => ({
  id,
  name: "post",
  organisation: "one",
  key: "key",
  router: "router-0",
  sentAt: 1_000,
  endedAt: 1_050,
  status: 200,
  body: plainBody(id),
  sentBody: "sent",
  padding: 0,
  isCut: false,
  hasDisconnected: false,
  drainingReplica: undefined,
  ...fields,
});

const run = (id: string, fields: Partial<ExecutedRequest> = {}): ExecutedRequest => ({
  id,
  method: "POST",
  target: "/post/",
  headers: {},
  body: "sent",
  at: 1_010,
  weightsVersion: 0,
  wasCut: false,
  ...fields,
});

const order = (fence: number, holder: string, version: number): ReceivedOrder => ({
  at: 1_000,
  model: "m",
  version,
  holder,
  fence,
  expectedRev: undefined,
});

const arrival = (router: string, at: number, fields: Partial<Arrival> = {}): Arrival => ({
  headers: { [routerHeader]: router },
  at,
  refusedAt: undefined,
  retryAfter: undefined,
  ...fields,
});

const replica = (fields: Partial<ReplicaRecord>): ReplicaRecord => ({
  id: "replica",
  service: "desk",
  runs: [],
  arrivals: [],
  orders: [],
  drainingSince: undefined,
  ...fields,
});

/** Enough served requests after the last step to satisfy the check of recovery. */
const recovered = Array.from({ length: 30 }, (_, index) =>
  caller(`late-${index}`, { sentAt: 50_000, endedAt: 50_050 }),
);

const history = (fields: Partial<SoakHistory>): SoakHistory => ({
  replicas: [],
  steps: [],
  shutdowns: [],
  operator: { revokedKeys: [], weights: [] },
  proofAges: [0, 300],
  faults: [],
  bounds: {
    keyRevocation: 2_000,
    drain: 800,
    weights: 6_000,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    retryReserve: 3,
  },
  lastStepEndedAt: 20_000,
  ...fields,
  callers: [...(fields.callers ?? []), ...recovered],
});

const violatedPromises = (fields: Partial<SoakHistory>): readonly string[] =>
  findPlatformViolations(history(fields)).map(({ promise }) => promise);

describe("checks of the platform soak", () => {
  it("find no violation in a correct history", () => {
    const callers = [caller("a"), caller("b", { name: "ask", body: streamBody("b") })];
    const runs = [run("a"), run("b", { headers: saltHeaders("m/1/"), weightsVersion: 1 })];
    const orders = [order(1, "first", 2), order(1, "first", 3), order(4, "second", 3)];
    expect(violatedPromises({ callers, replicas: [replica({ runs, orders })] })).toEqual([]);
  });

  it("find answers to another request, and truncated, duplicated or crossed streams", () => {
    const truncated = streamBody("b", eventsPerStream - 1);
    const found = violatedPromises({
      callers: [
        caller("a", { body: plainBody("other") }),
        caller("b", { name: "ask", body: truncated }),
        caller("c", { name: "tag", body: streamBody("c", 2) + streamBody("c") }),
        caller("d", { name: "tag", body: streamBody("e", 2), isCut: true }),
      ],
    });
    expect(found.length).toEqual(4);
  });

  it("accept a stream that is cut in the middle of an event", () => {
    const body = `${streamBody("a", 2)}id: 3\ndata: ha`;
    expect(violatedPromises({ callers: [caller("a", { name: "ask", body, isCut: true })] })).toEqual([]);
  });

  it("find repeated arrivals beyond the retry budget, over all replicas of a service", () => {
    const arrivals = (count: number): readonly Arrival[] =>
      Array.from({ length: count }, (_, index) =>
        arrival("router-0", 1_000 + index, { headers: { "x-attempt-id": "a" } }),
      );
    const violations = (count: number) =>
      violatedPromises({
        callers: [caller("a")],
        replicas: [
          replica({ id: "first", arrivals: arrivals(1) }),
          replica({ id: "second", arrivals: arrivals(count) }),
        ],
      });
    // The reserve of three and a fifth of one request.
    expect(violations(3)).toEqual([]);
    expect(violations(4)).toEqual(["repeated arrivals stay within the retry budget of all routers"]);
  });

  it("find an answer that is not the beginning of the right one although its caller has left", () => {
    const padding = 1_000;
    const whole = streamBody("a", 2);
    const left = (id: string, fields: Partial<CallerRecord>): CallerRecord =>
      caller(id, { name: "ask", isCut: true, hasDisconnected: true, ...fields });
    const beginnings = [
      left("a", { body: whole.slice(0, -5) }),
      left("a", { body: whole.slice(0, -2) + "x".repeat(padding - 1), padding }),
      left("a", { name: "post", body: plainBody("a").slice(0, -1) }),
    ];
    expect(violatedPromises({ callers: beginnings })).toEqual([]);
    const others = [
      left("a", { body: `${whole.slice(0, -2)}y` }),
      left("a", { body: whole.slice(0, -6) + "x".repeat(padding - 1), padding }),
      left("a", { body: whole.slice(0, 20) + whole.slice(25) }),
      left("a", { name: "post", body: plainBody("b").slice(0, -1) }),
    ];
    expect(violatedPromises({ callers: others }).length).toEqual(others.length);
  });

  it("find other organisations that are not served again 3 s after a flood, unless another fault explains it", () => {
    const flood = { kind: "organisationFloods", from: 1_000, until: 4_000, router: undefined } as const;
    const refused = Array.from({ length: 25 }, (_, index) =>
      caller(`r-${index}`, { status: 503, body: "", sentAt: 7_500, endedAt: 7_550 }),
    );
    const promise = "other organisations are served again after a flood";
    expect(violatedPromises({ callers: refused, steps: [flood] })).toEqual([promise]);
    const early = refused.map((record) => ({ ...record, sentAt: 6_900 }));
    expect(violatedPromises({ callers: early, steps: [flood] })).toEqual([]);
    const flooding = refused.map((record) => ({ ...record, organisation: "three" }));
    expect(violatedPromises({ callers: flooding, steps: [flood] })).toEqual([]);
    const cut = { kind: "replicaReset", from: 4_000, until: 5_000, router: undefined } as const;
    expect(violatedPromises({ callers: refused, steps: [flood, cut] })).toEqual([]);
  });

  it("find requests that were executed twice or although they were refused", () => {
    const runs = [run("a"), run("a"), run("b")];
    const callers = [caller("a"), caller("b", { status: 503, body: "" })];
    expect(violatedPromises({ callers, replicas: [replica({ runs })] })).toEqual([
      "runs at most once",
      "a refusal that says not run is true",
    ]);
  });

  it("find requests executed with a key after its revocation, and rejected requests with valid keys", () => {
    const operator = { revokedKeys: [{ key: "gone", at: 1_000 }], weights: [] };
    const callers = [
      caller("a", { key: "gone", sentAt: 3_500 }),
      caller("b", { key: "gone", sentAt: 2_500 }),
      caller("c", { status: 404, body: "" }),
      caller("d", { key: "gone", status: 401, body: "" }),
    ];
    const runs = [run("a"), run("b")];
    expect(violatedPromises({ callers, operator, replicas: [replica({ runs })] })).toEqual([
      "nothing that every configuration allows is refused as unknown",
      "a key that was taken away opens nothing after the bound",
    ]);
  });

  it("find requests to a drained replica, unless routers could not receive the update", () => {
    const replicas = [replica({ drainingSince: 1_000, runs: [run("a", { at: 2_500 })] })];
    const storeCut: StepRecord = { kind: "storeCut", from: 900, until: 2_000, router: "router-0" };
    expect(violatedPromises({ replicas }).length).toEqual(1);
    expect(violatedPromises({ replicas, steps: [storeCut] })).toEqual([]);
  });

  it("find orders of two holders, and decreasing fencing numbers and versions", () => {
    const check = (...orders: readonly ReceivedOrder[]) =>
      violatedPromises({ replicas: [replica({ orders })] });
    expect(check(order(1, "first", 2), order(1, "second", 3)).length).toEqual(1);
    expect(check(order(2, "second", 2), order(1, "first", 3)).length).toEqual(1);
    expect(check(order(1, "first", 3), order(1, "first", 2)).length).toEqual(1);
  });

  it("find outdated weights after the bound, and cached parts shared with an isolated organisation", () => {
    const operator = { revokedKeys: [], weights: [{ version: 2, at: 1_000 }] };
    const late = run("a", { at: 8_000, weightsVersion: 1 });
    expect(violatedPromises({ operator, replicas: [replica({ runs: [late] })] }).length).toEqual(1);
    const salt = saltHeaders("m/1/");
    const callers = [caller("a"), caller("b", { organisation: "two" })];
    const runs = [run("a", { headers: salt }), run("b", { headers: salt })];
    expect(violatedPromises({ callers, replicas: [replica({ runs })] }).length).toEqual(1);
  });

  it("find requests of a router to a replica after it forwarded the replica's report of draining", () => {
    const report = caller("a", { drainingReplica: "replica", endedAt: 1_050 });
    const arrivals = [arrival("router-0", 1_800), arrival("router-1", 9_000), arrival("router-0", 2_400)];
    const replicas = [replica({ arrivals })];
    const promise = "a replica that reports draining gets nothing after the bound";
    expect(violatedPromises({ callers: [report], replicas })).toEqual([promise]);
    const steps = [{ kind: "killRouter", from: 1_500, until: 1_900, router: "router-0" } as const];
    expect(violatedPromises({ callers: [report], replicas, steps })).toEqual([]);
  });

  it("find requests of a router to a replica within the backoff that the replica asked it for", () => {
    const refused = arrival("router-0", 1_000, { refusedAt: 1_000, retryAfter: "2" });
    const within = [1_600, 1_700, 2_900].map((at) => arrival("router-0", at));
    const promise = "a replica that asks for backoff gets nothing of that router";
    expect(violatedPromises({ replicas: [replica({ arrivals: [refused, ...within] })] })).toEqual([promise]);
    const allowed = [arrival("router-0", 1_400), arrival("router-1", 1_600), arrival("router-0", 3_100)];
    expect(
      violatedPromises({ replicas: [replica({ arrivals: [refused, ...allowed, ...within.slice(1)] })] }),
    ).toEqual([]);
  });

  it("find proofs of the configuration with a negative age", () => {
    expect(violatedPromises({ proofAges: [100, -5_890] }).length).toEqual(1);
    expect(violatedPromises({ faults: ['{"part":"daemon","event":"fault"}'] }).length).toEqual(1);
  });

  it("find shutdowns that fail or cut requests, and missing recovery after the last step", () => {
    const cut = caller("a", { status: 0, isCut: true, sentAt: 900, endedAt: 1_100 });
    const shutdowns = [{ router: "router-0", askedAt: 1_000, code: 0 }];
    expect(violatedPromises({ callers: [cut], shutdowns: shutdowns })).toEqual([
      "a planned end loses no request",
    ]);
    expect(
      violatedPromises({ shutdowns: [{ router: "r", askedAt: 1_000, code: undefined }] }).length,
    ).toEqual(1);
    const refused = recovered.map((record) => ({ ...record, id: `${record.id} again`, status: 503 }));
    expect(violatedPromises({ callers: refused })).toEqual([
      "all is served again after the last disturbance",
    ]);
  });
});

describe("plan of a soak run", () => {
  it("is the same for the same seed and different for another seed", () => {
    expect(createPlan(5, 20)).toEqual(createPlan(5, 20));
    expect(createPlan(5, 20)).not.toEqual(createPlan(6, 20));
  });

  it("shrinks to the steps that a failure needs", async () => {
    const plan = createPlan(5, 30);
    const needed = new Set([plan[3], plan[17]]);
    const fails = (part: typeof plan): Promise<boolean> =>
      Promise.resolve([...needed].every((step) => step !== undefined && part.includes(step)));
    expect(await shrinkPlan(plan, fails)).toEqual([...needed].filter((step) => step !== undefined));
  });
});
