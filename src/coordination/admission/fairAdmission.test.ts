import { describe, it } from "node:test";
import { expect } from "earl";
import type { Demand, ServiceOptions, ServiceRecord } from "../../../tests/support/contendedService.ts";
import { runService, shareInTime } from "../../../tests/support/contendedService.ts";

const names = ["a", "b", "c", "d", "e"];

/** A disturbance: the factor on an organisation's rate or on a route's, during a period in milliseconds. */
interface Surge {
  readonly of: string;
  readonly from: number;
  readonly until: number;
  readonly factor: number;
}

/** Five organisations that together use 60 % of the engines, or 70 % with long prompts. */
const demandsOf = (surges: readonly Surge[], hasLong = false): readonly Demand[] =>
  names.flatMap((organisation) =>
    (["urgent", "long"] as const).map((route) => {
      const usual = hasLong ? { urgent: 15, long: 2.5 } : { urgent: 24, long: 0 };
      return {
        organisation,
        route,
        rate: (at: number) =>
          surges
            .filter(
              ({ of, from, until }) => (of === organisation || of === route) && at >= from && at < until,
            )
            .reduce((rate, { factor }) => rate * factor, usual[route]),
      };
    }),
  );

const firstFlood = { from: 2_000, until: 6_000 } as const;
const secondFlood = { from: 9_000, until: 13_000 } as const;
const floods = [
  { of: "a", ...firstFlood, factor: 11 },
  { of: "b", ...secondFlood, factor: 7 },
  { of: "c", ...secondFlood, factor: 7 },
];

const seeds = [1, 22, 333];

type Counted = (record: ServiceRecord) => boolean;

/** Runs a service with several seeds. @returns Functions that average over them. */
const runSeeds = (options: Omit<ServiceOptions, "seed">) => {
  const runs = seeds.map((seed) => runService({ ...options, seed }));
  const average = (valueOf: (run: (typeof runs)[number]) => number): number =>
    runs.reduce((sum, run) => sum + valueOf(run), 0) / runs.length;
  return {
    records: runs.flatMap(({ records }) => records),
    inTime: (isCounted: Counted, { from, until }: { readonly from: number; readonly until: number }) =>
      average(({ records }) => shareInTime(records, isCounted, from, until)),
    used: (from: number, until: number) =>
      average(({ busy }) => busy.slice(from, until).reduce((sum, each) => sum + each, 0) / (until - from)),
  };
};

const isOther =
  (...flooding: readonly string[]): Counted =>
  ({ demand }) =>
    !flooding.includes(demand.organisation);

const isRoute =
  (route: Demand["route"]): Counted =>
  ({ demand }) =>
    demand.route === route;

const runFloods = (options: Partial<ServiceOptions>) => {
  const { records, inTime, used } = runSeeds({
    isFair: true,
    hasOwners: true,
    demands: demandsOf(floods),
    seconds: 18,
    ...options,
  });
  return {
    records,
    others: [inTime(isOther("a"), firstFlood), inTime(isOther("b", "c"), secondFlood)],
    used: Math.min(used(3, 6), used(10, 13)),
    after: inTime(() => true, { from: 16_000, until: 17_000 }),
  };
};

const expectServed = ({ others, used, after }: ReturnType<typeof runFloods>): void => {
  for (const share of others) expect(share).toBeGreaterThanOrEqual(0.95);
  expect(used).toBeGreaterThanOrEqual(0.8);
  expect(after).toBeGreaterThanOrEqual(0.99);
};

