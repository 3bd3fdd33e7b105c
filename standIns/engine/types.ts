/** Settings, fault switches and records of the engine stand-in. */
import { z } from "zod";
import type { EngineLoad } from "../../src/protocol/types.ts";
import { commonFaults, commonSettings, milliseconds, type StandIn } from "../types.ts";

export const settingsSchema = z.strictObject({
  ...commonSettings,
  model: z.string().min(1).default("model"),
  weightsVersion: z.string().min(1).default("1"),
  adapters: z.array(z.string()).default([]),
  role: z.string().default("serve"),
  /** `checked` refuses a request without the header that names its organisation. */
  identity: z.enum(["checked", "ignored"]).default("ignored"),
  /** `checked` refuses an order whose fencing number is lower than the highest one received. */
  fencing: z.enum(["checked", "ignored"]).default("checked"),
  cacheBlocks: z.number().int().min(0).default(4096),
  /** Blocks that have been unused for this long are evicted. */
  evictAfterMilliseconds: milliseconds.default(600_000),
  prefillMicrosecondsPerToken: z.number().min(0).default(0),
  tokenMilliseconds: milliseconds.default(0),
  maximumRunning: z.number().int().min(1).default(16),
  maximumWaiting: z.number().int().min(0).default(64),
  /** How long a finished answer can still be resumed. */
  lingerMilliseconds: milliseconds.default(30_000),
  /** Average answer length in tokens if no limit ends it earlier; 0 never ends one. */
  averageTokens: z.number().int().min(0).default(40),
  /** Time to load weights, in addition to the weight store's own time. */
  loadMilliseconds: milliseconds.default(0),
  weightStoreUrl: z.string().optional(),
  /** Time to export or import one block, in addition to the store's own time. */
  transferMicrosecondsPerBlock: z.number().min(0).default(0),
  /** Seed of the random choice of cache events that are lost. */
  seed: z.number().int().default(1),
});
export type EngineStandInSettings = z.input<typeof settingsSchema>;
export type EngineSettings = z.output<typeof settingsSchema>;

const nextAnswers = z.number().int().min(0).default(0);
const afterTokens = z.number().int().min(0).nullable().default(null);

export const faultsSchema = z.strictObject({
  ...commonFaults,
  /** `GET /load` reports the load as it was this long ago. */
  loadLagMilliseconds: milliseconds.default(0),
  /** Cache events become visible this long after they happened. */
  eventDelayMilliseconds: milliseconds.default(0),
  /** Share of cache events that never become visible. */
  eventLossRatio: z.number().min(0).max(1).default(0),
  /** New requests are refused with `leaving`, and the load reports it. */
  leaving: z.boolean().default(false),
  /** The next N answers carry the id of another attempt. */
  crossAnswers: nextAnswers,
  /** The next N answers are not JSON. */
  garbage: nextAnswers,
  /** Each stream's connection is cut after this number of tokens. */
  closeEarlyAfterTokens: afterTokens,
  /** Streams have neither a length nor chunks; one that closes early ends in the ordinary way, inside an event. */
  unframed: z.boolean().default(false),
  /** Each stream stalls after this number of tokens. */
  stallAfterTokens: afterTokens,
  /** The engine crashes once a stream has sent this number of tokens; the switch is then reset. */
  dieAfterTokens: afterTokens,
});
export type EngineStandInFaults = z.output<typeof faultsSchema>;

/** State of an accepted request; `aborted` by a crash or by loading weights. */
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
  /** Number of prompt tokens that were computed, not taken from the cache. */
  readonly computedTokens: number;
  readonly completionTokens: number;
}

/** An order that the engine received; `outcome` is `done`, the code of its refusal, or `failed`. */
export interface OrderRecord {
  readonly id: string;
  readonly kind: string;
  readonly fencingNumber: number;
  readonly outcome: string;
}

/** A running stand-in of a model engine. */
export interface EngineStandIn extends StandIn<EngineStandInFaults> {
  /** Drops all connections and answers, and restarts at once as a new incarnation with an empty cache. */
  readonly crash: () => void;
  readonly executions: () => readonly Execution[];
  readonly orders: () => readonly OrderRecord[];
  /** The current load, without lag. */
  readonly load: () => EngineLoad;
}
