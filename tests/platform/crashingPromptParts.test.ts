/**
 * Requests that have one prompt part in common, and nothing else, crash each replica that begins to answer on it. If
 * routers know requests by their whole content, each of them looks like the first one: 78 engine processes ended under
 * one part.
 */
import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { expect } from "earl";
import { deadlyParts } from "../support/crashingReplicas.ts";
import type { StormOutcome, StormPrompts } from "../support/crashStorm.ts";
import { allowedArrivals, playStorm, startStormSystem } from "../support/crashStorm.ts";

const [deadly] = deadlyParts;

/** Parts that sound and crashing requests share. */
const shared = { opening: "aa000001", subject: "aa000002" } as const;

const sound = [[shared.opening], [shared.opening, shared.subject], [shared.subject]];

const expectBounded = (context: TestContext, outcome: StormOutcome): void => {
  context.diagnostic(JSON.stringify(outcome));
  expect(outcome.crashes > 0).toEqual(true);
  expect(outcome.lateArrivals <= allowedArrivals).toEqual(true);
  // Sound requests must begin at least half as often as without crashes.
  expect(outcome.servedAfter >= outcome.servedBefore / 2).toEqual(true);
};

const playCase = async (context: TestContext, prompts: StormPrompts): Promise<void> => {
  await using storm = await startStormSystem(6, 14);
  expectBounded(context, await playStorm(storm, prompts));
};

describe("a prompt part that crashes the replicas that answer on it", () => {
  it("reaches at most three replicas more where it is the first part", (context) =>
    playCase(context, { crashing: [[deadly, shared.opening, shared.subject]], sound }));

  it("reaches at most three replicas more where it stands between shared parts", (context) =>
    playCase(context, { crashing: [[shared.opening, deadly, shared.subject]], sound }));

  it("reaches at most three replicas more where its neighbour always comes with it", (context) =>
    playCase(context, { crashing: [[shared.opening, "aa000003", deadly]], sound }));
});
