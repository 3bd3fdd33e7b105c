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

/** Enough requests after the end for the last check to be content. */
const recovered = Array.from({ length: 30 }, (_, index) =>
  caller(`late-${index}`, { sentAt: 50_000, endedAt: 50_050 }),
);

const history = (fields: Partial<SoakHistory>): SoakHistory => ({
  replicas: [],
  steps: [],
  shutdowns: [],
  operator: { revokedKeys: [], weights: [] },
  proofAges: [0, 300],
  bounds: { keyRevocation: 2_000, drain: 800, weights: 6_000 },
  lastStepEndedAt: 20_000,
  ...fields,
  callers: [...(fields.callers ?? []), ...recovered],
});

const promisesBroken = (fields: Partial<SoakHistory>): readonly string[] =>
  findPlatformViolations(history(fields)).map(({ promise }) => promise);

describe("the checks of the platform's soak", () => {
  it("find nothing in a history without faults", () => {
    const callers = [caller("a"), caller("b", { name: "ask", body: streamBody("b") })];
    const runs = [run("a"), run("b", { headers: saltHeaders("m/1/"), weightsVersion: 1 })];
    const orders = [order(1, "first", 2), order(1, "first", 3), order(4, "second", 3)];
    expect(promisesBroken({ callers, replicas: [replica({ runs, orders })] })).toEqual([]);
  });

  it("find answers that are another's, torn, doubled or out of order", () => {
    const torn = streamBody("b", eventsPerStream - 1);
    const found = promisesBroken({
      callers: [
        caller("a", { body: plainBody("other") }),
        caller("b", { name: "ask", body: torn }),
        caller("c", { name: "tag", body: streamBody("c", 2) + streamBody("c") }),
        caller("d", { name: "tag", body: streamBody("e", 2), isCut: true }),
      ],
    });
    expect(found.length).toEqual(4);
  });

  it("let a stream end visibly in the middle of an event", () => {
    const body = `${streamBody("a", 2)}id: 3\ndata: ha`;
    expect(promisesBroken({ callers: [caller("a", { name: "ask", body, isCut: true })] })).toEqual([]);
  });

  it("find what ran twice, and what ran although it was refused", () => {
    const runs = [run("a"), run("a"), run("b")];
    const callers = [caller("a"), caller("b", { status: 503, body: "" })];
    expect(promisesBroken({ callers, replicas: [replica({ runs })] })).toEqual([
      "runs at most once",
      "a refusal that says not run is true",
    ]);
  });

  it("find what ran with a key long after it was taken away, and refusals of keys that are there", () => {
    const operator = { revokedKeys: [{ key: "gone", at: 1_000 }], weights: [] };
    const callers = [
      caller("a", { key: "gone", sentAt: 3_500 }),
      caller("b", { key: "gone", sentAt: 2_500 }),
      caller("c", { status: 404, body: "" }),
      caller("d", { key: "gone", status: 401, body: "" }),
    ];
    const runs = [run("a"), run("b")];
    expect(promisesBroken({ callers, operator, replicas: [replica({ runs })] })).toEqual([
      "nothing that every configuration allows is refused as unknown",
      "a key that was taken away opens nothing after the bound",
    ]);
  });

  it("find work at a replica that has left, unless routers could not know", () => {
    const replicas = [replica({ drainingSince: 1_000, runs: [run("a", { at: 2_500 })] })];
    const blind: StepRecord = { kind: "storeCut", from: 900, until: 2_000, router: "router-0" };
    expect(promisesBroken({ replicas }).length).toEqual(1);
    expect(promisesBroken({ replicas, steps: [blind] })).toEqual([]);
  });

  it("find two holders, and numbers and versions that fall", () => {
    const of = (...orders: readonly ReceivedOrder[]) => promisesBroken({ replicas: [replica({ orders })] });
    expect(of(order(1, "first", 2), order(1, "second", 3)).length).toEqual(1);
    expect(of(order(2, "second", 2), order(1, "first", 3)).length).toEqual(1);
    expect(of(order(1, "first", 3), order(1, "first", 2)).length).toEqual(1);
  });

  it("find old weights after the bound, and walls that are broken", () => {
    const operator = { revokedKeys: [], weights: [{ version: 2, at: 1_000 }] };
    const late = run("a", { at: 8_000, weightsVersion: 1 });
    expect(promisesBroken({ operator, replicas: [replica({ runs: [late] })] }).length).toEqual(1);
    const salt = saltHeaders("m/1/");
    const callers = [caller("a"), caller("b", { organisation: "two" })];
    const runs = [run("a", { headers: salt }), run("b", { headers: salt })];
    expect(promisesBroken({ callers, replicas: [replica({ runs })] }).length).toEqual(1);
  });

  it("find requests to replicas that reported draining through the router that passed that on", () => {
    const report = caller("a", { drainingReplica: "replica", endedAt: 1_050 });
    const arrivals = [arrival("router-0", 1_800), arrival("router-1", 9_000), arrival("router-0", 2_400)];
    const replicas = [replica({ arrivals })];
    const promise = "a replica that reports draining gets nothing after the bound";
    expect(promisesBroken({ callers: [report], replicas })).toEqual([promise]);
    const steps = [{ kind: "killRouter", from: 1_500, until: 1_900, router: "router-0" } as const];
    expect(promisesBroken({ callers: [report], replicas, steps })).toEqual([]);
  });

  it("find requests to replicas within the backoff that they asked the router for", () => {
    const refused = arrival("router-0", 1_000, { refusedAt: 1_000, retryAfter: "2" });
    const within = [1_600, 1_700, 2_900].map((at) => arrival("router-0", at));
    const promise = "a replica that asks for backoff gets nothing of that router";
    expect(promisesBroken({ replicas: [replica({ arrivals: [refused, ...within] })] })).toEqual([promise]);
    const allowed = [arrival("router-0", 1_400), arrival("router-1", 1_600), arrival("router-0", 3_100)];
    expect(
      promisesBroken({ replicas: [replica({ arrivals: [refused, ...allowed, ...within.slice(1)] })] }),
    ).toEqual([]);
  });

  it("find proofs from the future", () => {
    expect(promisesBroken({ proofAges: [100, -5_890] }).length).toEqual(1);
  });

  it("find ends that fail or cut what had been read, and callers that are not served again", () => {
    const cut = caller("a", { status: 0, isCut: true, sentAt: 900, endedAt: 1_100 });
    const ends = [{ router: "router-0", askedAt: 1_000, code: 0 }];
    expect(promisesBroken({ callers: [cut], shutdowns: ends })).toEqual(["a planned end loses no request"]);
    expect(promisesBroken({ shutdowns: [{ router: "r", askedAt: 1_000, code: undefined }] }).length).toEqual(
      1,
    );
    const refused = recovered.map((record) => ({ ...record, id: `${record.id} again`, status: 503 }));
    expect(promisesBroken({ callers: refused })).toEqual(["all is served again after the last disturbance"]);
  });
});

describe("the plan of a soak run", () => {
  it("is the same for the same seed, and another for another", () => {
    expect(createPlan(5, 20)).toEqual(createPlan(5, 20));
    expect(createPlan(5, 20)).not.toEqual(createPlan(6, 20));
  });

  it("is cut down to the steps that a failure needs", async () => {
    const plan = createPlan(5, 30);
    const needed = new Set([plan[3], plan[17]]);
    const fails = (part: typeof plan): Promise<boolean> =>
      Promise.resolve([...needed].every((step) => step !== undefined && part.includes(step)));
    expect(await shrinkPlan(plan, fails)).toEqual([...needed].filter((step) => step !== undefined));
  });
});
