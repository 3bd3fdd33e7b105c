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

/** `lag` and `dispatch` let reports and responses arrive late, twice or out of order. */
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

/** A model, with a reference of each engine's identity and of the lifetime in which each entry was noted. */
const createWorld = () => {
  const directory = createEngineDirectory();
  directory.applyVms(listed(engineIds));
  const model = createCacheModel(directory, limits);
  const dispatches: EngineStamp[] = [];
  /** By engine: a number that changes with every event that must invalidate its entries. */
  const lifetimes = new Map(engineIds.map((id) => [id, { lifetime: 0, identity: "" }]));
  const notedInLifetime = new Map<string, number>();
  let now = 0;

  const lifetimeOf = (id: string): number => lifetimes.get(id)?.lifetime ?? -1;
  const endLifetime = (id: string, identity: string): void => {
    lifetimes.set(id, { lifetime: lifetimeOf(id) + 1, identity });
  };

  const recordIdentity = (id: string): void => {
    const load = directory.get(id)?.load;
    const identity = load === undefined ? "" : `${load.incarnation} ${load.weightsVersion}`;
    if (identity !== lifetimes.get(id)?.identity) endLifetime(id, identity);
  };

  const answer = ({ dispatch, key, incarnation }: Step & { kind: "answer" }): void => {
    const stamp = dispatches[dispatch];
    if (stamp === undefined) return;
    if (stamp.incarnation !== `incarnation-${incarnation}`) {
      model.markRestarted(stamp, now);
      endLifetime(stamp.engineId, lifetimes.get(stamp.engineId)?.identity ?? "");
      return;
    }
    model.note([key], stamp, now);
    const view = model.levelView(key);
    if (model.age(view, stamp, now) === 0)
      notedInLifetime.set(`${key} ${stamp.engineId}`, lifetimeOf(stamp.engineId));
  };

  const run = (currentStep: Step): void => {
    now += 1;
    switch (currentStep.kind) {
      case "report": {
        directory.applyLoad(
          currentStep.engine,
          loadOf(currentStep.incarnation, currentStep.weights),
          now - currentStep.lag,
        );
        recordIdentity(currentStep.engine);
        return;
      }
      case "dispatch": {
        const replica = directory.get(currentStep.engine);
        const stamp = replica === undefined ? undefined : model.stampOf(replica);
        if (stamp !== undefined) dispatches.push(stamp);
        return;
      }
      case "answer": {
        answer(currentStep);
        return;
      }
      case "leave": {
        directory.applyVms(listed(engineIds.filter((id) => id !== currentStep.engine)));
        directory.applyVms(listed(engineIds));
        endLifetime(currentStep.engine, "");
        return;
      }
      case "fail":
        directory.markFailed(currentStep.engine, now);
    }
  };

  /** Checks that every valid entry was noted in the current lifetime of its engine. */
  const check = (): void => {
    for (const id of engineIds) {
      const replica = directory.get(id);
      const stamp = replica === undefined ? undefined : model.stampOf(replica);
      if (stamp === undefined) continue;
      expect(stamp.incarnation).toEqual(replica?.load?.incarnation ?? "");
      for (let index = 0; index < 6; index += 1) {
        const age = model.age(model.levelView(`k${index}`), stamp, now);
        if (age !== undefined) expect(notedInLifetime.get(`k${index} ${id}`)).toEqual(lifetimeOf(id));
      }
    }
    expect(model.size().levels).toBeLessThanOrEqual(limits.maximumLevels);
    expect(model.size().beliefs).toBeLessThanOrEqual(limits.maximumLevels * limits.maximumEnginesPerLevel);
  };

  return { run, check };
};

describe("createCacheModel", () => {
  it("has no valid entry of an earlier incarnation or of older weights, when events are late, repeated or lost", () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80, size: "max" }), (steps) => {
        const world = createWorld();
        for (const currentStep of steps) {
          world.run(currentStep);
          world.check();
        }
      }),
      { numRuns: 500, seed: 20261202 },
    );
  });

  it("makes no stamp for an engine that answered as another incarnation until a later report", () => {
    const directory = createEngineDirectory();
    directory.applyVms(listed(["engine-0"]));
    const model = createCacheModel(directory, limits);
    directory.applyLoad("engine-0", loadOf(0, 0), 10);
    const replica = directory.get("engine-0");
    if (replica === undefined) throw new TypeError("no engine");
    const stamp = model.stampOf(replica);
    if (stamp === undefined) throw new TypeError("no stamp");
    model.note(["k0"], stamp, 11);
    expect(model.age(model.levelView("k0"), stamp, 12)).toEqual(1);
    model.markRestarted(stamp, 20);
    expect(model.stampOf(replica)).toEqual(undefined);
    directory.applyLoad("engine-0", loadOf(1, 0), 15);
    const later = model.stampOf(replica);
    expect(later?.incarnation).toEqual("incarnation-1");
    if (later !== undefined) expect(model.age(model.levelView("k0"), later, 21)).toEqual(undefined);
  });

  it("uses keys that differ between organisations, models, adapters and weights versions", () => {
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
