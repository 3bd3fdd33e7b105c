import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { allowedIntake } from "../../../tests/support/limitedReplicas.ts";
import { createLimitRouters } from "../../../tests/support/limitRouters.ts";

/** Requests a second that all routers together would send without a limit. */
const demand = 40;

const steady = (perSecond: number) => () => perSecond;

/** Checks that the replica never got more in a window than its limit allows. */
const expectWithinLimit = (
  system: Awaited<ReturnType<typeof createLimitRouters>>,
  perSecond: number,
): void => {
  expect(system.highestIntake() <= allowedIntake(perSecond)).toEqual(true);
};

/** Checks that most of what the limit allows is used in the next seconds. */
const expectUtilised = async (
  system: Awaited<ReturnType<typeof createLimitRouters>>,
  perSecond: number,
  seconds = 8,
): Promise<void> => {
  await system.flood(demand, seconds);
  expect(system.countRecentArrivals(seconds * 1_000) >= 0.8 * perSecond * seconds - 1).toEqual(true);
};

describe("limits that replicas report", () => {
  it("are obeyed and used by all routers together, also below one request a second", async () => {
    for (const perSecond of [0.25, 0.4, 1.6, 7.5]) {
      const system = await createLimitRouters({ routers: 9, limitAt: steady(perSecond) });
      await system.flood(demand, 10);
      await expectUtilised(system, perSecond);
      expectWithinLimit(system, perSecond);
    }
  });

  it("are obeyed by routers that learn of them only from answers", async () => {
    const system = await createLimitRouters({ routers: 9, limitAt: steady(1.6), announcesLimits: false });
    await system.flood(demand, 12);
    expectWithinLimit(system, 1.6);
  });

  it("are obeyed while they rise and fall from answer to answer", async () => {
    const system = await createLimitRouters({
      routers: 9,
      limitAt: (time) => [0.4, 3, 1.6, 2.2][Math.floor(time / 700) % 4],
    });
    await system.flood(demand, 15);
    expectWithinLimit(system, 3);
    expect(system.countRecentArrivals(8_000) > 4).toEqual(true);
  });

  it("are obeyed at once after they fall, and used after they rise", async () => {
    const system = await createLimitRouters({
      routers: 9,
      limitAt: (time) => (time < 12_000 ? 8 : time < 24_000 ? 1 : 6),
    });
    await system.flood(demand, 8);
    const fallenAt = system.clock.monotonic();
    await system.flood(demand, 11);
    expect(system.highestIntake(fallenAt + 500) <= allowedIntake(1)).toEqual(true);
    await system.flood(demand, 4);
    await expectUtilised(system, 6, 4);
  });

  it("are obeyed where only some answers report them", async () => {
    let answers = 0;
    const system = await createLimitRouters({
      routers: 9,
      limitAt: () => {
        answers += 1;
        return answers % 5 < 3 ? 1.6 : undefined;
      },
    });
    await system.flood(demand, 30);
    expectWithinLimit(system, 1.6);
  });

  it("end with answers that report none, and are not revived by the outdated state of another router", async () => {
    for (const perSecond of [0.4, 1.6]) {
      const system = await createLimitRouters({
        routers: 9,
        limitAt: (time) => (time < 12_000 ? perSecond : undefined),
      });
      await system.flood(demand, 10);
      await system.flood(demand, 15);
      await system.flood(demand, 2);
      expect(system.countRecentArrivals(1_000) >= 0.9 * demand).toEqual(true);
    }
  });

  it("don't expire while nobody asks", async () => {
    const system = await createLimitRouters({ routers: 9, limitAt: steady(1) });
    await system.flood(demand, 6);
    await system.advance(60_000);
    const before = system.clock.monotonic();
    await system.flood(demand, 8);
    expect(system.highestIntake(before) <= allowedIntake(1)).toEqual(true);
  });

  it("allow no larger burst after a pause than the replica may get", async () => {
    const system = await createLimitRouters({ routers: 9, limitAt: steady(4) });
    await system.flood(demand, 5);
    await system.advance(25_000);
    await system.flood(demand, 6);
    expectWithinLimit(system, 4);
  });

  it("let a request through from time to time where they are 0, whose answer shows their end", async () => {
    const system = await createLimitRouters({
      routers: 9,
      limitAt: (time) => (time < 40_000 ? 0 : undefined),
    });
    await system.flood(demand, 30);
    expectWithinLimit(system, 0);
    await system.flood(demand, 60);
    await system.flood(demand, 2);
    expect(system.countRecentArrivals(1_000) >= 0.9 * demand).toEqual(true);
  });

  it("hold for requests that were sent before the first report, and for bursts right after it", async () => {
    const system = await createLimitRouters({
      routers: 9,
      limitAt: steady(1.6),
      answerTime: (answer) => 40 + (answer % 7) * 90,
    });
    for (let index = 0; index < 90; index += 1) void system.send(index);
    await system.advance(700);
    for (let index = 0; index < 90; index += 1) void system.send(index);
    await system.flood(demand, 6);
    for (let index = 0; index < 90; index += 1) void system.send(index);
    await system.flood(demand, 4);
    expectWithinLimit(system, 1.6);
  });

  it("are obeyed where answers overtake one another, as those of long streams do", async () => {
    const system = await createLimitRouters({
      routers: 9,
      limitAt: (time) => (time < 14_000 ? 6 : 0.8),
      answerTime: (answer) => (answer % 3 === 0 ? 1_900 : 50),
    });
    await system.flood(demand, 10);
    await system.advance(2_500);
    const fallenAt = system.clock.monotonic();
    await system.flood(demand, 10);
    expect(system.highestIntake(fallenAt) <= allowedIntake(0.8)).toEqual(true);
  });

  it("belong to one incarnation: a replica that restarts reports its own or none", async () => {
    const system = await createLimitRouters({
      routers: 9,
      limitAt: (time) => (time < 12_000 ? 1 : undefined),
    });
    await system.flood(demand, 6);
    system.replaceReplica("engine-1 again");
    const before = system.clock.monotonic();
    await system.flood(demand, 2);
    expectWithinLimit(system, 1);
    await system.advance(4_000);
    system.replaceReplica("engine-1 once more");
    await system.flood(demand, 2);
    expect(system.arrivals.filter(({ at }) => at > before).length >= 0.9 * demand * 2).toEqual(true);
  });

  it("let requests that can wait reserve grants, and no more of them than the limit allows", async () => {
    const system = await createLimitRouters({ routers: 9, limitAt: steady(4) });
    await system.flood(demand, 4);
    await system.flood(demand, 10, 400);
    expectWithinLimit(system, 4);
    expect(system.countRecentArrivals(8_000) >= 0.8 * 4 * 8).toEqual(true);
  });
});

