/**
 * A request whose content crashes the replica that runs it, and which its caller repeats under new ids at any router,
 * must not crash one replica after another. If routers count attempts by id and failures by replica, each try looks like
 * the first one: it crashes two replicas, the caller gets 502 and tries again. Single requests have crashed 27 and 39
 * engine processes in this way, and ended the long streams that these engines served.
 */
import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { createResourceStack } from "../../src/protocol/resourceStack.ts";
import type { ForwardingRouter } from "../../src/daemons/forwardingRouter.ts";
import type { CallerAnswer, RequestOptions, PlatformSystem } from "../../standIns/platform/platformSystem.ts";
import {
  sendRequest,
  hosts,
  isReady,
  defaultPromptHeaders,
  waitUntil,
} from "../../standIns/platform/platformSystem.ts";
import type { CrashingReplicas } from "../support/crashingReplicas.ts";
import { bodies, startCrashingReplicas } from "../support/crashingReplicas.ts";
import { startReadySystem } from "../support/readySystem.ts";
import { isServed } from "../support/servedAnswers.ts";

/** Crashes after which a request must be quarantined, and runs that may still follow. */
const allowed = { crashes: 3, further: 3 } as const;

/** Time between two tries of a caller, milliseconds. Crashed engines restart during the tries. */
const tryInterval = 120;

const read: RequestOptions = { host: hosts.desk, path: "/read/2f", body: "look up" };
const tag: RequestOptions = {
  host: hosts.model,
  path: "/tag/2f",
  body: "tag",
  headers: defaultPromptHeaders(),
};

const startSystem = async (routers = 3) => {
  await using resources = createResourceStack();
  const system = resources.use(await startReadySystem({ desks: 0, engines: 0 }, routers));
  const replicas = resources.use(await startCrashingReplicas(system, { desks: 4, engines: 4 }));
  await waitUntil(async () =>
    (await Promise.all(system.routers.map((each) => sendRequest(each, tag)))).every(isServed),
  );
  await waitUntil(async () =>
    (await Promise.all(system.routers.map((each) => sendRequest(each, read)))).every(isServed),
  );
  return { system, replicas, ...resources.move() };
};

const routerForTry = ({ routers }: Pick<PlatformSystem, "routers">, count: number): ForwardingRouter => {
  const router = routers[count % routers.length];
  if (router === undefined) throw new Error("There is no router.");
  return router;
};

/** Sends the same request a number of times, each time to the next router. */
const repeat = async (
  system: PlatformSystem,
  request: RequestOptions,
  times: number,
): Promise<readonly CallerAnswer[]> => {
  const answers: CallerAnswer[] = [];
  for (let count = 0; count < times; count += 1) {
    answers.push(await sendRequest(routerForTry(system, count), request));
    await sleep(tryInterval);
  }
  return answers;
};

/**
 * Expects that the request was quarantined after the allowed crashes; each of its runs crashes a replica.
 *
 * @param before - Runs that don't count, since they were before.
 */
const expectBounded = (context: TestContext, replicas: CrashingReplicas, body: string, before = 0): void => {
  const runs = replicas.runsOf(body).length - before;
  context.diagnostic(`"${body}" ran ${runs} times`);
  expect(runs >= allowed.crashes && runs <= allowed.crashes + allowed.further).toEqual(true);
};

describe("a request that crashes the replicas that run it", () => {
  it("runs at most three more times after three crashes, at a plain service", async (context) => {
    await using started = await startSystem();
    const { system, replicas } = started;
    for (const path of ["/read/2f", "/post/2f"]) {
      const before = replicas.runsOf(bodies.deadly).length;
      await repeat(system, { ...read, path, body: bodies.deadly }, 25);
      expectBounded(context, replicas, bodies.deadly, before);
    }
  });

  it("runs at most three more times after three crashes, as a stream", async (context) => {
    await using started = await startSystem();
    const { system, replicas } = started;
    await repeat(system, { ...tag, path: "/ask/2f", body: bodies.deadly }, 25);
    expectBounded(context, replicas, bodies.deadly);
    // A resumable stream also crashes the engine at which it is resumed.
    await repeat(system, { ...tag, body: bodies.deadlyMidway }, 25);
    expectBounded(context, replicas, bodies.deadlyMidway);
  });
});

/** Longest time for an answer that needs no replica, milliseconds; leaves room for a busy machine. */
const immediate = 400;

