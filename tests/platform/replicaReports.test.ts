import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { expect } from "earl";
import type { Behaviour, ReplicaStandIn, ReportHeaders } from "../../standIns/platform/replica.ts";
import type {
  RequestOptions,
  PlatformSystem,
  PlatformSystemSettings,
} from "../../standIns/platform/platformSystem.ts";
import {
  drainingReport,
  hosts,
  defaultPromptHeaders,
  waitUntil,
} from "../../standIns/platform/platformSystem.ts";
import type { ReceivedAnswer } from "../support/limitedReplicas.ts";
import { allowedIntake, sendSteadily, worstIntake } from "../support/limitedReplicas.ts";
import { startReadySystem } from "../support/readySystem.ts";
import { arrivalsAfterDraining, arrivalsAfterFirst, worstInBackoff } from "../support/replicaReports.ts";
import { isServed } from "../support/servedAnswers.ts";

const read: RequestOptions = { host: hosts.desk, path: "/read/2f", body: "look up" };

const tag: RequestOptions = {
  host: hosts.model,
  path: "/tag/2f",
  body: "tag",
  headers: defaultPromptHeaders(),
};

/** Time within which a router must stop sending to a replica after an answer that reports draining, milliseconds. */
const drainBound = 600;

const startSystem = (
  replicas: Pick<PlatformSystemSettings, "desks" | "engines">,
  routers = 6,
): Promise<PlatformSystem> =>
  startReadySystem(
    {
      ...replicas,
      desk: { serviceTime: 30 },
      // Keys stay valid while the store is unavailable.
      bounds: { drain: drainBound, keyRevocation: 60_000 },
    },
    routers,
  );

const servedShare = (answers: readonly ReceivedAnswer[]): number =>
  answers.filter(isServed).length / answers.length;

/** Sorts the busiest replica first. */
const byRuns = (left: ReplicaStandIn, right: ReplicaStandIn): number => right.runs.length - left.runs.length;

/** Makes a replica behave like this for all its answers. */
const behaveAlways = (replica: ReplicaStandIn | undefined, behaviour: Behaviour): void =>
  replica?.setBehaviours(...Array.from({ length: 2_000 }, () => behaviour));

const shedAlways = (replica: ReplicaStandIn | undefined): void => behaveAlways(replica, "shed");

const countAfterDraining = (
  context: TestContext,
  replicas: readonly ReplicaStandIn[],
  answers: readonly ReceivedAnswer[],
): readonly number[] => {
  const counts = replicas.map((replica) => arrivalsAfterDraining(replica, answers, drainBound));
  context.diagnostic(`arrivals from routers that knew of the draining: ${counts.join(", ")}`);
  return counts;
};

const worstBackoffs = (context: TestContext, replicas: readonly ReplicaStandIn[]): readonly number[] => {
  const counts = replicas.map(worstInBackoff);
  context.diagnostic(`worst arrivals of one router within a backoff: ${counts.join(", ")}`);
  return counts;
};

describe("a replica that reports draining", () => {
  // With the registry as the only source, a replica keeps its traffic while the store is unavailable.
  it("gets no requests from routers that forwarded such an answer, whatever the registry says", async (context) => {
    await using system = await startSystem({ desks: 8, engines: 4 });
    await Promise.all([
      sendSteadily(system, read, { perSecond: 90, seconds: 1 }),
      sendSteadily(system, tag, { perSecond: 40, seconds: 1 }),
    ]);
    system.store.faults.isUnresponsive = true;
    const draining = [...system.desks.slice(0, 2), ...[...system.engines].sort(byRuns).slice(0, 1)];
    draining.forEach((replica) => replica.setReportHeaders(drainingReport));
    const [plain, streams] = await Promise.all([
      sendSteadily(system, read, { perSecond: 90, seconds: 4 }),
      sendSteadily(system, tag, { perSecond: 40, seconds: 4 }),
    ]);
    const answers = [...plain, ...streams];
    expect(countAfterDraining(context, draining, answers)).toEqual([0, 0, 0]);
    expect(answers.every(isServed)).toEqual(true);
    // The registry is back with `ready` and heartbeats, which are older than the replica's report.
    system.store.faults.isUnresponsive = false;
    draining.forEach((replica) => system.register(replica, { sequence: 2 }));
    const [plainLater, streamsLater] = await Promise.all([
      sendSteadily(system, read, { perSecond: 90, seconds: 3 }),
      sendSteadily(system, tag, { perSecond: 40, seconds: 3 }),
    ]);
    expect(countAfterDraining(context, draining, [...answers, ...plainLater, ...streamsLater])).toEqual([
      0, 0, 0,
    ]);
  });
});

