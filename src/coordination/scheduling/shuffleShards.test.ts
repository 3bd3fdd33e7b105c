import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { hash64 } from "../../protocol/prefixLevels.ts";
import type { ListedVm } from "../../protocol/types.ts";
import { createEngineDirectory } from "../../state/engineDirectory.ts";
import { createSchedulingFixture, poolName } from "../../../tests/support/schedulingFixture.ts";
import { createShuffleShards, highestRanked } from "./shuffleShards.ts";

const standings = { noto: 8, ragusa: 4, cefalu: 2, messina: 1, siracusa: 1 };
const { index } = createSchedulingFixture({ standings });

const listedVms = (numbers: readonly number[]): readonly ListedVm[] =>
  numbers.map((number) => ({
    id: `engine-${number}`,
    dataCentre: "a",
    url: `http://engine-${number}`,
    role: "engine",
    pool: poolName,
    state: "live",
  }));

const createShards = (numbers: readonly number[]) => {
  const directory = createEngineDirectory();
  directory.applyVms(listedVms(numbers));
  return createShuffleShards(directory, () => index);
};

const shardIds = (shards: ReturnType<typeof createShards>, name: string): readonly string[] => {
  const organisation = index.organisations.get(name);
  if (organisation === undefined) return [];
  return shards
    .shardOf(organisation, [poolName])
    .members.map(({ id }) => id)
    .sort();
};

const engineNumbers = fc.uniqueArray(fc.nat(99), { minLength: 1, maxLength: 40 });
const key = fc.nat().map((number) => hash64(String(number)).toString(16).padStart(16, "0"));

describe("createShuffleShards", () => {
  it("computes the same shards at all routers, regardless of query order and of the order of the VM list", () => {
    const property = fc.property(engineNumbers, (numbers) => {
      const here = createShards(numbers);
      const there = createShards([...numbers].reverse());
      const names = Object.keys(standings);
      const shardsHere = names.map((name) => shardIds(here, name));
      const shardsThere = [...names].reverse().map((name) => shardIds(there, name));
      expect(shardsThere.reverse()).toEqual(shardsHere);
    });
    fc.assert(property, { seed: 20261202 });
  });

  it("sizes shards by standing, and gives organisations of equal standing different shards", () => {
    const shards = createShards(Array.from({ length: 32 }, (_, number) => number));
    const sizes = Object.keys(standings).map((name) => shardIds(shards, name).length);
    expect(sizes).toEqual([32, 16, 8, 4, 4]);
    const [, , , first, second] = Object.keys(standings).map((name) => shardIds(shards, name));
    expect(first).not.toEqual(second);
  });
});

describe("highestRanked", () => {
  it("moves only the prefixes of a removed engine", () => {
    const shards = createShards(Array.from({ length: 20 }, (_, number) => number));
    const [organisation] = index.organisations.values();
    if (organisation === undefined) throw new TypeError("no organisation");
    const { members } = shards.shardOf(organisation, [poolName]);
    const property = fc.property(
      key,
      fc.nat(19),
      fc.integer({ min: 1, max: 20 }),
      (prefix, removed, count) => {
        const all = highestRanked(members, undefined, prefix, members.length);
        const remaining = members.filter((member) => member !== members[removed]);
        const expected = all.filter((member) => member !== members[removed]).slice(0, count);
        expect(highestRanked(remaining, undefined, prefix, count)).toEqual(expected);
      },
    );
    fc.assert(property, { seed: 20261202 });
  });

  it("assigns prefixes to engines in proportion to their weights", () => {
    const shards = createShards([0, 1]);
    const [organisation] = index.organisations.values();
    if (organisation === undefined) throw new TypeError("no organisation");
    const { members } = shards.shardOf(organisation, [poolName]);
    let heavy = 0;
    for (let number = 0; number < 4_000; number += 1) {
      const prefix = hash64(`prefix ${number}`).toString(16).padStart(16, "0");
      const weightOf = ({ id }: { readonly id: string }): number => (id === "engine-0" ? 3 : 1);
      if (highestRanked(members, weightOf, prefix, 1)[0]?.id === "engine-0") heavy += 1;
    }
    expect(Math.abs(heavy / 4_000 - 0.75) < 0.03).toEqual(true);
  });
});
