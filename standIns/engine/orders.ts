/** Carries out orders at the engine stand-in, one after the other. */
import { request } from "undici";
import { z } from "zod";
import type { EngineOrder, EngineOrderAction } from "../../src/protocol/types.ts";
import { refusal, RefusalError } from "../errors.ts";
import { pause } from "../waiting.ts";
import type { BlockCache } from "./blockCache.ts";
import { blockSeed } from "./generation.ts";
import { hashBlocks } from "./text.ts";
import type { EngineSettings, OrderRecord } from "./types.ts";

const actionSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("load_weights"), model: z.string(), weightsVersion: z.string() }),
  z.strictObject({ kind: z.literal("load_adapter"), adapter: z.string(), version: z.string() }),
  z.strictObject({ kind: z.literal("set_role"), role: z.string() }),
  z.strictObject({ kind: z.literal("drain") }),
  z.strictObject({ kind: z.literal("admit") }),
  z.strictObject({
    kind: z.literal("export_cache"),
    storeUrl: z.string(),
    cacheKey: z.string(),
    promptText: z.string(),
    cacheSalt: z.string(),
  }),
  z.strictObject({ kind: z.literal("import_cache"), storeUrl: z.string(), cacheKey: z.string() }),
]);

/** The wire form of an order. */
export const orderSchema = z.strictObject({
  id: z.string(),
  fencingNumber: z.number().int(),
  ifIncarnation: z.string(),
  ifWeightsVersion: z.string(),
  action: actionSchema,
});

const cacheSchema = z.strictObject({
  model: z.string(),
  weightsVersion: z.string(),
  blocks: z.array(z.string()),
});

/** What orders change of an engine. */
export interface EngineState {
  incarnation: string;
  model: string;
  weightsVersion: string;
  adapters: readonly string[];
  role: string;
  drained: boolean;
  loading: boolean;
  highestFencingNumber: number;
}

/** The engine as orders meet it. */
export interface OrderDependencies {
  readonly settings: EngineSettings;
  readonly condition: EngineState;
  readonly cache: () => BlockCache;
  readonly closed: AbortSignal;
  /** Breaks off all answers, as loading weights does. */
  readonly abortAnswers: () => void;
  /** Called after each change of {@link OrderDependencies.condition}. */
  readonly changed: () => void;
}

const callStore = async (url: string, method: "GET" | "PUT", body?: string): Promise<string> => {
  try {
    const answer = await request(url, { method, ...(body === undefined ? {} : { body }) });
    const text = await answer.body.text();
    if (answer.statusCode === 200) return text;
  } catch {
    // Treated like a store that answers with an error.
  }
  throw refusal(503, "store_unavailable");
};

const cacheUrl = (storeUrl: string, cacheKey: string): string =>
  `${storeUrl}/caches/${encodeURIComponent(cacheKey)}`;

type ActionOf<Kind extends EngineOrderAction["kind"]> = Extract<EngineOrderAction, { kind: Kind }>;

/** Takes the orders of one engine. */
export interface OrderExecutor {
  /** Carries out one order, or throws a {@link RefusalError}. */
  readonly execute: (order: EngineOrder) => Promise<void>;
  /** Every order taken, with what came of it. */
  readonly records: readonly OrderRecord[];
}

/** Creates an {@link OrderExecutor}. */
export const createOrderExecutor = (host: OrderDependencies): OrderExecutor => {
  const { settings, condition } = host;
  const records: OrderRecord[] = [];
  let previous = Promise.resolve();

  /** Throws if the engine crashed since: what an order began is lost with the rest. */
  const checkAlive = (incarnation: string): void => {
    if (condition.incarnation !== incarnation) throw refusal(503, "crashed");
  };

  const loadWeights = async ({ model, weightsVersion }: ActionOf<"load_weights">): Promise<void> => {
    const { incarnation } = condition;
    condition.loading = true;
    host.abortAnswers();
    host.changed();
    try {
      const path = `/weights/${encodeURIComponent(model)}/${encodeURIComponent(weightsVersion)}`;
      if (settings.weightStoreUrl !== undefined) await callStore(settings.weightStoreUrl + path, "GET");
      await pause(settings.loadMilliseconds, host.closed);
      checkAlive(incarnation);
      host.cache().clear();
      if (model !== condition.model) condition.adapters = [];
      Object.assign(condition, { model, weightsVersion });
    } finally {
      if (condition.incarnation === incarnation) condition.loading = false;
    }
  };

  const loadAdapter = ({ adapter, version }: ActionOf<"load_adapter">): void => {
    const others = condition.adapters.filter((loaded) => !loaded.startsWith(`${adapter}@`));
    condition.adapters = [...others, `${adapter}@${version}`];
  };

  const transfer = (blocks: number): Promise<void> =>
    pause((blocks * settings.transferMicrosecondsPerBlock) / 1000, host.closed);

  const exportCache = async (action: ActionOf<"export_cache">): Promise<void> => {
    const { model, weightsVersion } = condition;
    const all = hashBlocks(blockSeed(action.cacheSalt, model, weightsVersion), action.promptText);
    const blocks = all.slice(0, host.cache().match(all));
    await transfer(blocks.length);
    const body = JSON.stringify({ model, weightsVersion, blocks });
    await callStore(cacheUrl(action.storeUrl, action.cacheKey), "PUT", body);
  };

  const importCache = async (action: ActionOf<"import_cache">): Promise<void> => {
    const { incarnation } = condition;
    const text = await callStore(cacheUrl(action.storeUrl, action.cacheKey), "GET");
    const { model, weightsVersion, blocks } = cacheSchema.parse(JSON.parse(text));
    await transfer(blocks.length);
    checkAlive(incarnation);
    if (model !== condition.model || weightsVersion !== condition.weightsVersion) {
      throw refusal(409, "condition_failed");
    }
    host.cache().store(blocks);
  };

  const carryOut = async (action: EngineOrderAction): Promise<void> => {
    switch (action.kind) {
      case "load_weights":
        return loadWeights(action);
      case "load_adapter":
        loadAdapter(action);
        return;
      case "set_role":
        condition.role = action.role;
        return;
      case "drain":
        condition.drained = true;
        return;
      case "admit":
        condition.drained = false;
        return;
      case "export_cache":
        return exportCache(action);
      case "import_cache":
        return importCache(action);
    }
  };

  const check = ({ fencingNumber, ifIncarnation, ifWeightsVersion }: EngineOrder): void => {
    if (settings.fencing === "checked" && fencingNumber < condition.highestFencingNumber) {
      throw refusal(409, "stale_fencing", true);
    }
    condition.highestFencingNumber = Math.max(condition.highestFencingNumber, fencingNumber);
    if (ifIncarnation !== condition.incarnation || ifWeightsVersion !== condition.weightsVersion) {
      throw refusal(409, "condition_failed", true);
    }
  };

  const takeNext = async (order: EngineOrder): Promise<void> => {
    const { id, fencingNumber, action } = order;
    let outcome = "failed";
    try {
      check(order);
      await carryOut(action);
      outcome = "done";
    } catch (error) {
      if (error instanceof RefusalError) outcome = error.code;
      throw error;
    } finally {
      records.push({ id, kind: action.kind, fencingNumber, outcome });
      host.changed();
    }
  };

  const take = (order: EngineOrder): Promise<void> => {
    const taken = previous.then(() => takeNext(order));
    previous = taken.catch(() => undefined);
    return taken;
  };
  return { execute: take, records };
};
