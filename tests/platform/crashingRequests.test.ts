/**
 * A request whose content crashes the replica that runs it came again and again, each time under a new id and at any
 * router. Routers counted attempts by id and failures by replica, so that every try was a first one to all of them: it
 * went to two replicas, both ended, the caller got 502 and came back. On the recorded day one such request ended 27
 * engine processes and another 39, and each took the long streams with it that ran beside. Lines of the first run of
 * this test, from two routers, with the same content under two ids:
 *
 * `attempt_failed request=request-16 replica=plain-3-start1 fault=closed_early`,
 * `crashed replica=plain-3-start1 requests=b5d7eaa8d327de94`,
 * `attempt_failed request=request-17 replica=plain-1-start1 fault=closed_early`,
 * `crashed replica=plain-1-start1 requests=b5d7eaa8d327de94`.
 */
import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { ForwardingRouter } from "../../src/daemons/forwardingRouter.ts";
import type { CallerAnswer, RequestOptions, PlatformSystem } from "../../standIns/platform/platformSystem.ts";
import {
  sendRequest,
  hosts,
  isReady,
  defaultPromptHeaders,
  startPlatformSystem,
  waitUntil,
} from "../../standIns/platform/platformSystem.ts";
import type { CrashingReplicas } from "../support/crashingReplicas.ts";
import { bodies, startCrashingReplicas } from "../support/crashingReplicas.ts";

/** Crashes after which a request is no more to be run, and runs that may still follow. */
const allowed = { crashes: 3, further: 3 } as const;

/** Between two tries of a caller, milliseconds: engines that crashed are back meanwhile. */
const tryInterval = 120;

const read: RequestOptions = { host: hosts.desk, path: "/read/2f", body: "look up" };
const tag: RequestOptions = {
  host: hosts.model,
  path: "/tag/2f",
  body: "tag",
  headers: defaultPromptHeaders(),
};

const startSystem = async (routers = 3) => {
  const system = await startPlatformSystem({ desks: 0, engines: 0 });
  while (system.routers.length < routers) await system.startRouter();
  const replicas = await startCrashingReplicas(system, { desks: 4, engines: 4 });
  await waitUntil(async () => (await Promise.all(system.routers.map(isReady))).every(Boolean));
  await waitUntil(async () =>
    (await Promise.all(system.routers.map((each) => sendRequest(each, tag)))).every(isServed),
  );
  await waitUntil(async () =>
    (await Promise.all(system.routers.map((each) => sendRequest(each, read)))).every(isServed),
  );
  return {
    system,
    replicas,
    [Symbol.asyncDispose]: async () => {
      await replicas[Symbol.asyncDispose]();
      await system[Symbol.asyncDispose]();
    },
  };
};

const isServed = ({ status, isCut }: CallerAnswer): boolean => status === 200 && !isCut;

const routerOfTurn = ({ routers }: Pick<PlatformSystem, "routers">, turn: number): ForwardingRouter => {
  const router = routers[turn % routers.length];
  if (router === undefined) throw new Error("There is no router.");
  return router;
};

/** Sends the same again and again, each time to the next router. */
const repeat = async (
  system: PlatformSystem,
  asked: RequestOptions,
  times: number,
): Promise<readonly CallerAnswer[]> => {
  const answers: CallerAnswer[] = [];
  for (let turn = 0; turn < times; turn += 1) {
    answers.push(await sendRequest(routerOfTurn(system, turn), asked));
    await sleep(tryInterval);
  }
  return answers;
};

/** Every run of such a request crashes its replica. @param before - Runs that were counted before. */
const expectBounded = (context: TestContext, replicas: CrashingReplicas, body: string, before = 0): void => {
  const runs = replicas.runsOf(body).length - before;
  context.diagnostic(`"${body}" ran ${runs} times`);
  expect(runs >= allowed.crashes && runs <= allowed.crashes + allowed.further).toEqual(true);
};

describe("a request that crashes the replicas that run it", () => {
  it("reaches no more than three after it has crashed three, if it is plain", async (context) => {
    await using started = await startSystem();
    const { system, replicas } = started;
    for (const path of ["/read/2f", "/post/2f"]) {
      const before = replicas.runsOf(bodies.deadly).length;
      await repeat(system, { ...read, path, body: bodies.deadly }, 25);
      expectBounded(context, replicas, bodies.deadly, before);
    }
  });

  it("reaches no more than three after it has crashed three, if it is a stream", async (context) => {
    await using started = await startSystem();
    const { system, replicas } = started;
    await repeat(system, { ...tag, path: "/ask/2f", body: bodies.deadly }, 25);
    expectBounded(context, replicas, bodies.deadly);
    // A stream that may be resumed crashes the engine that it goes on at as well.
    await repeat(system, { ...tag, body: bodies.deadlyMidway }, 25);
    expectBounded(context, replicas, bodies.deadlyMidway);
  });
});

