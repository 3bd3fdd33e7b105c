import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import type { EngineLoad, ListedVm } from "../protocol/types.ts";
import { computePrefixLevels } from "../protocol/prefixLevels.ts";
import { createCacheModel } from "./cacheModel.ts";
import type { EngineStamp } from "./cacheModel.ts";
import { createEngineDirectory } from "./engineDirectory.ts";

const limits = { maximumLevels: 4, maximumEnginesPerLevel: 2 };
const engineIds = ["engine-0", "engine-1", "engine-2"];
const engine = fc.constantFrom(...engineIds);
const generation = fc.integer({ min: 0, max: 2 });
const key = fc.constantFrom("k0", "k1", "k2", "k3", "k4", "k5");

/** `lag` lets a report, an answer or a note come out of order or twice. */
const step = fc.oneof(
  fc.record({
    kind: fc.constant("report" as const),
    engine,
    incarnation: generation,
    weights: generation,
    lag: fc.nat(3),
  }),
  fc.record({ kind: fc.constant("dispatch" as const), engine }),
  fc.record({ kind: fc.constant("answer" as const), dispatch: fc.nat(30), key, incarnation: generation }),
  fc.record({ kind: fc.constant("leave" as const), engine }),
  fc.record({ kind: fc.constant("fail" as const), engine }),
);
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

const loadOf = (incarnation: number, weights: number): EngineLoad => ({
  incarnation: `incarnation-${incarnation}`,
  model: "modelli",
  weightsVersion: `weights-${weights}`,
  adapters: [],
  role: "serving",
  running: 0,
  waiting: 0,
  pendingPromptTokens: 0,
  cachedTokens: 0,
  leaving: false,
});

const listed = (ids: readonly string[]): readonly ListedVm[] =>
  ids.map((id) => ({ id, dataCentre: "a", url: `http://${id}`, role: "engine", pool: "p", state: "live" }));

/** A picture beside a record of what each engine was last known to be, and since when without a break. */
const createWorld = () => {
  const directory = createEngineDirectory();
  directory.applyVms(listed(engineIds));
  const picture = createCacheModel(directory, limits);
  const dispatches: EngineStamp[] = [];
  /** For each engine, a number that changes with whatever must void its beliefs. */
  const lives = new Map(engineIds.map((id) => [id, { life: 0, identity: "" }]));
  const founded = new Map<string, number>();
  let now = 0;

  const lifeOf = (id: string): number => lives.get(id)?.life ?? -1;
  const endLife = (id: string, identity: string): void => {
    lives.set(id, { life: lifeOf(id) + 1, identity });
  };

  const noteIdentity = (id: string): void => {
    const load = directory.get(id)?.load;
    const identity = load === undefined ? "" : `${load.incarnation} ${load.weightsVersion}`;
    if (identity !== lives.get(id)?.identity) endLife(id, identity);
  };

  const answer = ({ dispatch, key: answered, incarnation }: Step & { kind: "answer" }): void => {
    const stamp = dispatches[dispatch];
    if (stamp === undefined) return;
    if (stamp.incarnation !== `incarnation-${incarnation}`) {
      picture.markRestarted(stamp, now);
      endLife(stamp.engineId, lives.get(stamp.engineId)?.identity ?? "");
      return;
    }
    picture.note([answered], stamp, now);
    const beliefs = picture.levelView(answered);
    if (picture.age(beliefs, stamp, now) === 0)
      founded.set(`${answered} ${stamp.engineId}`, lifeOf(stamp.engineId));
  };

  const run = (action: Step): void => {
    now += 1;
    switch (action.kind) {
      case "report": {
        directory.applyLoad(action.engine, loadOf(action.incarnation, action.weights), now - action.lag);
        noteIdentity(action.engine);
        return;
      }
      case "dispatch": {
        const replica = directory.get(action.engine);
        const stamp = replica === undefined ? undefined : picture.stampOf(replica);
        if (stamp !== undefined) dispatches.push(stamp);
        return;
      }
      case "answer": {
        answer(action);
        return;
      }
      case "leave": {
        directory.applyVms(listed(engineIds.filter((id) => id !== action.engine)));
        directory.applyVms(listed(engineIds));
        endLife(action.engine, "");
        return;
      }
      case "fail":
        directory.markFailed(action.engine, now);
    }
  };

  /** Every belief that a choice could rely on was founded in the engine's present life. */
  const check = (): void => {
    for (const id of engineIds) {
      const replica = directory.get(id);
      const stamp = replica === undefined ? undefined : picture.stampOf(replica);
      if (stamp === undefined) continue;
      expect(stamp.incarnation).toEqual(replica?.load?.incarnation ?? "");
      for (let index = 0; index < 6; index += 1) {
        const age = picture.age(picture.levelView(`k${index}`), stamp, now);
        if (age !== undefined) expect(founded.get(`k${index} ${id}`)).toEqual(lifeOf(id));
      }
    }
    expect(picture.size().levels).toBeLessThanOrEqual(limits.maximumLevels);
    expect(picture.size().beliefs).toBeLessThanOrEqual(limits.maximumLevels * limits.maximumEnginesPerLevel);
  };

  return { run, check };
};

describe("createCachePicture", () => {
  it("relies on no dead engine and no older weights, whatever comes late, twice or never", () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80, size: "max" }), (steps) => {
        const world = createWorld();
        for (const action of steps) {
          world.run(action);
          world.check();
        }
      }),
      { numRuns: 500, seed: 20261202 },
    );
  });

  it("trusts an engine again that answered as another incarnation only after a later report", () => {
    const directory = createEngineDirectory();
    directory.applyVms(listed(["engine-0"]));
    const picture = createCacheModel(directory, limits);
    directory.applyLoad("engine-0", loadOf(0, 0), 10);
    const replica = directory.get("engine-0");
    if (replica === undefined) throw new TypeError("no engine");
    const stamp = picture.stampOf(replica);
    if (stamp === undefined) throw new TypeError("no stamp");
    picture.note(["k0"], stamp, 11);
    expect(picture.age(picture.levelView("k0"), stamp, 12)).toEqual(1);
    picture.markRestarted(stamp, 20);
    expect(picture.stampOf(replica)).toEqual(undefined);
    directory.applyLoad("engine-0", loadOf(1, 0), 15);
    const later = picture.stampOf(replica);
    expect(later?.incarnation).toEqual("incarnation-1");
    if (later !== undefined) expect(picture.age(picture.levelView("k0"), later, 21)).toEqual(undefined);
  });

  it("is asked with keys that no other organisation, model, adapter or weights version has", () => {
    const name = fc.constantFrom("noto", "ragusa", "noto-ragusa");
    const scope = fc.record({
      organisation: name,
      model: fc.constantFrom("modelli", "banco"),
      adapter: fc.constantFrom(undefined, "trim", "trim:2"),
      weightsVersion: fc.constantFrom("1", "2"),
    });
    const property = fc.property(scope, scope, fc.string(), (left, right, text) => {
      fc.pre(JSON.stringify(left) !== JSON.stringify(right));
      expect(computePrefixLevels(left, [text])[0]?.key).not.toEqual(
        computePrefixLevels(right, [text])[0]?.key,
      );
    });
    fc.assert(property, { seed: 20261202 });
  });
});
