import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { expect } from "earl";
import { readFile } from "node:fs/promises";
import { parseConfiguration } from "../../protocol/configuration/check.ts";
import { upstreamError } from "../../protocol/errors.ts";
import { ModelEngine } from "../../protocol/ModelEngine.ts";
import type { CacheEventPage, EngineAnswer, EngineLoad, EngineOrder } from "../../protocol/types.ts";
import { createEngineDirectory } from "../../state/engineDirectory.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import { createConfigurationIndex } from "../configurationIndex.ts";
import type { Tenure } from "../leases/types.ts";
import { createManualClock } from "../manualClock.ts";
import { createEngineSurvey } from "./engineLoadCache.ts";
import { createRollOut } from "./rollOut.ts";

const longestOrder = 15_000;

/** Takes orders at once, or refuses all of them as stale. */
class FakeEngine extends ModelEngine {
  readonly orders: EngineOrder[] = [];
  refusesAll = false;
  onRead = (): void => undefined;
  load: EngineLoad = {
    incarnation: "one",
    model: "modelli",
    weightsVersion: "old",
    adapters: [],
    role: "serve",
    running: 0,
    waiting: 0,
    pendingPromptTokens: 0,
    cachedTokens: 0,
    leaving: false,
  };

  override order(order: EngineOrder): Promise<void> {
    this.orders.push(order);
    if (this.refusesAll) return Promise.reject(upstreamError("old number", "stale_fencing", "refused"));
    const { action } = order;
    if (action.kind === "drain") this.load = { ...this.load, leaving: true };
    if (action.kind === "admit") this.load = { ...this.load, leaving: false };
    if (action.kind === "load_weights") this.load = { ...this.load, weightsVersion: action.weightsVersion };
    return Promise.resolve();
  }

  override readLoad(): Promise<EngineLoad> {
    this.onRead();
    return Promise.resolve(this.load);
  }

  override complete(): Promise<EngineAnswer> {
    return Promise.reject(upstreamError("not in this test", "failed", "not_sent"));
  }

  override resume(): Promise<EngineAnswer> {
    return this.complete();
  }

  override cancel(): Promise<void> {
    return Promise.resolve();
  }

  override readCacheEvents(): Promise<CacheEventPage> {
    return Promise.resolve({ incarnation: "one", events: [], nextSequence: 0 });
  }
}

/** A roll-out of the demo's Trinacria, whose engines are one fake. */
const createSubject = async (fencing: "checked" | "ignored") => {
  const file = "examples/demo.json";
  const configuration = parseConfiguration(await readFile(file, "utf8"), file);
  const enginePools = configuration.enginePools.map((pool) => ({ ...pool, fencing, longestOrder }));
  const index = createConfigurationIndex(0, { ...configuration, enginePools });
  const clock = createManualClock();
  const engine = new FakeEngine();
  const directory = createEngineDirectory();
  const vm = { id: "modelli-0", dataCentre: "catania-a", url: "http://127.0.0.1:1", pool: "modelli" };
  directory.applyVms([{ ...vm, role: "engine", state: "live" }]);
  const held = { valid: true };
  const tenure: Tenure = {
    fencingNumber: 7,
    followsRelease: false,
    beganAt: clock.monotonic(),
    isValid: () => held.valid,
    note: () => [],
    setNote: () => undefined,
    saveNote: () => Promise.resolve(held.valid),
  };
  const parts = {
    deployment: "trinacria",
    configuration: () => index,
    directory,
    clock,
    metrics: new MemoryMetrics(),
    connect: () => engine,
    isListedLeaving: () => false,
    interval: 10,
    loadTimeout: 1_000,
  };
  const rollOut = createRollOut(parts, createEngineSurvey(parts), tenure);
  const passAt = async (time: number): Promise<void> => {
    clock.advanceTo(time);
    await rollOut.pass();
    for (let turn = 0; turn < 50; turn += 1) await setImmediate();
  };
  return { engine, held, rollOut, passAt };
};

const kindsOf = (engine: FakeEngine): readonly string[] => engine.orders.map(({ action }) => action.kind);

describe("roll-out", () => {
  it("orders nothing of engines that don't check while the last holder's orders may still come", async () => {
    const { engine, rollOut, passAt } = await createSubject("ignored");
    await passAt(longestOrder - 1);
    expect(kindsOf(engine)).toEqual([]);
    await passAt(longestOrder);
    expect(kindsOf(engine)).toEqual(["drain", "load_weights", "admit"]);
    await rollOut[Symbol.asyncDispose]();
  });

  it("gives each order on condition of the incarnation and weights seen last", async () => {
    const { engine, rollOut, passAt } = await createSubject("checked");
    await passAt(0);
    expect(
      engine.orders.map(({ ifIncarnation, ifWeightsVersion }) => [ifIncarnation, ifWeightsVersion]),
    ).toEqual([
      ["one", "old"],
      ["one", "old"],
      ["one", "old"],
      ["one", "2026-05"],
    ]);
    expect(engine.orders.every(({ fencingNumber }) => fencingNumber === 7)).toEqual(true);
    await rollOut[Symbol.asyncDispose]();
  });

  it("stops between two orders when its lease is over", async () => {
    const { engine, held, rollOut, passAt } = await createSubject("checked");
    engine.load = { ...engine.load, running: 1 };
    await passAt(0);
    expect(kindsOf(engine)).toEqual(["set_role", "drain"]);
    held.valid = false;
    engine.load = { ...engine.load, running: 0 };
    await passAt(2_000);
    expect(kindsOf(engine)).toEqual(["set_role", "drain"]);
    await rollOut[Symbol.asyncDispose]();
  });

  it("gives no order after a pause between its look at the engine and the order", async () => {
    const { engine, held, rollOut, passAt } = await createSubject("checked");
    engine.onRead = () => {
      held.valid = false;
    };
    await passAt(0);
    expect(kindsOf(engine)).toEqual([]);
    held.valid = true;
    engine.onRead = () => {
      if (engine.orders.length === 2) held.valid = false;
    };
    await passAt(2_000);
    expect(kindsOf(engine)).toEqual(["set_role", "drain"]);
    await rollOut[Symbol.asyncDispose]();
  });

  it("stops for good once an engine has seen a newer holder", async () => {
    const { engine, rollOut, passAt } = await createSubject("checked");
    engine.refusesAll = true;
    await passAt(0);
    await passAt(2_000);
    expect(kindsOf(engine)).toEqual(["set_role"]);
    expect(rollOut.isSuperseded()).toEqual(true);
    await rollOut[Symbol.asyncDispose]();
  });
});
