import { describe, it } from "node:test";
import { expect } from "earl";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import { bounds, configurationOf, engineEntry } from "../../tests/support/forwardingFixture.ts";
import { run, startRouters } from "../registry/registry.ts";

const size = { routers: 58, dataCentres: 4 } as const;

/** Time in which routers find one another, milliseconds. */
const warmUp = 8_000;

/** The time after which a configuration must be in force everywhere, milliseconds. */
const configurationBound = 3_000;

const start = async () => {
  const clock = createManualClock(1_000);
  const system = startRouters(size, clock);
  await run(clock, warmUp, () => undefined);
  const firstReaders = system.routers.filter(({ peers }) => peers.isFirstStoreReader());
  return { ...system, clock, firstReaders };
};

type System = Awaited<ReturnType<typeof start>>;

/** @returns Milliseconds until a condition holds at all routers that reach the store; not more than twice the bound on configurations. */
const timeUntilAll = async (
  { clock, routers, cutRouters }: System,
  holds: (router: System["routers"][number]) => boolean,
): Promise<number> => {
  const from = clock.monotonic();
  const reaching = routers.filter(({ name }) => !cutRouters.has(name));
  while (clock.monotonic() < from + 2 * configurationBound && !reaching.every(holds))
    await run(clock, 10, () => undefined);
  return clock.monotonic() - from;
};

const publishConfiguration = (system: System, version: number): Promise<number> => {
  system.operator.write("config", { kind: "configuration", configuration: configurationOf(version) });
  return timeUntilAll(
    system,
    ({ configuration }) => configuration.table()?.configuration.version === version,
  );
};

const drainReplica = (system: System, name: string): Promise<number> => {
  system.registry.write(name, engineEntry(name, { isDraining: true }));
  return timeUntilAll(system, ({ replicas }) => replicas.get(name)?.entry.isDraining === true);
};

describe("calls to the store in a large deployment", () => {
  // Guards against every router reading the store for each change: 58 calls for each of them.
  it("grow with the number of data centres, not of routers, when weights or replicas change", async (context) => {
    const system = await start();
    const { clock, operator, registry, routers, calls } = system;
    const count = async (change: (index: number) => void): Promise<number> => {
      const before = calls();
      for (let index = 0; index < 5; index += 1) {
        change(index);
        await run(clock, 3_500, () => undefined);
      }
      return (calls() - before) / 5;
    };
    const atRest = await count(() => undefined);
    const weights = await count((index) =>
      operator.write("version/m", { kind: "weights", target: { model: "m", version: index + 2 } }),
    );
    const replicas = await count((index) => registry.write(`new-${index}`, engineEntry(`new-${index}`)));
    context.diagnostic(
      `calls in 3.5 s: ${atRest} at rest, ${weights} with new weights, ${replicas} with a replica`,
    );
    expect(weights).toBeLessThan(atRest + 25);
    expect(replicas).toBeLessThan(atRest + 25);
    for (const router of routers) {
      expect(router.configuration.wantedWeights("m")?.version).toEqual(6);
      expect(router.replicas.get("new-4") !== undefined).toEqual(true);
    }
  });

  const faults: readonly (readonly [string, (system: System) => void])[] = [
    ["all is well", () => undefined],
    [
      "the first reader of each data centre is frozen",
      ({ network, firstReaders }) => {
        for (const { port } of firstReaders) network.freeze(port);
      },
    ],
    [
      "the first reader of each data centre is cut off from the store",
      ({ cutRouters, firstReaders }) => {
        for (const { name } of firstReaders) cutRouters.add(name);
      },
    ],
    [
      "a third of the routers are rejected by the store",
      ({ cutRouters, routers }) => {
        routers.filter((_, index) => index % 3 === 0).forEach(({ name }) => cutRouters.add(name));
      },
    ],
    [
      "all readers are rejected by the store",
      ({ cutRouters, routers }) => {
        routers.filter(({ peers }) => peers.isStoreReader()).forEach(({ name }) => cutRouters.add(name));
      },
    ],
    [
      "every third datagram is lost",
      ({ network }) => {
        network.loseEveryNth = 3;
      },
    ],
  ];

  // Guards the bounds where records arrive by datagrams instead of each router's own read.
  for (const [name, cause] of faults) {
    it(`a configuration is in force and a draining replica known in time while ${name}`, async (context) => {
      const system = await start();
      cause(system);
      const configuration = await publishConfiguration(system, 2);
      const draining = await drainReplica(system, "engine-0");
      const again = await publishConfiguration(system, 3);
      context.diagnostic(`configuration ${configuration} ms and ${again} ms, draining ${draining} ms`);
      expect(Math.max(configuration, again)).toBeLessThan(configurationBound);
      expect(draining <= bounds.drain).toEqual(true);
    });
  }
});
