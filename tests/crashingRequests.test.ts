/**
 * On the product's own interface as on the users' platform, a request whose content crashes the engine that runs it
 * was remembered nowhere: attempts were counted by request, and the same came back as another one. The router went on
 * at the next engine after each crash until the time of the request was over: 24 engines crashed in 6 tries.
 */
import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { EngineStandIn } from "../standIns/engine/types.ts";
import { streamedRequest as question } from "./support/eventStream.ts";
import type { LocalSystem } from "./support/localSystem.ts";
import { startLocalSystem } from "./support/localSystem.ts";

/** Crashes after which a request is no more to be run, and runs that may still follow. */
const allowed = { crashes: 3, further: 3 } as const;

const tries = 6;

const crashesOf = async ({ url }: EngineStandIn): Promise<number> => {
  const answer = await fetch(`${url}/stand-in/state`);
  return ((await answer.json()) as { readonly crashes: number }).crashes;
};

const countCrashes = async ({ engines }: LocalSystem): Promise<number> =>
  (await Promise.all(engines.map(crashesOf))).reduce((sum, count) => sum + count, 0);

const setDeadly = ({ engines }: LocalSystem, isDeadly: boolean): void => {
  for (const { faults } of engines) faults.dieAfterTokens = isDeadly ? 1 : null;
};

const ask = async (system: LocalSystem, router: number, body: unknown = question) => {
  const answer = await system.call("/v1/chat/completions", { router, body });
  const text = await answer.text();
  return { status: answer.status, text, retryAfter: Number(answer.headers.get("retry-after")) };
};

/** The same again and again at routers in turn; nothing else is sent, so that what crashes engines is this request. */
const repeat = async (system: LocalSystem, routers: number): Promise<void> => {
  for (let turn = 0; turn < tries; turn += 1) {
    setDeadly(system, true);
    await ask(system, turn % routers);
  }
};

const expectBounded = async (context: TestContext, system: LocalSystem): Promise<void> => {
  const crashed = await countCrashes(system);
  context.diagnostic(`${crashed} engines crashed in ${tries} tries of the same request`);
  expect(crashed >= allowed.crashes && crashed <= allowed.crashes + allowed.further).toEqual(true);
};

const expectHeldBack = async (system: LocalSystem, router: number): Promise<void> => {
  const { status, text, retryAfter } = await ask(system, router);
  expect([status, text.includes("held_back"), text.includes("not_run"), retryAfter > 0]).toEqual([
    503,
    true,
    true,
    true,
  ]);
};

const another = { ...question, messages: [{ role: "user", content: "Who may fly tomorrow?" }] };

describe("a request that crashes the engines that run it, on the product's own interface", () => {
  it("reaches no more than three engines after it has crashed three, sent again by its caller", async (context) => {
    await using system = await startLocalSystem({ engines: 4 });
    await repeat(system, 1);
    await expectBounded(context, system);
  });

  it("reaches no more than that through several routers, and leaves others served", async (context) => {
    await using system = await startLocalSystem({ engines: 4, routers: 3 });
    await repeat(system, 3);
    await expectBounded(context, system);
    setDeadly(system, false);
    for (let router = 0; router < 3; router += 1) {
      await expectHeldBack(system, router);
      expect((await ask(system, router, another)).status).toEqual(200);
    }
  });

  it("is turned away by a router that starts later", async () => {
    await using system = await startLocalSystem({ engines: 4, routers: 2 });
    await repeat(system, 2);
    setDeadly(system, false);
    const before = await countCrashes(system);
    for (const router of [0, 1]) await system.stopRouter(router);
    await system.startRouter(1);
    while ((await ask(system, 1, another)).status !== 200) await sleep(50);
    await expectHeldBack(system, 1);
    expect(await countCrashes(system)).toEqual(before);
  });
});
