import { expect } from "earl";
import { describe, it } from "node:test";
import type { EngineOrder, EngineOrderAction } from "../../src/protocol/types.ts";
import { createKeyValueStoreStandIn, createWeightStoreStandIn } from "../stores.ts";
import { pollUntil } from "../waiting.ts";
import { createEngineStandIn } from "./engine.ts";
import type { EngineStandIn } from "./types.ts";

const prompt = "shared rules of the consortium ".repeat(20);

/** Sends an order for the engine's current incarnation and weights; returns `done` or the code of the refusal. */
const order = async (
  engine: EngineStandIn,
  action: EngineOrderAction,
  changes: Partial<EngineOrder> = {},
): Promise<string> => {
  const { incarnation: ifIncarnation, weightsVersion: ifWeightsVersion } = engine.load();
  const completeOrder = {
    id: "order",
    fencingNumber: 1,
    ifIncarnation,
    ifWeightsVersion,
    action,
    ...changes,
  };
  const answer = await fetch(`${engine.url}/orders`, { method: "POST", body: JSON.stringify(completeOrder) });
  if (answer.status === 200) return "done";
  return ((await answer.json()) as { readonly error: { readonly code: string } }).error.code;
};

const ask = async (
  engine: EngineStandIn,
): Promise<{ readonly status: number; readonly text?: string; readonly cached?: number }> => {
  const body = JSON.stringify({ model: "model", prompt, ignore_eos: true, max_tokens: 8 });
  const answer = await fetch(`${engine.url}/v1/completions`, { method: "POST", body });
  if (answer.status !== 200) return { status: answer.status };
  const { choices } = (await answer.json()) as { readonly choices: readonly { readonly text: string }[] };
  const cached = engine.executions().at(-1)?.cachedTokens ?? 0;
  return { status: 200, text: choices[0]?.text ?? "", cached };
};

const loadTwo = { kind: "load_weights", model: "model", weightsVersion: "2" } as const;

describe("engine stand-in: orders", () => {
  it("refuses a lower fencing number only if fencing is checked", async () => {
    for (const [fencing, outcome] of [
      ["checked", "stale_fencing"],
      ["ignored", "done"],
    ] as const) {
      await using engine = await createEngineStandIn({ fencing });
      expect(await order(engine, { kind: "drain" }, { fencingNumber: 5 })).toEqual("done");
      expect(await order(engine, { kind: "admit" }, { fencingNumber: 4 })).toEqual(outcome);
      expect(engine.orders().map((record) => record.outcome)).toEqual(["done", outcome]);
    }
  });

  it("refuses an order for another incarnation or other weights", async () => {
    await using engine = await createEngineStandIn();
    expect(await order(engine, loadTwo, { ifIncarnation: "another" })).toEqual("condition_failed");
    expect(await order(engine, loadTwo, { ifWeightsVersion: "0" })).toEqual("condition_failed");
    expect(engine.load().weightsVersion).toEqual("1");
  });

  it("clears the cache and changes answers after loading weights, within the same incarnation", async () => {
    await using engine = await createEngineStandIn();
    const before = await ask(engine);
    const { incarnation } = engine.load();
    expect(await order(engine, loadTwo)).toEqual("done");
    expect(engine.load().cachedTokens).toEqual(0);
    const after = await ask(engine);
    expect(after.text === before.text).toEqual(false);
    expect([engine.load().incarnation, engine.load().weightsVersion]).toEqual([incarnation, "2"]);
  });

  it("refuses new requests while drained", async () => {
    await using engine = await createEngineStandIn();
    await order(engine, { kind: "drain" });
    expect(await ask(engine)).toEqual({ status: 503 });
    expect(engine.load().leaving).toEqual(true);
    await order(engine, { kind: "admit" });
    expect((await ask(engine)).status).toEqual(200);
  });

  it("loads adapters and changes its role", async () => {
    await using engine = await createEngineStandIn({ adapters: ["course@1", "season@1"] });
    await order(engine, { kind: "load_adapter", adapter: "course", version: "2" });
    await order(engine, { kind: "set_role", role: "prefill" });
    expect(engine.load().adapters).toEqual(["season@1", "course@2"]);
    expect(engine.load().role).toEqual("prefill");
  });

  it("transfers a prompt's cached blocks only to an engine with the same weights", async () => {
    await using store = await createKeyValueStoreStandIn();
    await using first = await createEngineStandIn();
    await using second = await createEngineStandIn();
    await using newer = await createEngineStandIn({ weightsVersion: "2" });
    const where = { storeUrl: store.url, cacheKey: "rules" };
    await ask(first);
    const exported = { kind: "export_cache", ...where, promptText: prompt, cacheSalt: "" } as const;
    expect(await order(first, exported)).toEqual("done");
    expect(await order(second, { kind: "import_cache", ...where })).toEqual("done");
    expect((await ask(second)).cached).toEqual(144);
    expect(await order(newer, { kind: "import_cache", ...where })).toEqual("condition_failed");
  });

  it("loads weights from the weight store, which counts simultaneous loads", async () => {
    await using quick = await createWeightStoreStandIn();
    await using alone = await createEngineStandIn({ weightStoreUrl: quick.url });
    expect(await order(alone, loadTwo)).toEqual("done");
    expect(quick.state()).toEqual({ loads: 1, loading: 0, mostSimultaneousLoads: 1 });

    await using slow = await createWeightStoreStandIn({ loadMilliseconds: 60_000 });
    await using first = await createEngineStandIn({ weightStoreUrl: slow.url });
    await using second = await createEngineStandIn({ weightStoreUrl: slow.url });
    const loads = [first, second].map((engine) => order(engine, loadTwo));
    await pollUntil(() => slow.mostSimultaneousLoads() === 2, AbortSignal.timeout(10_000));
    expect(await ask(first)).toEqual({ status: 503 });
    await slow[Symbol.asyncDispose]();
    expect(await Promise.all(loads)).toEqual(["store_unavailable", "store_unavailable"]);
    expect((await ask(first)).status).toEqual(200);
  });
});
