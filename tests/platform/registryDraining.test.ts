import { setTimeout as sleep } from "node:timers/promises";
import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { expect } from "earl";
import type { ReplicaStandIn } from "../../standIns/platform/replica.ts";
import type { PlatformSystem } from "../../standIns/platform/platformSystem.ts";
import { sendSteadily } from "../support/limitedReplicas.ts";
import {
  describeLate,
  drainBound,
  lateArrivals,
  readRequest,
  startDrainingSystem,
} from "../support/drainingReplicas.ts";

const storeOutage = 400;

/** Longer than all routers need to read a change of the registry, milliseconds. */
const readTime = 2 * drainBound;

const replicaOf = ({ desks }: PlatformSystem): ReplicaStandIn => {
  const [desk] = desks;
  if (desk === undefined) throw new Error("There is no replica.");
  return desk;
};

/** Sends requests for some seconds, and expects that none arrives at a replica later than the bound. */
const expectNoneLate = async (
  context: TestContext,
  system: PlatformSystem,
  replica: ReplicaStandIn,
  reportedAt: number,
): Promise<void> => {
  const answers = await sendSteadily(system, readRequest, { perSecond: 90, seconds: 4 });
  const late = lateArrivals(replica, reportedAt);
  context.diagnostic(describeLate(late));
  expect(late).toEqual([]);
  expect(answers.every(({ status }) => status === 200)).toEqual(true);
};

describe("a replica whose registration says that it drains", () => {
  it("gets no requests if it had restarted under its name with a clock that was behind", async (context) => {
    await using system = await startDrainingSystem();
    const replica = replicaOf(system);
    system.register(replica, { born: 2_000 });
    await sleep(readTime);
    system.register(replica, { born: 1_000 });
    await sleep(readTime);
    system.register(replica, { born: 1_000, state: "draining" });
    await expectNoneLate(context, system, replica, performance.now());
  });

  it("gets no requests if its entry had lapsed and routers first read the report in a copy of the store", async (context) => {
    await using system = await startDrainingSystem();
    const replica = replicaOf(system);
    system.register(replica, undefined);
    await sleep(readTime);
    system.register(replica, {});
    await sleep(readTime);
    system.store.faults.isDown = true;
    system.store.closeConnections();
    system.register(replica, { state: "draining" });
    await system.store.restoreFrom(system.store.topics.backUp(), storeOutage);
    // Routers can't read the report before the store returns.
    await expectNoneLate(context, system, replica, performance.now());
  });

  // The store's calls wait as long as a revoked key may be served allows, which may be far longer than the drain bound.
  it("gets no requests after reads of the registry that the store never answered", async (context) => {
    await using system = await startDrainingSystem();
    const replica = replicaOf(system);
    system.store.faults.isUnresponsive = true;
    await sleep(drainBound);
    system.store.faults.isUnresponsive = false;
    system.register(replica, { state: "draining" });
    await expectNoneLate(context, system, replica, performance.now());
  });
});
