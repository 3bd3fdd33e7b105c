import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { bounds } from "../../../tests/support/forwardingFixture.ts";
import { MemoryNetwork } from "../../../tests/support/MemoryNetwork.ts";
import type { OrganisationLimit } from "../../protocol/forwarding/types.ts";
import { createManualClock } from "../manualClock.ts";
import { roleCheckInterval, takeoverTimeout } from "../coordinators/constants.ts";
import { createCoordinators } from "../coordinators/coordinators.ts";
import { createKeyCoordination } from "../coordinators/keyCoordination.ts";
import { createUsageLimits } from "./usageLimits.ts";

const organisation = "levant";

/** The smallest organisation of a deployment of 58 routers. */
const smallLimit: OrganisationLimit = {
  unit: "tokens",
  ratePerSecond: 36_000,
  burst: 36_000,
  plainTokens: 200,
};

const limitBounds = { ...bounds, limitWindow: 8_000, limitOvershoot: 0.1, limitReserve: 140_000 };

/** Without a reserve a second burst, which two coordinators at once would grant, exceeds the bound. */
const strictBounds = { ...limitBounds, limitReserve: 0 };

const step = 5;

/** A request that was forwarded. */
interface Forwarded {
  readonly at: number;
  readonly amount: number;
}

/** Creates routers in several data centres on one network, and records what they forward. */
const createRouters = (
  count: number,
  firstLimit: OrganisationLimit = smallLimit,
  usedBounds: typeof limitBounds = limitBounds,
  listedAloneAt?: number,
) => {
  const clock = createManualClock(1_000);
  const network = new MemoryNetwork(clock);
  let limit: OrganisationLimit | undefined = firstLimit;
  const entries = Array.from({ length: count }, (_, index) => ({
    name: `router-${index}`,
    incarnation: `process-${index}`,
    dataCentre: `centre-${index % 4}`,
    address: "10.0.0.1",
    port: index + 1,
  }));
  const forwarded: Forwarded[] = [];
  const refusals: { readonly wait: number; readonly amount: number }[] = [];
  const start = (self: (typeof entries)[number]) => {
    const link = network.open(self.port);
    const others = entries
      .filter((entry) => entry !== self)
      .map(({ name, dataCentre, address, port }) => ({ name, dataCentre, at: { address, port } }));
    const limits = createUsageLimits({
      coordination: createKeyCoordination({
        self,
        link,
        clock,
        others: () => others,
        listedAloneAt: () => listedAloneAt,
        random: () => 0.5,
      }),
      clock,
      bounds: usedBounds,
      limitOf: () => limit,
      limitedOrganisations: () => (limit === undefined ? [] : [organisation]),
      random: () => 0.5,
    });
    // Routers always receive heartbeats from one another; their content does not matter here.
    const sendHeartbeats = (): void => {
      for (const { at } of others) link.send(at, Buffer.from([0]));
      clock.after(400, sendHeartbeats);
    };
    sendHeartbeats();
    return { self, limits };
  };
  const routers = entries.map(start);

  /** Advances the clock in steps, and lets promises settle after each. */
  const advance = async (milliseconds: number): Promise<void> => {
    const until = clock.monotonic() + milliseconds;
    while (clock.monotonic() < until) {
      clock.advanceTo(Math.min(until, clock.monotonic() + step));
      for (let round = 0; round < 4; round += 1) await Promise.resolve();
    }
  };

  const send = (router: number, amount: number): void => {
    const acquired = Promise.resolve(routers[router]?.limits.acquire(organisation, amount));
    void acquired.then((wait) => {
      if (wait === undefined) forwarded.push({ at: clock.monotonic(), amount });
      else refusals.push({ wait, amount });
    });
  };

  return {
    clock,
    network,
    routers,
    forwarded,
    refusals,
    send,
    advance,
    restart: (index: number) => {
      const entry = entries[index];
      if (entry !== undefined) routers[index] = start(entry);
    },
    /** @returns The routers in the order in which they coordinate the organisation's usage. */
    coordinators: (): readonly number[] => {
      const all = entries.map(({ name, dataCentre, address, port }) => ({
        name,
        dataCentre,
        at: { address, port },
      }));
      const [self, ...others] = all;
      if (self === undefined) throw new Error("There are no routers.");
      const coordinators = createCoordinators({ self, others: () => others, clock });
      const order = coordinators.orderFor(organisation);
      return order.map((router) => entries.findIndex(({ name }) => name === router.name));
    },
    coordinator(): number {
      return this.coordinators()[0] ?? 0;
    },
    changeLimit: (changed: OrganisationLimit | undefined) => {
      limit = changed;
    },
  };
};

