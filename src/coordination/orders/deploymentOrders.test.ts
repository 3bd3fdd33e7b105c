import { describe, it } from "node:test";
import { expect } from "earl";
import { model, initialWeights, startRollOutSystem } from "../../../tests/support/rollOutSystem.ts";
import type { RollOutSystem } from "../../../tests/support/rollOutSystem.ts";
import type { EngineStandIn } from "../../../standIns/engine/types.ts";

const newWeights = "2026-06";

const isServing = (engine: EngineStandIn, weightsVersion: string): boolean => {
  const load = engine.load();
  return load.weightsVersion === weightsVersion && !load.leaving;
};

const allServe = (system: RollOutSystem, weightsVersion: string) => (): boolean =>
  system.engines.every((engine) => isServing(engine, weightsVersion));

const isHolding =
  ({ orders }: { readonly orders: ReturnType<RollOutSystem["startHolder"]>["orders"] }) =>
  (): boolean =>
    orders.rollOuts().some(({ holding }) => holding);

/** Publishes the old weights, starts a lease holder, and waits until it holds the lease. */
const startHolding = async (system: RollOutSystem, name = "first") => {
  system.publish(initialWeights);
  const holder = system.startHolder(name);
  await system.until(isHolding(holder));
  return holder;
};

const kindsOf = (engine: EngineStandIn): readonly string[] =>
  engine
    .orders()
    .filter(({ outcome }) => outcome === "done")
    .map(({ kind }) => kind);

/** @returns The kinds of the orders that an engine executed, grouped by fencing number from the lowest. */
const ordersByTenure = (engine: EngineStandIn): readonly (readonly string[])[] => {
  const done = engine.orders().filter(({ outcome }) => outcome === "done");
  const numbers = [...new Set(done.map(({ fencingNumber }) => fencingNumber))];
  return numbers
    .sort((left, right) => left - right)
    .map((number) => done.filter(({ fencingNumber }) => fencingNumber === number).map(({ kind }) => kind));
};

const sendCompletion = (engine: EngineStandIn): Promise<Response> =>
  fetch(`${engine.url}/v1/completions`, {
    method: "POST",
    body: JSON.stringify({ model, prompt: "Rules.", stream: true, ignore_eos: true, max_tokens: 20 }),
  });

