/**
 * A request whose content crashes the engine that runs it, on the product's own interface. Crashes were counted for each
 * request, so that a retry by the caller began at zero, and the router tried the next engine after each crash until the
 * request's deadline: 24 engines crashed in 6 tries of the caller.
 */
import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { streamedRequest as question } from "./support/eventStream.ts";
import { countCrashes, setCrashing } from "./support/engineCrashes.ts";
import type { LocalSystem } from "./support/localSystem.ts";
import { startLocalSystem } from "./support/localSystem.ts";

/** The number of crashes after which a request is quarantined, and of attempts that may already be running then. */
const limits = { crashes: 3, further: 3 } as const;

const tries = 6;

const ask = async (system: LocalSystem, router: number, body: unknown = question) => {
  const answer = await system.call("/v1/chat/completions", { router, body });
  const text = await answer.text();
  return { status: answer.status, text, retryAfter: Number(answer.headers.get("retry-after")) };
};

/** Sends the same request to the routers in turn, and nothing else, so that every crash is caused by this request. */
const repeatRequest = async (system: LocalSystem, routers: number): Promise<void> => {
  for (let attempt = 0; attempt < tries; attempt += 1) {
    setCrashing(system, true);
    await ask(system, attempt % routers);
  }
};

const expectBoundedCrashes = async (context: TestContext, system: LocalSystem): Promise<void> => {
  const crashed = await countCrashes(system);
  context.diagnostic(`${crashed} engines crashed in ${tries} tries of the same request`);
  expect(crashed >= limits.crashes && crashed <= limits.crashes + limits.further).toEqual(true);
};

const expectQuarantined = async (system: LocalSystem, router: number): Promise<void> => {
  const { status, text, retryAfter } = await ask(system, router);
  expect([status, text.includes("held_back"), text.includes("not_run"), retryAfter > 0]).toEqual([
    503,
    true,
    true,
    true,
  ]);
};

/** The same while engines still crash: one router may make a trial, a second after the quarantine began. */
const expectQuarantinedBesideTrials = async (system: LocalSystem, router: number): Promise<void> => {
  const { status } = await ask(system, router);
  expect(status === 200).toEqual(false);
  await expectQuarantined(system, router);
};

const otherQuestion = { ...question, messages: [{ role: "user", content: "Who may fly tomorrow?" }] };

describe("a request that crashes the engines that run it, on the product's own interface", () => {
  it("reaches at most three more engines after it has crashed three, although its caller retries", async (context) => {
    await using system = await startLocalSystem({ engines: 4 });
    await repeatRequest(system, 1);
    await expectBoundedCrashes(context, system);
  });

  it("has the same limit over several routers, and other requests are still served", async (context) => {
    await using system = await startLocalSystem({ engines: 4, routers: 3 });
    await repeatRequest(system, 3);
    for (let router = 0; router < 3; router += 1) await expectQuarantinedBesideTrials(system, router);
    setCrashing(system, false);
    for (let router = 0; router < 3; router += 1)
      expect((await ask(system, router, otherQuestion)).status).toEqual(200);
    await expectBoundedCrashes(context, system);
  });

  it("is rejected by a router that starts later", async () => {
    await using system = await startLocalSystem({ engines: 4, routers: 2 });
    await repeatRequest(system, 2);
    setCrashing(system, false);
    const before = await countCrashes(system);
    for (const router of [0, 1]) await system.stopRouter(router);
    await system.startRouter(1);
    while ((await ask(system, 1, otherQuestion)).status !== 200) await sleep(50);
    await expectQuarantined(system, 1);
    expect(await countCrashes(system)).toEqual(before);
  });
});