describe("limits that replicas report, under failures", () => {
  it("are obeyed and used by many routers with rare heartbeats and lost datagrams", async () => {
    const system = await createLimitRouters({
      routers: 24,
      limitAt: steady(3),
      heartbeatInterval: 6_000,
    });
    await system.flood(demand, 10);
    system.network.loseEveryNth = 4;
    await system.flood(demand, 20);
    expectWithinLimit(system, 3);
    await expectUtilised(system, 3 * 0.8);
  });

  it("are not exceeded by requests with expired grants after all processes were paused", async () => {
    const system = await createLimitRouters({ routers: 9, limitAt: steady(4) });
    await system.flood(demand, 5);
    await system.flood(demand, 1, 900);
    for (let index = 0; index < 9; index += 1) system.pauseProcess(index);
    await system.advance(6_000);
    const before = system.arrivals.length;
    for (let index = 0; index < 9; index += 1) system.resumeProcess(index);
    await system.advance(100);
    expect(system.arrivals.length - before <= 1).toEqual(true);
  });

  it("are obeyed by a router that starts later, and after all routers restart together", async () => {
    const system = await createLimitRouters({ routers: 9, limitAt: steady(1.6) });
    await system.flood(demand, 6);
    system.restart(3);
    await system.flood(demand, 6);
    expectWithinLimit(system, 1.6);
    for (let index = 0; index < 9; index += 1) system.restart(index);
    const before = system.clock.monotonic();
    await system.flood(demand, 8);
    expect(system.highestIntake(before) <= allowedIntake(1.6)).toEqual(true);
    await expectUtilised(system, 1.6);
  });

  it("are obeyed while the coordinator and its successor are lost, and used again afterwards", async () => {
    const system = await createLimitRouters({ routers: 12, limitAt: steady(3) });
    await system.flood(demand, 6);
    const [first = 0, second = 0] = system.coordinators();
    system.network.freeze(first + 1);
    await system.flood(demand, 3);
    system.network.freeze(second + 1);
    await system.flood(demand, 8);
    expectWithinLimit(system, 3);
    await expectUtilised(system, 3);
    system.network.thaw(first + 1);
    system.network.thaw(second + 1);
    await system.flood(demand, 6);
    expectWithinLimit(system, 3);
  });

  it("are obeyed after a router with a grant was paused, and after the coordinator was", async () => {
    const system = await createLimitRouters({ routers: 9, limitAt: steady(2) });
    await system.flood(demand, 6);
    const [first = 0] = system.coordinators();
    for (const paused of [first, (first + 1) % 9]) {
      system.network.freeze(paused + 1);
      await system.flood(demand, 5);
      system.network.thaw(paused + 1);
      await system.flood(demand, 6);
    }
    expectWithinLimit(system, 2);
  });

  it("are obeyed after a VM was suspended together with its monotonic clock, also the coordinator's", async () => {
    const system = await createLimitRouters({ routers: 9, limitAt: steady(2) });
    await system.flood(demand, 6);
    const [first = 0] = system.coordinators();
    for (const suspended of [first, (first + 2) % 9, first]) {
      system.suspend(suspended);
      await system.flood(demand, 7);
      system.resume(suspended);
      await system.flood(demand, 6);
    }
    expectWithinLimit(system, 2);
  });

  it("are obeyed while a data centre is partitioned and after it returns, with load on both sides", async () => {
    for (const dataCentreIndex of [0, 1]) {
      const system = await createLimitRouters({ routers: 12, limitAt: steady(2) });
      await system.flood(demand, 6);
      system.network.isolatedPorts = new Set(
        system.routers.flatMap((_, index) => (index % 4 === dataCentreIndex ? [index + 1] : [])),
      );
      await system.flood(demand, 8);
      system.network.isolatedPorts = new Set();
      await system.flood(demand, 8);
      expectWithinLimit(system, 2);
      await expectUtilised(system, 2);
    }
  });

  it("are obeyed with lost, duplicated and late datagrams", async () => {
    const system = await createLimitRouters({ routers: 9, limitAt: steady(1.6) });
    Object.assign(system.network, {
      loseEveryNth: 4,
      duplicateEveryNth: 3,
      delayEveryNth: 7,
      extraDelay: 900,
    });
    await system.flood(demand, 25);
    expectWithinLimit(system, 1.6);
    await expectUtilised(system, 1.6 * 0.6);
  });

  it("are obeyed under random schedules of all of these failures", async () => {
    const failure = fc.record({
      kind: fc.constantFrom("freeze", "suspend", "restart", "cut", "loss", "late", "calm"),
      router: fc.nat({ max: 11 }),
      seconds: fc.constantFrom(1, 3, 5),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(failure, { minLength: 2, maxLength: 6 }),
        fc.constantFrom(0.3, 1.3, 4),
        async (failures, perSecond) => {
          const system = await createLimitRouters({ routers: 12, limitAt: steady(perSecond) });
          await system.flood(demand, 5);
          for (const { kind, router, seconds } of failures) {
            const affected = router % 2 === 0 ? (system.coordinators()[0] ?? 0) : router;
            if (kind === "freeze") system.network.freeze(affected + 1);
            if (kind === "suspend") system.suspend(affected);
            if (kind === "restart") system.restart(affected);
            if (kind === "cut")
              system.network.isolatedPorts = new Set([affected + 1, ((affected + 4) % 12) + 1]);
            if (kind === "loss") system.network.loseEveryNth = 3;
            if (kind === "late") Object.assign(system.network, { delayEveryNth: 3, extraDelay: 1_500 });
            await system.flood(demand, seconds);
            system.resume(affected);
            system.network.thaw(affected + 1);
            system.network.isolatedPorts = new Set();
            Object.assign(system.network, { loseEveryNth: 0, delayEveryNth: 0 });
          }
          await system.flood(demand, 4);
          expectWithinLimit(system, perSecond);
        },
      ),
      { numRuns: 25, seed: 20261203 },
    );
  });
});