describe("orders of a deployment", () => {
  it("change every engine with at most two simultaneous loads while three quarters keep serving", async () => {
    for (const { engines, required, loads } of [
      { engines: 4, required: 3, loads: 1 },
      { engines: 12, required: 10, loads: 2 },
    ]) {
      await using system = await startRollOutSystem({ engines, loadMilliseconds: 20 });
      await startHolding(system);
      let minServing = engines;
      system.publish(newWeights);
      await system.until(() => {
        minServing = Math.min(minServing, system.engines.filter((engine) => !engine.load().leaving).length);
        return allServe(system, newWeights)();
      });
      expect(allServe(system, newWeights)()).toEqual(true);
      expect(minServing >= required).toEqual(true);
      expect(system.weightStore.mostSimultaneousLoads()).toEqual(loads);
      const [first] = system.engines;
      if (first === undefined) throw new Error("no engine");
      const [tenure, ...later] = ordersByTenure(first);
      expect(tenure).toEqual(["set_role", "drain", "load_weights", "admit"]);
      // A holder that got no CPU for longer than its lease starts a new tenure, which may only raise the fencing
      // number.
      for (const kinds of later) expect(kinds).toEqual(["set_role"]);
    }
  });

  it("cut off no running request", async () => {
    await using system = await startRollOutSystem({ engineSettings: { tokenMilliseconds: 10 } });
    await startHolding(system);
    const answers = await Promise.all(system.engines.map(sendCompletion));
    system.publish(newWeights);
    const texts = await Promise.all(answers.map((answer) => answer.text()));
    await system.until(allServe(system, newWeights));
    expect(allServe(system, newWeights)()).toEqual(true);
    expect(texts.every((text) => text.includes("[DONE]"))).toEqual(true);
    const states = system.engines.flatMap((engine) => engine.executions().map(({ state }) => state));
    expect(states).toEqual(system.engines.map(() => "finished"));
  });

  it("load the adapters in the configuration", async () => {
    await using system = await startRollOutSystem({ engines: 2 });
    await startHolding(system);
    system.publish(initialWeights, [{ name: "first-aid", version: "3" }]);
    const loaded = (engine: EngineStandIn): boolean => engine.load().adapters.includes("first-aid@3");
    await system.until(() => system.engines.every(loaded) && allServe(system, initialWeights)());
    expect(system.engines.map((engine) => engine.load().adapters)).toEqual([
      ["first-aid@3"],
      ["first-aid@3"],
    ]);
  });

  it("continue after an engine crashed while loading", async () => {
    await using system = await startRollOutSystem({ loadMilliseconds: 150 });
    await startHolding(system);
    system.publish(newWeights);
    await system.until(() => system.weightStore.state().loading !== 0);
    for (const engine of system.engines.filter((item) => item.load().leaving)) engine.crash();
    await system.until(allServe(system, newWeights));
    expect(allServe(system, newWeights)()).toEqual(true);
  });

  it("are continued by the next holder without exceeding two simultaneous loads together with the previous one", async () => {
    await using system = await startRollOutSystem({ engines: 8, loadMilliseconds: 150 });
    const first = await startHolding(system);
    const second = system.startHolder("second");
    system.publish(newWeights);
    await system.until(() => system.engines.some((engine) => isServing(engine, newWeights)));
    await first.disconnectFromLog();
    await system.until(isHolding(second));
    const numbers = [first, second].map(({ orders }) => orders.rollOuts()[0]?.fencingNumber ?? -1);
    await first[Symbol.asyncDispose]();
    await system.until(allServe(system, newWeights));
    expect(allServe(system, newWeights)()).toEqual(true);
    expect(system.weightStore.mostSimultaneousLoads() <= 2).toEqual(true);
    expect(numbers[0]).toEqual(-1);
    expect((numbers[1] ?? -1) > 0).toEqual(true);
  });

  it("follow a newer configuration in the middle of a roll-out", async () => {
    await using system = await startRollOutSystem({ loadMilliseconds: 20 });
    await startHolding(system);
    system.publish(newWeights);
    await system.until(() => system.engines.some((engine) => engine.load().weightsVersion === newWeights));
    system.publish("2026-07");
    await system.until(allServe(system, "2026-07"));
    expect(allServe(system, "2026-07")()).toEqual(true);
  });

  it("are executed once even if their answers are lost", async () => {
    await using system = await startRollOutSystem({ engines: 2 });
    await startHolding(system);
    await system.until(() => system.engines.every((engine) => kindsOf(engine).includes("set_role")));
    for (const engine of system.engines) engine.faults.loseAnswers = 3;
    system.publish(newWeights);
    await system.until(allServe(system, newWeights));
    expect(allServe(system, newWeights)()).toEqual(true);
    const loads = system.engines.map((engine) => kindsOf(engine).filter((kind) => kind === "load_weights"));
    expect(loads.map(({ length }) => length)).toEqual([1, 1]);
  });

  it("keep engines serving their old weights during an outage of the weight store", async () => {
    await using system = await startRollOutSystem({ engines: 2 });
    await startHolding(system);
    system.weightStore.faults.outage = true;
    system.publish(newWeights);
    await system.until(() => system.engines.some((engine) => kindsOf(engine).includes("admit")));
    await system.until(allServe(system, initialWeights));
    expect(allServe(system, initialWeights)()).toEqual(true);
    system.weightStore.faults.outage = false;
    await system.until(allServe(system, newWeights));
    expect(allServe(system, newWeights)()).toEqual(true);
  });

  it("never admit an engine that leaves by its own report or the platform's list", async () => {
    await using system = await startRollOutSystem({ engines: 6 });
    const [selfLeaving, listedLeaving, ...others] = system.engines;
    if (selfLeaving === undefined || listedLeaving === undefined) return;
    selfLeaving.faults.leaving = true;
    system.markLeaving(listedLeaving);
    await startHolding(system);
    system.publish(newWeights);
    await system.until(() => others.every((engine) => isServing(engine, newWeights)));
    expect(others.map((engine) => engine.load().weightsVersion)).toEqual(others.map(() => newWeights));
    expect(kindsOf(selfLeaving)).toEqual(["set_role"]);
    expect(kindsOf(listedLeaving)).toEqual([]);
    selfLeaving.faults.leaving = false;
    await system.until(() => isServing(selfLeaving, newWeights));
    expect(isServing(selfLeaving, newWeights)).toEqual(true);
  });

  it("make every engine refuse an earlier holder's orders, even if nothing has to be changed", async () => {
    await using system = await startRollOutSystem({ engines: 2 });
    const first = await startHolding(system);
    const before = first.orders.rollOuts()[0]?.fencingNumber ?? -1;
    await first[Symbol.asyncDispose]();
    const second = system.startHolder("second");
    await system.until(isHolding(second));
    const number = second.orders.rollOuts()[0]?.fencingNumber ?? -1;
    const hasSeen = (engine: EngineStandIn): boolean =>
      engine.orders().some(({ fencingNumber }) => fencingNumber === number);
    await system.until(() => system.engines.every(hasSeen));
    for (const engine of system.engines) {
      const { incarnation: ifIncarnation, weightsVersion: ifWeightsVersion } = engine.load();
      const action = { kind: "load_weights", model, weightsVersion: "older" };
      const order = { id: "late", fencingNumber: before, ifIncarnation, ifWeightsVersion, action };
      await fetch(`${engine.url}/orders`, { method: "POST", body: JSON.stringify(order) });
    }
    expect(system.engines.map((engine) => engine.orders().at(-1)?.outcome)).toEqual([
      "stale_fencing",
      "stale_fencing",
    ]);
  });
});