/** Longest time for an answer that needs no replica, milliseconds: many times what it takes on a busy machine. */
const atOnce = 400;

const isHeldBack = ({ status, body }: CallerAnswer): boolean => status === 503 && body.includes("held_back");

/** Sends the same until it is refused as what it is. */
const repeatUntilHeldBack = async (system: PlatformSystem, asked: RequestOptions): Promise<void> => {
  for (let turn = 0; !isHeldBack(await sendRequest(routerOfTurn(system, turn), asked)); turn += 1)
    await sleep(tryInterval);
};

/** Every router refuses it at once, with a time to come back, and no replica runs it. */
const expectHeldBackEverywhere = async (
  routers: readonly ForwardingRouter[],
  replicas: CrashingReplicas,
  asked: RequestOptions,
): Promise<void> => {
  const before = replicas.runsOf(asked.body ?? "").length;
  for (const router of routers) {
    const begunAt = performance.now();
    const answer = await sendRequest(router, asked);
    expect([isHeldBack(answer), performance.now() - begunAt < atOnce]).toEqual([true, true]);
    expect(Number(answer.headers["retry-after"]) > 0).toEqual(true);
  }
  expect(replicas.runsOf(asked.body ?? "").length).toEqual(before);
};

/** Trials of a request would let it run: they are over once both were made. */
const endTrials = (system: PlatformSystem): void => {
  for (const [fingerprint] of system.store.topics.newest("keyed.quarantine")) {
    system.store.put("keyed.quarantine", fingerprint, { trials: 1, trial: "another router's" });
    system.store.put("keyed.quarantine", fingerprint, { trials: 2, trial: "another router's" });
  }
};

describe("requests beside one that crashes replicas", () => {
  it("are served again, the popular ones with the same path, caller and body above all", async (context) => {
    await using started = await startSystem();
    const { system, replicas } = started;
    const popular = { ...tag, body: "asked by many" };
    const over = new AbortController();
    const answers: CallerAnswer[] = [];
    const ask = async (router: ForwardingRouter): Promise<void> => {
      while (!over.signal.aborted) {
        answers.push(await sendRequest(router, popular));
        await sleep(20);
      }
    };
    const asking = system.routers.map(ask);
    await repeat(system, { ...tag, body: bodies.deadly }, 25);
    await repeat(system, { ...tag, body: bodies.deadlyToo }, 25);
    over.abort();
    await Promise.all(asking);
    expectBounded(context, replicas, bodies.deadly);
    expectBounded(context, replicas, bodies.deadlyToo);
    const served = answers.filter(isServed).length;
    const heldBack = answers.filter(isHeldBack).length;
    context.diagnostic(`${answers.length} popular requests: ${served} served, ${heldBack} held back`);
    for (const router of system.routers) expect(isServed(await sendRequest(router, popular))).toEqual(true);
    expect(served > answers.length / 2).toEqual(true);
  });

  it("are served while two such requests come at once", async (context) => {
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
  it("refuse it at once when they start later, and when all have started again together", async () => {
    await using started = await startSystem();
    const { system, replicas } = started;
    const deadly = { ...tag, path: "/ask/2f", body: bodies.deadly };
    await repeatUntilHeldBack(system, deadly);
    await waitUntil(() => system.store.topics.newest("keyed.quarantine").size > 0);
    endTrials(system);
    const later = await system.startRouter();
    await waitUntil(() => isReady(later));
    await expectHeldBackEverywhere([later], replicas, deadly);
    await system.stopRouters();
    const again = await Promise.all([system.startRouter(), system.startRouter()]);
    await waitUntil(async () => (await Promise.all(again.map(isReady))).every(Boolean));
    await expectHeldBackEverywhere(again, replicas, deadly);
    // Whoever asks something else, or another caller that asks the same, is served.
    await waitUntil(async () => isServed(await sendRequest(again[0], { ...tag, path: "/ask/2f" })));
  });
});
