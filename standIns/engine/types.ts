/** Settings, faults and records of the engine stand-in. */
import { z } from "zod";
import type { EngineLoad } from "../../src/protocol/types.ts";
import { commonFaults, commonSettings, milliseconds, type StandIn } from "../types.ts";

export const settingsSchema = z.strictObject({
  ...commonSettings,
  model: z.string().min(1).default("model"),
  weightsVersion: z.string().min(1).default("1"),
  adapters: z.array(z.string()).default([]),
  role: z.string().default("serve"),
  /** Whether a call that does not say its organisation is refused. */
  identity: z.enum(["checked", "ignored"]).default("ignored"),
  /** Whether an order with an older fencing number than one seen is refused. */
  fencing: z.enum(["checked", "ignored"]).default("checked"),
  cacheBlocks: z.number().int().min(0).default(4096),
  /** Blocks unused for so long are evicted. */
  evictAfterMilliseconds: milliseconds.default(600_000),
  prefillMicrosecondsPerToken: z.number().min(0).default(0),
  tokenMilliseconds: milliseconds.default(0),
  maximumRunning: z.number().int().min(1).default(16),
  maximumWaiting: z.number().int().min(0).default(64),
  /** How long an answer that has ended can still be resumed. */
  lingerMilliseconds: milliseconds.default(30_000),
  /** Average length of an answer that nothing else ends; 0 never ends one. */
  averageTokens: z.number().int().min(0).default(40),
  /** Time that loading weights takes, besides the weight store's. */
  loadMilliseconds: milliseconds.default(0),
  weightStoreUrl: z.string().optional(),
  /** Time that exporting or importing one block takes, besides the store's. */
  transferMicrosecondsPerBlock: z.number().min(0).default(0),
  /** Seed of the losses of cache events. */
  seed: z.number().int().default(1),
});
export type EngineStandInSettings = z.input<typeof settingsSchema>;
export type EngineSettings = z.output<typeof settingsSchema>;

const nextAnswers = z.number().int().min(0).default(0);
const afterTokens = z.number().int().min(0).nullable().default(null);

export const faultsSchema = z.strictObject({
  ...commonFaults,
  /** `GET /load` tells what was true so long ago. */
  loadLagMilliseconds: milliseconds.default(0),
  /** Cache events are shown so long after they happened. */
  eventDelayMilliseconds: milliseconds.default(0),
  /** Share of cache events that are never shown. */
  eventLossRatio: z.number().min(0).max(1).default(0),
  /** New requests are refused as leaving, and the load says so. */
  leaving: z.boolean().default(false),
  /** The next N answers carry the id of another attempt. */
  crossAnswers: nextAnswers,
  /** The next N answers are not JSON. */
  garbage: nextAnswers,
  /** Each stream's connection is cut after so many tokens. */
  closeEarlyAfterTokens: afterTokens,
  /** Each stream falls silent after so many tokens. */
  stallAfterTokens: afterTokens,
  /** The engine crashes once a stream has so many tokens; then the switch is off again. */
  dieAfterTokens: afterTokens,
});
export type EngineStandInFaults = z.output<typeof faultsSchema>;

/** How a request that the engine accepted stands; `aborted` is by a crash or a load of weights. */
export type ExecutionState = "waiting" | "running" | "finished" | "cancelled" | "aborted";

/** A request that the engine accepted. */
export interface Execution {
  readonly attempt: string;
  readonly idempotencyKey: string | undefined;
  readonly organisation: string | undefined;
  readonly cacheSalt: string;
  readonly weightsVersion: string;
  readonly incarnation: string;
  readonly state: ExecutionState;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Prompt tokens computed. */
  readonly computedTokens: number;
  readonly completionTokens: number;
}

/** An order that the engine was given; `outcome` is `done` or the code of its refusal. */
export interface OrderRecord {
  readonly id: string;
  readonly kind: string;
  readonly fencingNumber: number;
  readonly outcome: string;
}

/** A running stand-in of a model engine. */
export interface EngineStandIn extends StandIn<EngineStandInFaults> {
  /** Drops all connections and answers and comes back at once, empty, as a new incarnation. */
  readonly crash: () => void;
  readonly executions: () => readonly Execution[];
  readonly orders: () => readonly OrderRecord[];
  /** The load as it is, with no lag. */
  readonly load: () => EngineLoad;
}