// Guards against a flood that fills every queue, so that all organisations are refused alike.
describe("fair admission while organisations flood", () => {
  it("serves the others, which the common limit alone does not", () => {
    expectServed(runFloods({}));
    expect(Math.max(...runFloods({ isFair: false }).others)).toBeLessThan(0.7);
  });

  it("serves the others where routers announce their work, up to a tenth of a second late", () => {
    expectServed(runFloods({ hasOwners: false }));
  });

  // The next owner gets reports of new requests at once, and of those that began before within a second.
  it("serves the others while the owners of half of the engines are lost", () => {
    const knownSince = (engine: number, at: number): number => {
      const lostAt = [3_000, 10_000].find((each) => at >= each && at < each + 1_000);
      return engine < 2 ? (lostAt ?? 0) : 0;
    };
    expectServed(runFloods({ knownSince }));
  });

  it("serves the others in a data centre that is cut off with half of the routers and engines", () => {
    const demands = demandsOf(floods).map((demand) => ({
      ...demand,
      rate: (at: number) => demand.rate(at) / 2,
    }));
    expectServed(runFloods({ demands, routers: 3, engines: 2 }));
  });

  it("serves the others at a router that has just started", () => {
    expectServed(runFloods({ startsAt: (router) => (router === 5 ? 3_000 : 0) }));
  });

  it("serves the others when three organisations flood in turn", () => {
    const turns = ["a", "b", "c"].map((of, index) => ({
      of,
      from: 2_000 + index * 3_000,
      until: 5_000 + index * 3_000,
      factor: 6,
    }));
    const { inTime } = runSeeds({ isFair: true, hasOwners: true, demands: demandsOf(turns), seconds: 13 });
    for (const { of, ...period } of turns) expect(inTime(isOther(of), period)).toBeGreaterThanOrEqual(0.95);
  });

  it("refuses nothing while an engine is idle, and asks every refused caller to return", () => {
    const refused = runFloods({}).records.filter(({ refusals }) => refusals > 0);
    expect(refused.length).toBeGreaterThan(1_000);
    expect(refused.filter(({ wasRefusedIdle }) => wasRefusedIdle).length).toEqual(0);
    expect(refused.every(({ lastTimeToReturn }) => lastTimeToReturn >= 100)).toEqual(true);
  });
});

// Guards against long prompts that were admitted before urgent ones and make them late: engines compute in order.
describe("fair admission while a request class bursts", () => {
  const burst = { from: 2_000, until: 7_000 } as const;
  const runBurst = (of: Demand["route"], factor: number, options: Partial<ServiceOptions> = {}) => {
    const demands = demandsOf([{ of, ...burst, factor }], true);
    const { inTime } = runSeeds({ isFair: true, hasOwners: true, demands, seconds: 10, ...options });
    return { urgent: inTime(isRoute("urgent"), burst), long: inTime(isRoute("long"), burst) };
  };

  it("serves urgent requests no less often than others during a burst of either", () => {
    for (const [of, factor] of [
      ["long", 2.5],
      ["urgent", 1.9],
    ] as const) {
      const { urgent, long } = runBurst(of, factor);
      expect(urgent).toBeGreaterThanOrEqual(long - 0.05);
      expect(urgent).toBeGreaterThanOrEqual(0.95);
    }
    const before = runBurst("long", 2.5, { isFair: false });
    expect(before.urgent).toBeLessThan(before.long - 0.05);
  });

  it("does the same while a quarter of the engines does not respond", () => {
    const isComputing = (engine: number, at: number): boolean => engine !== 0 || at < 2_500 || at > 6_000;
    for (const [of, factor] of [
      ["long", 2.5],
      ["urgent", 1.9],
    ] as const) {
      const { urgent, long } = runBurst(of, factor, { isComputing });
      expect(urgent).toBeGreaterThanOrEqual(long - 0.05);
    }
  });
});

// Guards against requests that are served in the place of those that were refused before and return when asked.
describe("the order of return", () => {
  it("admits returning requests of a flooding organisation rather than its requests that never waited", () => {
    const { records } = runFloods({});
    const flood = records.filter(
      ({ demand, at }) => demand.organisation === "a" && at >= 2_500 && at < 6_000,
    );
    const returned = flood.filter(({ refusals }) => refusals > 0);
    const neverWaited = (flood.length - returned.length) / flood.length;
    const admitted = returned.filter(({ firstTokenAfter }) => firstTokenAfter !== undefined);
    expect(admitted.length / returned.length).toBeGreaterThan(2 * neverWaited);
  });
});
