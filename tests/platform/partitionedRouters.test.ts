/** Routers that have lost every path to the replicas, while callers, the store and other routers reach them. */
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { ForwardingRouter } from "../../src/daemons/forwardingRouter.ts";
import type { ReplicaStandIn } from "../../standIns/platform/replica.ts";
import { partitionModes } from "../../standIns/platform/routerNetwork.ts";
import type {
  CallerAnswer,
  PartitionableRouter,
  PlatformSystem,
  RequestOptions,
} from "../../standIns/platform/platformSystem.ts";
import {
  sendRequest,
  hosts,
  isReady,
  defaultPromptHeaders,
  startPlatformSystem,
  waitUntil,
} from "../../standIns/platform/platformSystem.ts";
import { isServed } from "../support/servedAnswers.ts";

const requests: readonly RequestOptions[] = [
  { host: hosts.desk, path: "/read/2f", body: "look up" },
  { host: hosts.desk, path: "/post/2f", body: "sign off" },
  { host: hosts.model, path: "/ask/2f", body: "summarise", headers: defaultPromptHeaders() },
  { host: hosts.model, path: "/tag/2f", body: "tag", headers: defaultPromptHeaders() },
];

/** Time after the begin of a partition from which first tries must be served, milliseconds. */
const settlingTime = 1_000;

/**
 * The same where connections are accepted: replicas may fall silent for a second or so and go on, and what has accepted
 * the connection can't be seen. The platform's rule counts from here.
 */
const contactTime = 3_000;

/** Interval between two requests to one router, milliseconds. */
const requestInterval = 15;

const startRouters = async (system: PlatformSystem, count: number): Promise<PartitionableRouter[]> => {
  const started = await Promise.all(Array.from({ length: count }, () => system.startPartitionable()));
  await waitUntil(async () =>
    (await Promise.all(system.routers.map((router) => isReady(router)))).every(Boolean),
  );
  return started;
};

/** Sends requests of all kinds, one after another and not waiting for answers. */
const sendMany = async (
  router: ForwardingRouter,
  count: number,
  prefix: string,
): Promise<readonly CallerAnswer[]> => {
  const answers: Promise<CallerAnswer>[] = [];
  for (let index = 0; index < count; index += 1) {
    const request = requests[index % requests.length];
    if (request !== undefined) answers.push(sendRequest(router, { ...request, id: `${prefix}-${index}` }));
    await sleep(requestInterval);
  }
  return Promise.all(answers);
};

/** @returns The largest number of times that a request ran that may run once. */
const mostRunsOfOne = (replicas: readonly ReplicaStandIn[]): number => {
  const counts = new Map<string, number>();
  for (const { id, target } of replicas.flatMap(({ runs }) => runs)) {
    if (target.startsWith("/post/") || target.startsWith("/ask/")) counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return Math.max(0, ...counts.values());
};

const expectServedAll = (answers: readonly CallerAnswer[]): void => {
  const failed = answers.filter((answer) => !isServed(answer)).map(({ status, body }) => `${status} ${body}`);
  expect(failed).toEqual([]);
};

describe("routers that are partitioned from all replicas", () => {
  for (const mode of partitionModes) {
    it(`serve first tries as others do while their connections ${mode}`, async () => {
      await using system = await startPlatformSystem();
      const partitioned = await startRouters(system, 2);
      for (const [index, { router }] of partitioned.entries())
        expectServedAll(await sendMany(router, 8, `before-${index}`));
      for (const { network } of partitioned) network.partition(mode);
      const meanwhile = Promise.all(
        partitioned.map(({ router }, index) => sendMany(router, 16, `meanwhile-${index}`)),
      );
      await sleep(mode === "accept" ? contactTime : settlingTime);
      const sound = sendMany(system.router, 40, "sound");
      const answers = await Promise.all(
        partitioned.map(({ router }, index) => sendMany(router, 40, `cut-${index}`)),
      );
      for (const each of answers) expectServedAll(each);
      expectServedAll(await sound);
      for (const { network } of partitioned) network.heal();
      await meanwhile;
      await sleep(settlingTime);
      for (const [index, { router }] of partitioned.entries())
        expectServedAll(await sendMany(router, 8, `after-${index}`));
      expect(mostRunsOfOne([...system.desks, ...system.engines])).toEqual(1);
    });
  }

  it("serve first tries where all routers but one are", async () => {
    await using system = await startPlatformSystem();
    const partitioned = await startRouters(system, 5);
    for (const { network } of partitioned) network.partition("hang");
    await sleep(settlingTime);
    const answers = await Promise.all(
      partitioned.map(({ router }, index) => sendMany(router, 20, `${index}`)),
    );
    for (const each of answers) expectServedAll(each);
    expectServedAll(await sendMany(system.router, 20, "sound"));
  });

  it("serve first tries where a router starts partitioned", async () => {
    await using system = await startPlatformSystem();
    const { router } = await system.startPartitionable("hang");
    await waitUntil(() => isReady(router));
    await sleep(settlingTime);
    expectServedAll(await sendMany(router, 20, "started"));
  });

  it("don't have requests quarantined that others serve", async () => {
    const engine = { events: { count: 20, pause: 20 } };
    await using system = await startPlatformSystem({ engines: 4, engine });
    const partitioned = await startRouters(system, 2);
    const popular: RequestOptions = {
      host: hosts.model,
      path: "/ask/2f",
      body: "popular",
      headers: defaultPromptHeaders(),
    };
    const before = partitioned.flatMap(({ router }) =>
      Array.from({ length: 12 }, () => sendRequest(router, popular)),
    );
    await sleep(100);
    for (const { network } of partitioned) network.partition("reset");
    await sleep(settlingTime);
    const answers = await Promise.all(Array.from({ length: 8 }, () => sendRequest(system.router, popular)));
    expectServedAll(answers);
    await Promise.all(before);
  });

  it("are told from routers whose replicas all fall silent for a second and go on", async () => {
    const silence = 1_000;
    await using system = await startPlatformSystem({
      desk: { serviceTime: silence },
      engine: { firstEventDelay: silence },
    });
    const [other] = await startRouters(system, 1);
    if (other === undefined) throw new Error("A second router is needed.");
    const answers = await Promise.all([
      sendMany(system.router, 12, "silent"),
      sendMany(other.router, 12, "silent-too"),
    ]);
    answers.forEach(expectServedAll);
    const ran = [...system.desks, ...system.engines].flatMap(({ runs }) => runs);
    expect(ran.length).toEqual(24);
  });

  it("don't keep the duty of ordering weights", async () => {
    await using system = await startPlatformSystem();
    const partitioned = await startRouters(system, 3);
    // One of the routers orders these weights, and holds the lease from then on.
    system.publishWeightsVersion(2);
    await waitUntil(() => system.engines.every((engine) => engine.version() === 2));
    for (const { network } of partitioned) network.partition("hang");
    await sleep(settlingTime);
    system.publishWeightsVersion(3);
    // The bound of the test's settings on weights.
    const deadline = performance.now() + 5_000;
    await waitUntil(
      () => performance.now() > deadline || system.engines.every((engine) => engine.version() === 3),
    );
    expect(system.engines.map((engine) => engine.version())).toEqual([3, 3]);
  });
});
