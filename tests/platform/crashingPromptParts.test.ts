/**
 * Requests that have one prompt part in common, and nothing else, crash each replica that begins to answer on it. If
 * routers know requests by their whole content, each of them looks like the first one: 78 engine processes ended under
 * one part.
 */
import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { deadlyParts } from "../support/crashingReplicas.ts";
import type { StormOutcome, StormPrompts } from "../support/crashStorm.ts";
import { allowedArrivals, playStorm, startStormSystem } from "../support/crashStorm.ts";

const [deadly, alsoDeadly] = deadlyParts;

/** Parts that sound and crashing requests share. */
const shared = { opening: "aa000001", subject: "aa000002" } as const;

const sound = [[shared.opening], [shared.opening, shared.subject], [shared.subject]];

/** @param parts - The number of crashing parts. */
const expectBounded = (context: TestContext, outcome: StormOutcome, parts = 1): void => {
  context.diagnostic(JSON.stringify(outcome));
  expect(outcome.crashes > 0).toEqual(true);
  expect(outcome.lateArrivals <= allowedArrivals * parts).toEqual(true);
  // Sound requests must begin at least half as often as without crashes.
  expect(outcome.servedAfter >= outcome.servedBefore / 2).toEqual(true);
};

const playCase = async (context: TestContext, prompts: StormPrompts, parts = 1): Promise<void> => {
  await using storm = await startStormSystem(6, 14);
  expectBounded(context, await playStorm(storm, prompts), parts);
};

describe("a prompt part that crashes the replicas that answer on it", () => {
  it("reaches at most three replicas more where it is the first part", (context) =>
    playCase(context, { crashing: [[deadly, shared.opening, shared.subject]], sound }));

  it("reaches at most three replicas more where it stands between shared parts", (context) =>
    playCase(context, { crashing: [[shared.opening, deadly, shared.subject]], sound }));

  it("reaches at most three replicas more where another one crashes replicas too", (context) =>
    playCase(
      context,
      {
        crashing: [
          [deadly, shared.opening],
          [shared.subject, alsoDeadly],
        ],
        sound,
      },
      2,
    ));

  it("reaches at most three replicas more where a router starts meanwhile", async (context) => {
    await using storm = await startStormSystem(6, 14);
    const startRouter = async (): Promise<void> => {
      await sleep(300);
      await storm.system.startRouter();
    };
    const prompts = { crashing: [[shared.opening, deadly]], sound };
    expectBounded(context, await playStorm(storm, prompts, undefined, startRouter));
  });

  it("reaches at most three replicas more where its neighbour always comes with it", (context) =>
    playCase(context, { crashing: [[shared.opening, "aa000003", deadly]], sound }));
});