/** @returns The most that was forwarded in any window. */
const mostInWindow = (forwarded: readonly Forwarded[]): number => {
  const sorted = [...forwarded].sort((left, right) => left.at - right.at);
  let sum = 0;
  let most = 0;
  let first = 0;
  for (const { at, amount } of sorted) {
    sum += amount;
    for (let oldest = sorted[first]; oldest !== undefined; oldest = sorted[first]) {
      if (at - oldest.at <= limitBounds.limitWindow) break;
      sum -= oldest.amount;
      first += 1;
    }
    most = Math.max(most, sum);
  }
  return most;
};

const allowed = ({ ratePerSecond, burst }: OrganisationLimit, usedBounds = limitBounds): number =>
  (ratePerSecond * 8 + burst) * (1 + usedBounds.limitOvershoot) + usedBounds.limitReserve;

/** Sends requests through all routers in turn, at a steady rate. @param perSecond - Requests of all routers together. */
const flood = async (
  system: ReturnType<typeof createRouters>,
  perSecond: number,
  amount: number,
  seconds: number,
): Promise<void> => {
  const count = perSecond * seconds;
  for (let index = 0; index < count; index += 1) {
    system.send(index % system.routers.length, amount);
    await system.advance(1_000 / perSecond);
  }
};

/** Checks that the bound holds through a flood, and that most of the rate is granted `seconds` after a failure. */
const expectTakeover = async (system: ReturnType<typeof createRouters>, seconds: number): Promise<void> => {
  await flood(system, 60, 2_400, seconds);
  const before = system.forwarded.length;
  await flood(system, 60, 2_400, 4);
  await system.advance(200);
  const sum = (system.forwarded.length - before) * 2_400;
  expect(mostInWindow(system.forwarded) <= allowed(smallLimit)).toEqual(true);
  expect(sum >= 0.8 * smallLimit.ratePerSecond * 4).toEqual(true);
};

