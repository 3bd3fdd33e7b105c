import { setTimeout as sleep } from "node:timers/promises";
import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { expect } from "earl";
import type { Behaviour, ReplicaStandIn } from "../../standIns/platform/replica.ts";
import type { PlatformSystem } from "../../standIns/platform/platformSystem.ts";
import { defaultPromptHeaders, hosts } from "../../standIns/platform/platformSystem.ts";
import { readRequest } from "../support/drainingReplicas.ts";
import { sendSteadily } from "../support/limitedReplicas.ts";
import { startReadySystem } from "../support/readySystem.ts";

/** A request may reach one incarnation of a replica this many times, whatever it answers. */
const maxArrivals = 2;

/** Share of the requests that must be served while other replicas have room. */
const servedTarget = 0.98;

const ask = {
  host: hosts.model,
  path: "/ask/2f",
  body: "ask",
  headers: defaultPromptHeaders(),
};

const startSystem = (reportLag: number): Promise<PlatformSystem> =>
  startReadySystem({ desks: 8, engines: 8, engine: { reportLag } }, 6);

/** @returns How often the request that arrived most often at one replica arrived there. */
const mostArrivalsOfOne = (engines: readonly ReplicaStandIn[]): number =>
  Math.max(
    ...engines.map(({ arrivals }) => {
      const counts = new Map<unknown, number>();
      for (const { headers } of arrivals) {
        const id = headers["x-attempt-id"];
        counts.set(id, (counts.get(id) ?? 0) + 1);
      }
      return Math.max(0, ...counts.values());
    }),
  );

const expectFewRepeats = async (
  context: TestContext,
  system: PlatformSystem,
  replicas: readonly ReplicaStandIn[],
  change: () => void,
): Promise<void> => {
  const request = replicas === system.engines ? ask : readRequest;
  const sending = sendSteadily(system, request, { perSecond: 60, seconds: 3 });
  await sleep(500);
  change();
  const answers = await sending;
  const served = answers.filter(({ status }) => status === 200).length / answers.length;
  const arrivals = replicas.reduce((sum, replica) => sum + replica.arrivals.length, 0);
  const most = mostArrivalsOfOne(replicas);
  context.diagnostic(
    `at most ${most} arrivals of one request at one replica, ${arrivals - answers.length} repeats, served ${served.toFixed(3)}`,
  );
  expect(most <= maxArrivals).toEqual(true);
  expect(served >= servedTarget).toEqual(true);
};

describe("a replica that denies to run the expected weights", () => {
  // A status that is older than the refusal names the weights that the refusal has denied.
  it("gets a request twice at most while its status still names them", async (context) => {
    await using system = await startSystem(600);
    await expectFewRepeats(context, system, system.engines, () => {
      for (const engine of system.engines.slice(0, 2)) engine.loadWeights(2);
    });
  });

  // Restarted under its name without a start time, a replica runs the weights that it registered with.
  it("gets a request twice at most if it runs older weights than routers know", async (context) => {
    await using system = await startSystem(0);
    for (const engine of system.engines) engine.loadWeights(2);
    await sendSteadily(system, ask, { perSecond: 60, seconds: 1 });
    await expectFewRepeats(context, system, system.engines, () => {
      for (const engine of system.engines.slice(0, 2)) engine.loadWeights(1);
    });
  });

  // A replica that refuses at once looks idle, and would attract most requests.
  it("gets a request twice at most if it is a plain replica", async (context) => {
    await using system = await startSystem(0);
    await expectFewRepeats(context, system, system.desks, () => {
      for (const desk of system.desks.slice(0, 2))
        desk.setBehaviours(...new Array<Behaviour>(200).fill("deny"));
    });
  });
});