describe("a replica that reports draining in any kind of answer", () => {
  it("gets no requests after a failure, a refusal or the head of a stream that reports it", async (context) => {
    await using system = await startSystem({ desks: 4, engines: 4 });
    const [failing, refusing] = system.desks;
    const [engine] = system.engines;
    if (failing === undefined || refusing === undefined || engine === undefined) throw new Error("Too few.");
    const draining = [failing, refusing, ...system.engines.slice(0, 2)];
    draining.forEach((replica) => replica.setReportHeaders(drainingReport));
    behaveAlways(failing, "fail");
    behaveAlways(refusing, "shed");
    behaveAlways(engine, "cut");
    const since = performance.now();
    const [plain, streams] = await Promise.all([
      sendSteadily(system, read, { perSecond: 60, seconds: 3 }),
      sendSteadily(system, tag, { perSecond: 40, seconds: 3 }),
    ]);
    const counts = draining.map((replica) => arrivalsAfterFirst(replica, since, drainBound));
    context.diagnostic(`arrivals after the bound: ${counts.join(", ")}`);
    expect(counts).toEqual([0, 0, 0, 0]);
    expect(streams.every(isServed)).toEqual(true);
    // With two attempts, one request of each router may meet both bad replicas.
    expect(servedShare(plain) >= 0.9).toEqual(true);
  });

  it("is not used to resume its own broken stream", async () => {
    await using system = await startSystem({ desks: 0, engines: 2 }, 1);
    const [leaving, staying] = system.engines;
    if (leaving === undefined || staying === undefined) throw new Error("Too few.");
    for (const each of system.engines) {
      each.setReportHeaders(drainingReport);
      each.setBehaviours("cut");
    }
    const [answer] = await sendSteadily(system, tag, { perSecond: 1, seconds: 1 });
    // Both have reported draining by now: the stream ends instead of being resumed at either.
    expect(answer?.isCut).toEqual(true);
    expect(leaving.arrivals.length + staying.arrivals.length).toEqual(2);
  });

  it("serves again as a new incarnation with the same id and address", async () => {
    await using system = await startSystem({ desks: 2, engines: 0 }, 2);
    const [desk, other] = system.desks;
    if (desk === undefined || other === undefined) throw new Error("Too few.");
    desk.setReportHeaders(drainingReport);
    await sendSteadily(system, read, { perSecond: 40, seconds: 2 });
    desk.setReportHeaders({});
    system.register(desk, { sequence: 2 });
    const before = desk.runs.length;
    await sendSteadily(system, read, { perSecond: 40, seconds: 1 });
    expect(desk.runs.length).toEqual(before);
    system.register(desk, { born: 2 });
    await waitUntil(async () => {
      await sendSteadily(system, read, { perSecond: 40, seconds: 1 });
      return desk.runs.length > before;
    });
  });

  it("makes routers reject at once if it is the only replica of its service", async () => {
    await using system = await startSystem({ desks: 1, engines: 0 }, 2);
    system.desks[0]?.setReportHeaders(drainingReport);
    await sendSteadily(system, read, { perSecond: 20, seconds: 1 });
    const answers = await sendSteadily(system, read, { perSecond: 40, seconds: 1 });
    expectImmediateRejections(answers, 0.5);
  });
});

/** Longest time for an answer that needs no replica, milliseconds; leaves room for a busy machine. */
const immediate = 400;

/**
 * Expects that all answers are immediate rejections as not run, with `Retry-After` values that differ.
 *
 * @param minRetryAfter - The lowest value that `Retry-After` may have, seconds.
 */
const expectImmediateRejections = (answers: readonly ReceivedAnswer[], minRetryAfter: number): void => {
  expect(answers.every(({ status }) => status === 503)).toEqual(true);
  expect(answers.every(({ body }) => body.includes("replicas_unavailable"))).toEqual(true);
  expect(answers.every(({ body }) => body.includes("not_run"))).toEqual(true);
  expect(answers.every(({ askedAt, answeredAt }) => answeredAt - askedAt < immediate)).toEqual(true);
  const times = answers.map(({ headers }) => Number(headers["retry-after"]));
  expect(times.every((time) => time >= minRetryAfter)).toEqual(true);
  expect(new Set(times.map((time) => time.toFixed(2))).size > 5).toEqual(true);
};