describe("limits of organisations over all routers", () => {
  it("admit long prompts of a small organisation at each of 58 routers", async () => {
    const system = createRouters(58);
    await system.advance(6_000);
    await flood(system, 2, 12_000, 8);
    await system.advance(200);
    expect(system.refusals).toEqual([]);
    expect(system.forwarded.length).toEqual(16);
  });

  it("hold in a flood of seven times the rate, and still grant the whole rate", async () => {
    const system = createRouters(16);
    await system.advance(6_000);
    await flood(system, 100, 2_400, 12);
    await system.advance(200);
    const sum = system.forwarded.reduce((total, { amount }) => total + amount, 0);
    expect(mostInWindow(system.forwarded) <= allowed(smallLimit)).toEqual(true);
    expect(sum >= 0.95 * smallLimit.ratePerSecond * 12).toEqual(true);
  });

  it("give refused requests the time at which there is room again", async () => {
    const system = createRouters(9);
    await system.advance(8_000);
    await flood(system, 100, 12_000, 1);
    await system.advance(200);
    // The burst of 36,000 tokens, 0.4 of what is allowed beyond the limit (69,000), and the refill of a second.
    expect(system.forwarded.length <= 12).toEqual(true);
    expect(system.refusals.every(({ wait }) => wait > 0 && wait < 500)).toEqual(true);
  });

  it("refuse the next request too after a refusal with most of the burst left", async () => {
    const limit: OrganisationLimit = { unit: "tokens", ratePerSecond: 2_000, burst: 2_000, plainTokens: 200 };
    const system = createRouters(1, limit, strictBounds, 1_000);
    // The bucket of 2,720 tokens is more than half full.
    await system.advance(900);
    for (const amount of [2_400, 2_400]) {
      system.send(0, amount);
      await system.advance(step);
    }
    expect([system.forwarded.length, system.refusals.length]).toEqual([0, 2]);
  });

  it("are counted from the start by a router that the store lists alone", async () => {
    const limit: OrganisationLimit = { unit: "tokens", ratePerSecond: 2_000, burst: 2_000, plainTokens: 200 };
    const system = createRouters(1, limit, strictBounds, 1_000);
    await system.advance(1_000);
    // The bucket has room for one of the first two. Without a count a router forwards both, and then refuses a third for
    // which the limit has room.
    system.send(0, 1_540);
    system.send(0, 1_540);
    await system.advance(700);
    system.send(0, 1_540);
    await system.advance(step);
    const [first, second] = system.forwarded;
    expect([system.forwarded.length, system.refusals.length]).toEqual([2, 1]);
    expect((second?.at ?? 0) - (first?.at ?? 0) >= 700).toEqual(true);
  });

  it("are not counted at once by a router that was listed alone before it was paused", () => {
    const clock = createManualClock(1_000);
    const self = { name: "router-0", dataCentre: "centre-0", at: { address: "10.0.0.1", port: 1 } };
    const coordinators = createCoordinators({ self, others: () => [], listedAloneAt: () => 1_000, clock });
    expect(coordinators.isActing(organisation)).toEqual(true);
    // Another router may have started and counted meanwhile.
    clock.advanceTo(6_000);
    expect(coordinators.isActing(organisation)).toEqual(false);
    for (let waited = 0; waited < takeoverTimeout; waited += roleCheckInterval) {
      clock.advanceTo(clock.monotonic() + roleCheckInterval);
      coordinators.poll();
    }
    expect(coordinators.isActing(organisation)).toEqual(true);
  });

  it("grant a prompt that is larger than the whole burst", async () => {
    const system = createRouters(9);
    await system.advance(8_000);
    system.send(0, 54_600);
    await system.advance(100);
    expect(system.forwarded.length).toEqual(1);
  });

  it("hold while the coordinator is lost, and its successor then grants the rate", async () => {
    const system = createRouters(16);
    await system.advance(6_000);
    await flood(system, 60, 2_400, 4);
    system.network.freeze(system.coordinator() + 1);
    await expectTakeover(system, 5);
  });

  it("are granted by the fourth router where the first three are lost together", async () => {
    const system = createRouters(16);
    await system.advance(6_000);
    await flood(system, 60, 2_400, 2);
    for (const lost of system.coordinators().slice(0, 3)) system.network.freeze(lost + 1);
    await expectTakeover(system, 6);
  });

  it("hold when a coordinator resumes after a pause", async () => {
    const system = createRouters(16);
    await system.advance(6_000);
    const coordinatorPort = system.coordinator() + 1;
    await flood(system, 60, 2_400, 2);
    system.network.freeze(coordinatorPort);
    await flood(system, 60, 2_400, 5);
    system.network.thaw(coordinatorPort);
    await flood(system, 60, 2_400, 6);
    expect(mostInWindow(system.forwarded) <= allowed(smallLimit)).toEqual(true);
  });

  it("hold where no router reaches another, and still admit some requests", async () => {
    const system = createRouters(16);
    await system.advance(6_000);
    await flood(system, 60, 2_400, 4);
    const before = system.forwarded.length;
    system.network.isDown = true;
    await flood(system, 60, 2_400, 6);
    expect(mostInWindow(system.forwarded) <= allowed(smallLimit)).toEqual(true);
    expect(system.forwarded.length > before).toEqual(true);
  });

  // A router expected what it had forwarded when its callers were last there, however long ago that was.
  it("hold where callers move from router to router and no router reaches another", async (context) => {
    const system = createRouters(16, smallLimit, strictBounds);
    await system.advance(6_000);
    const visited = Array.from({ length: 6 }, (_, index) => index);
    const sendThrough = async (router: number, perSecond: number, seconds: number): Promise<void> => {
      for (let count = 0; count < perSecond * seconds; count += 1) {
        system.send(router, 2_400);
        await system.advance(1_000 / perSecond);
      }
    };
    for (const router of visited) await sendThrough(router, 14, 8);
    system.network.isDown = true;
    for (const router of visited) await sendThrough(router, 60, 1);
    const most = mostInWindow(system.forwarded);
    context.diagnostic(`${most} tokens in the worst window, ${allowed(smallLimit, strictBounds)} allowed`);
    expect(most <= allowed(smallLimit, strictBounds)).toEqual(true);
  });

  it("admit the usual rate for a short time where the network is lost far from the limit", async () => {
    const large = { ...smallLimit, ratePerSecond: 1_000_000, burst: 1_000_000 };
    const system = createRouters(16, large);
    await system.advance(6_000);
    await flood(system, 200, 2_400, 8);
    system.network.isDown = true;
    const before = system.refusals.length;
    await flood(system, 200, 2_400, 2);
    await system.advance(500);
    expect(system.refusals.length - before).toEqual(0);
  });

  it("hold in windows after the limit is lowered, and end when it is removed", async () => {
    const system = createRouters(16, { ...smallLimit, ratePerSecond: 300_000, burst: 300_000 });
    await system.advance(6_000);
    await flood(system, 100, 2_400, 4);
    system.changeLimit(smallLimit);
    await flood(system, 100, 2_400, 1);
    const loweredAt = system.clock.monotonic();
    await flood(system, 100, 2_400, 9);
    const after = system.forwarded.filter(({ at }) => at >= loweredAt);
    expect(mostInWindow(after) <= allowed(smallLimit)).toEqual(true);
    system.changeLimit(undefined);
    expect(system.routers[0]?.limits.acquire(organisation, 1_000_000)).toEqual(undefined);
  });

  it("refund requests that have not run", async () => {
    const system = createRouters(9);
    await system.advance(8_000);
    for (let index = 0; index < 30; index += 1) {
      system.send(3, 12_000);
      await system.advance(100);
      system.routers[3]?.limits.refund(organisation, 12_000);
    }
    expect(system.refusals).toEqual([]);
  });

  it("admit most of the usual load soon after most routers restart together", async () => {
    const large = { ...smallLimit, ratePerSecond: 1_000_000, burst: 1_000_000 };
    const system = createRouters(16, large);
    await system.advance(6_000);
    await flood(system, 200, 2_400, 4);
    for (let index = 0; index < 10; index += 1) system.network.freeze(index + 1);
    await flood(system, 100, 2_400, 3);
    for (let index = 0; index < 10; index += 1) {
      system.network.thaw(index + 1);
      system.restart(index);
    }
    const before = system.refusals.length;
    await flood(system, 200, 2_400, 2);
    await system.advance(300);
    expect(system.refusals.length - before <= 400 * 0.1).toEqual(true);
    expect(mostInWindow(system.forwarded) <= allowed(large)).toEqual(true);
  });

  it("add no latency far from the limit", async () => {
    const large = { ...smallLimit, ratePerSecond: 1_000_000, burst: 1_000_000 };
    const system = createRouters(9, large);
    await system.advance(8_000);
    system.send(3, 2_400);
    await system.advance(50);
    expect(system.routers[3]?.limits.acquire(organisation, 2_400)).toEqual(undefined);
  });

  it("hold under random losses, pauses and restarts", async () => {
    const failure = fc.record({
      kind: fc.constantFrom("freeze", "restart", "down", "loss", "calm"),
      router: fc.nat({ max: 11 }),
      perSecond: fc.constantFrom(30, 90, 150),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(failure, { minLength: 2, maxLength: 5 }), async (failures) => {
        const system = createRouters(12, smallLimit, strictBounds);
        await system.advance(5_000);
        for (const { kind, router, perSecond } of failures) {
          // Failures of the coordinator matter most.
          const affected = router % 2 === 0 ? system.coordinator() : router;
          if (kind === "freeze") system.network.freeze(affected + 1);
          if (kind === "restart") system.restart(affected);
          if (kind === "down") system.network.isDown = true;
          if (kind === "loss") system.network.loseEveryNth = 5;
          await flood(system, perSecond, 1_200, 3);
          system.network.thaw(affected + 1);
          system.network.isDown = false;
          system.network.loseEveryNth = 0;
        }
        expect(mostInWindow(system.forwarded) <= allowed(smallLimit, strictBounds)).toEqual(true);
      }),
      { numRuns: 25, seed: 20261203 },
    );
  });
});

describe("the coordinator of a key", () => {
  it("is one router at most, from the start on", () => {
    const clock = createManualClock(0);
    const routers = Array.from({ length: 8 }, (_, index) => ({
      name: `router-${index}`,
      dataCentre: `centre-${index % 4}`,
      at: { address: "10.0.0.1", port: index + 1 },
    }));
    const all = routers.map((self) =>
      createCoordinators({ self, others: () => routers.filter((each) => each !== self), clock }),
    );
    for (let time = 0; time < 3 * takeoverTimeout; time += roleCheckInterval) {
      clock.advanceTo(time);
      for (const coordinators of all) {
        routers.forEach(({ at }) => coordinators.noteReceived(at));
        coordinators.poll();
      }
      if (time === takeoverTimeout / 2) {
        for (const coordinators of all) routers.forEach(({ at }) => coordinators.noteAnswer(at));
      }
      const acting = all.filter((coordinators) => coordinators.isActing(organisation)).length;
      expect(acting).toEqual(time < takeoverTimeout / 2 ? 0 : 1);
    }
  });
});
