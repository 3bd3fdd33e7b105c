/** Executes orders at the engine stand-in, one at a time. */
import { request } from "undici";
import { z } from "zod";
import type { EngineOrder, EngineOrderAction } from "../../src/protocol/types.ts";
import { refusal, RefusalError } from "../errors.ts";
import { pause } from "../waiting.ts";
import type { BlockCache } from "./blockCache.ts";
import { createBlockSeed } from "./generation.ts";
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

/** The body of `POST /orders`. */
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

/** The part of an engine's state that orders change. */
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

/** What executing orders uses of the engine. */
export interface OrderDependencies {
  readonly settings: EngineSettings;
  readonly state: EngineState;
  readonly cache: () => BlockCache;
  readonly closed: AbortSignal;
  /** Aborts all running answers; called before weights are loaded. */
  readonly abortAnswers: () => void;
  /** Called after each change of {@link OrderDependencies.state}. */
  readonly recordChange: () => void;
}

const callStore = async (url: string, method: "GET" | "PUT", body?: string): Promise<string> => {
  try {
    const answer = await request(url, { method, ...(body === undefined ? {} : { body }) });
    const text = await answer.body.text();
    if (answer.statusCode === 200) return text;
  } catch {
    // A connection failure is reported like an error answer of the store.
  }
  throw refusal(503, "store_unavailable");
};

const cacheUrl = (storeUrl: string, cacheKey: string): string =>
  `${storeUrl}/caches/${encodeURIComponent(cacheKey)}`;

type ActionOf<Kind extends EngineOrderAction["kind"]> = Extract<EngineOrderAction, { kind: Kind }>;

/** Executes the orders of one engine. */
export interface OrderExecutor {
  /** Executes an order after those before it; rejects with a {@link RefusalError} if the order fails. */
  readonly execute: (order: EngineOrder) => Promise<void>;
  /** Every order received, with its outcome. */
  readonly records: readonly OrderRecord[];
}

/** Creates the {@link OrderExecutor} of an engine. */
export const createOrderExecutor = (dependencies: OrderDependencies): OrderExecutor => {
  const { settings, state } = dependencies;
  const records: OrderRecord[] = [];
  let previous = Promise.resolve();

  /** Throws if the engine has crashed since the order started: a crash discards the work of its orders. */
  const checkNotCrashed = (incarnation: string): void => {
    if (state.incarnation !== incarnation) throw refusal(503, "crashed");
  };

  const loadWeights = async ({ model, weightsVersion }: ActionOf<"load_weights">): Promise<void> => {
    const { incarnation } = state;
    state.loading = true;
    dependencies.abortAnswers();
    dependencies.recordChange();
    try {
      const path = `/weights/${encodeURIComponent(model)}/${encodeURIComponent(weightsVersion)}`;
      if (settings.weightStoreUrl !== undefined) await callStore(settings.weightStoreUrl + path, "GET");
      await pause(settings.loadMilliseconds, dependencies.closed);
      checkNotCrashed(incarnation);
      dependencies.cache().clear();
      if (model !== state.model) state.adapters = [];
      Object.assign(state, { model, weightsVersion });
    } finally {
      if (state.incarnation === incarnation) state.loading = false;
    }
  };

  const loadAdapter = ({ adapter, version }: ActionOf<"load_adapter">): void => {
    const others = state.adapters.filter((loaded) => !loaded.startsWith(`${adapter}@`));
    state.adapters = [...others, `${adapter}@${version}`];
  };

  const transfer = (blocks: number): Promise<void> =>
    pause((blocks * settings.transferMicrosecondsPerBlock) / 1000, dependencies.closed);

  const exportCache = async (action: ActionOf<"export_cache">): Promise<void> => {
    const { model, weightsVersion } = state;
    const all = hashBlocks(createBlockSeed(action.cacheSalt, model, weightsVersion), action.promptText);
    const blocks = all.slice(0, dependencies.cache().match(all));
    await transfer(blocks.length);
    const body = JSON.stringify({ model, weightsVersion, blocks });
    await callStore(cacheUrl(action.storeUrl, action.cacheKey), "PUT", body);
  };

  const importCache = async (action: ActionOf<"import_cache">): Promise<void> => {
    const { incarnation } = state;
    const text = await callStore(cacheUrl(action.storeUrl, action.cacheKey), "GET");
    const { model, weightsVersion, blocks } = cacheSchema.parse(JSON.parse(text));
    await transfer(blocks.length);
    checkNotCrashed(incarnation);
    if (model !== state.model || weightsVersion !== state.weightsVersion) {
      throw refusal(409, "condition_failed");
    }
    dependencies.cache().store(blocks);
  };

  const executeAction = async (action: EngineOrderAction): Promise<void> => {
    switch (action.kind) {
      case "load_weights":
        return loadWeights(action);
      case "load_adapter":
        loadAdapter(action);
        return;
      case "set_role":
        state.role = action.role;
        return;
      case "drain":
        state.drained = true;
        return;
      case "admit":
        state.drained = false;
        return;
      case "export_cache":
        return exportCache(action);
      case "import_cache":
        return importCache(action);
    }
  };

  const checkPreconditions = ({ fencingNumber, ifIncarnation, ifWeightsVersion }: EngineOrder): void => {
    if (settings.fencing === "checked" && fencingNumber < state.highestFencingNumber) {
      throw refusal(409, "stale_fencing", true);
    }
    state.highestFencingNumber = Math.max(state.highestFencingNumber, fencingNumber);
    if (ifIncarnation !== state.incarnation || ifWeightsVersion !== state.weightsVersion) {
      throw refusal(409, "condition_failed", true);
    }
  };

  const executeNext = async (order: EngineOrder): Promise<void> => {
    const { id, fencingNumber, action } = order;
    let outcome = "failed";
    try {
      checkPreconditions(order);
      await executeAction(action);
      outcome = "done";
    } catch (error) {
      if (error instanceof RefusalError) outcome = error.code;
      throw error;
    } finally {
      records.push({ id, kind: action.kind, fencingNumber, outcome });
      dependencies.recordChange();
    }
  };

  const execute = (order: EngineOrder): Promise<void> => {
    const execution = previous.then(() => executeNext(order));
    previous = execution.catch(() => undefined);
    return execution;
  };
  return { execute, records };
};