describe("a replica that requests backoff", () => {
  // A refusal leaves the replica idle, which makes it look like the best choice for the next request.
  it("gets at most two requests of each router within it, and callers are served by the others", async (context) => {
    await using system = await startSystem({ desks: 8, engines: 0 });
    const [always, half, alternating, unreadable] = system.desks;
    if (unreadable === undefined) throw new Error("Too few.");
    for (const each of [always, alternating, unreadable]) shedAlways(each);
    half?.setBehaviours(...Array.from({ length: 1_000 }, () => ["shed", "well"] as const).flat());
    always?.setReportHeaders({ "retry-after": "3" });
    half?.setReportHeaders((behaviour): Record<string, string> =>
      behaviour === "shed" ? { "retry-after": "1.5" } : {},
    );
    let answerCount = 0;
    alternating?.setReportHeaders(() => ({ "retry-after": (answerCount += 1) % 2 === 0 ? "1" : "4" }));
    unreadable.setReportHeaders({ "retry-after": "later" });
    const answers = await sendSteadily(system, read, { perSecond: 90, seconds: 8 });
    const worst = worstBackoffs(context, system.desks);
    context.diagnostic(`${(servedShare(answers) * 100).toFixed(1)} % served`);
    expect(worst.every((count) => count <= 2)).toEqual(true);
    expect(servedShare(answers) >= 0.98).toEqual(true);
  });

  it("is avoided beside replicas that report a limit or draining, also in combination", async (context) => {
    await using system = await startSystem({ desks: 8, engines: 0 });
    const [limited, refusing, draining] = system.desks;
    if (limited === undefined || refusing === undefined || draining === undefined)
      throw new Error("Too few.");
    for (const each of [limited, refusing, draining]) each.setReportedLimit("1.6");
    shedAlways(refusing);
    refusing.setReportHeaders({ "retry-after": "1" });
    draining.setReportHeaders(drainingReport);
    const since = performance.now();
    const answers = await sendSteadily(system, read, { perSecond: 80, seconds: 7 });
    const intakes = [limited, refusing, draining].map((each) => worstIntake(each, answers));
    context.diagnostic(`worst intake ${intakes.join(", ")} of ${allowedIntake(1.6)}`);
    expect(intakes.every((intake) => intake <= allowedIntake(1.6))).toEqual(true);
    expect(Math.max(...worstBackoffs(context, system.desks)) <= 2).toEqual(true);
    expect(arrivalsAfterFirst(draining, since, drainBound)).toEqual(0);
    expect(servedShare(answers) >= 0.98).toEqual(true);
  });

  it("makes routers reject at once until the backoff ends, if all replicas request it", async () => {
    await using system = await startSystem({ desks: 3, engines: 0 }, 2);
    for (const desk of system.desks) {
      shedAlways(desk);
      desk.setReportHeaders({ "retry-after": "4" });
    }
    await sendSteadily(system, read, { perSecond: 40, seconds: 1 });
    const answers = await sendSteadily(system, read, { perSecond: 40, seconds: 1 });
    // At most two of the four seconds have passed.
    expectImmediateRejections(answers, 1.9);
  });

  it("gets its share again within three seconds after the end of the backoff", async (context) => {
    await using system = await startSystem({ desks: 4, engines: 0 });
    const [desk, ...others] = system.desks;
    shedAlways(desk);
    desk?.setReportHeaders((behaviour): ReportHeaders =>
      behaviour === "shed" ? { "retry-after": "1.5" } : {},
    );
    await sendSteadily(system, read, { perSecond: 90, seconds: 3 });
    desk?.setBehaviours();
    await sendSteadily(system, read, { perSecond: 90, seconds: 3 });
    const before = system.desks.map(({ runs }) => runs.length);
    await sendSteadily(system, read, { perSecond: 90, seconds: 3 });
    const [own = 0, ...rest] = system.desks.map(({ runs }, index) => runs.length - (before[index] ?? 0));
    context.diagnostic(`${own} requests, the others ${rest.join(", ")}`);
    const mean = rest.reduce((sum, count) => sum + count, 0) / others.length;
    expect(own >= mean / 2).toEqual(true);
  });

  it("gets no orders within the backoff either", async (context) => {
    await using system = await startSystem({ desks: 0, engines: 3 }, 1);
    await sendSteadily(system, tag, { perSecond: 20, seconds: 1 });
    const engine = [...system.engines].sort(byRuns)[0];
    shedAlways(engine);
    engine?.setReportHeaders({ "retry-after": "2" });
    await sendSteadily(system, tag, { perSecond: 20, seconds: 1 });
    engine?.setReportHeaders({});
    engine?.setBehaviours();
    const refusedAt = engine?.arrivals.findLast((each) => each.refusedAt !== undefined)?.refusedAt ?? 0;
    system.publishWeightsVersion(2);
    await waitUntil(() => engine?.version() === 2);
    const [order] = engine?.orders ?? [];
    const after = (order?.at ?? 0) - refusedAt;
    context.diagnostic(`ordered ${Math.round(after)} ms after the refusal`);
    expect(after >= 2_000).toEqual(true);
  });
});