const isQuarantined = ({ status, body }: CallerAnswer): boolean =>
  status === 503 && body.includes("held_back");

/** Sends the same request until it is refused as quarantined. */
const repeatUntilQuarantined = async (system: PlatformSystem, request: RequestOptions): Promise<void> => {
  for (let count = 0; !isQuarantined(await sendRequest(routerForTry(system, count), request)); count += 1)
    await sleep(tryInterval);
};

/** Expects that every router refuses the request at once, with `Retry-After`, and that no replica runs it. */
const expectQuarantinedEverywhere = async (
  routers: readonly ForwardingRouter[],
  replicas: CrashingReplicas,
  request: RequestOptions,
): Promise<void> => {
  const before = replicas.runsOf(request.body ?? "").length;
  for (const router of routers) {
    const begunAt = performance.now();
    const answer = await sendRequest(router, request);
    expect([isQuarantined(answer), performance.now() - begunAt < immediate]).toEqual([true, true]);
    expect(Number(answer.headers["retry-after"]) > 0).toEqual(true);
  }
  expect(replicas.runsOf(request.body ?? "").length).toEqual(before);
};

/** Marks both trials of each quarantined request as made: a trial would let the request run. */
const endTrials = (system: PlatformSystem): void => {
  for (const [fingerprint] of system.store.topics.newest("keyed.quarantine")) {
    system.store.put("keyed.quarantine", fingerprint, { trials: 1, trial: "another router's" });
    system.store.put("keyed.quarantine", fingerprint, { trials: 2, trial: "another router's" });
  }
};

describe("requests in parallel with one that crashes replicas", () => {
  it("are served again, even popular ones sent many times with the same path, caller and body", async (context) => {
    await using started = await startSystem();
    const { system, replicas } = started;
    const popular = { ...tag, body: "asked by many" };
    const stopped = new AbortController();
    const answers: CallerAnswer[] = [];
    const ask = async (router: ForwardingRouter): Promise<void> => {
      while (!stopped.signal.aborted) {
        answers.push(await sendRequest(router, popular));
        await sleep(20);
      }
    };
    const asking = system.routers.map(ask);
    await repeat(system, { ...tag, body: bodies.deadly }, 25);
    await repeat(system, { ...tag, body: bodies.deadlyToo }, 25);
    stopped.abort();
    await Promise.all(asking);
    expectBounded(context, replicas, bodies.deadly);
    expectBounded(context, replicas, bodies.deadlyToo);
    const served = answers.filter(isServed).length;
    const heldBack = answers.filter(isQuarantined).length;
    context.diagnostic(`${answers.length} popular requests: ${served} served, ${heldBack} held back`);
    for (const router of system.routers) expect(isServed(await sendRequest(router, popular))).toEqual(true);
    expect(served > answers.length / 2).toEqual(true);
  });

  it("are served while two such requests arrive at the same time", async (context) => {
    await using started = await startSystem();
    const { system, replicas } = started;
    await Promise.all(
      [bodies.deadly, bodies.deadlyToo].map((body) => repeat(system, { ...tag, path: "/ask/2f", body }, 25)),
    );
    expectBounded(context, replicas, bodies.deadly);
    expectBounded(context, replicas, bodies.deadlyToo);
    await waitUntil(async () => isServed(await sendRequest(system.router, tag)));
  });
});

describe("routers that did not see a request crash replicas", () => {
  it("refuse it at once if they start later, and after all routers restarted together", async () => {
    await using started = await startSystem();
    const { system, replicas } = started;
    const deadly = { ...tag, path: "/ask/2f", body: bodies.deadly };
    await repeatUntilQuarantined(system, deadly);
    await waitUntil(() => system.store.topics.newest("keyed.quarantine").size > 0);
    endTrials(system);
    const later = await system.startRouter();
    await waitUntil(() => isReady(later));
    await expectQuarantinedEverywhere([later], replicas, deadly);
    await system.stopRouters();
    const again = await Promise.all([system.startRouter(), system.startRouter()]);
    await waitUntil(async () => (await Promise.all(again.map(isReady))).every(Boolean));
    await expectQuarantinedEverywhere(again, replicas, deadly);
    // A request with another body is served.
    await waitUntil(async () => isServed(await sendRequest(again[0], { ...tag, path: "/ask/2f" })));
  });
});
