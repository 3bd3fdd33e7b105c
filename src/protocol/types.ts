/** Data that several layers hand to one another. All of it is read-only. */
import type { ClassConfiguration, OrganisationConfiguration } from "./configuration/schema.ts";
import type { StoreEpoch } from "./storeEpoch.ts";

/** A VM as the platform lists it. */
export interface ListedVm {
  readonly id: string;
  readonly dataCentre: string;
  /** `http://IP:PORT` at which the VM serves. */
  readonly url: string;
  /** For routers: `http://IP:PORT` of the peer protocol. */
  readonly peerUrl?: string;
  readonly role: "router" | "engine" | "service" | "keyValueStore";
  /** The engine pool, service or KV store by its configured name; empty for routers. */
  readonly pool: string;
  readonly state: "live" | "leaving";
}

/** The end of a reusable part of a prompt. */
export interface PrefixLevel {
  /** Chained hash of all text up to here, salted with organisation, model, adapter and weights. */
  readonly key: string;
  /** Tokens up to here, estimated. */
  readonly tokens: number;
}

/** A model request as far as its body tells. */
export interface CompletionRequest {
  readonly kind: "chat" | "text";
  readonly model: string;
  readonly adapter: string | undefined;
  readonly stream: boolean;
  /** True if the caller asked for a usage chunk at the end of its stream. */
  readonly includeUsage: boolean;
  readonly maximumTokens: number;
  /** The parsed body as the caller sent it. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Prompt text in the order in which it is computed; each item ends at a reusable level. */
  readonly segments: readonly string[];
}

/** Who asks for what, once the configuration has been looked at. */
export interface RequestContext {
  readonly requestId: string;
  readonly organisation: OrganisationConfiguration;
  readonly requestClass: ClassConfiguration;
  readonly idempotent: boolean;
  readonly idempotencyKey: string | undefined;
  /** Milliseconds on the monotonic clock. */
  readonly arrivedAt: number;
  readonly firstTokenDeadline: number;
  readonly completionDeadline: number;
  readonly configurationVersion: number;
}

/** What an engine reports of itself. */
export interface EngineLoad {
  readonly incarnation: string;
  readonly model: string;
  readonly weightsVersion: string;
  readonly adapters: readonly string[];
  readonly role: string;
  readonly running: number;
  readonly waiting: number;
  /** Prompt tokens waiting to be computed, over all requests waiting and running. */
  readonly pendingPromptTokens: number;
  readonly cachedTokens: number;
  readonly leaving: boolean;
}

/** Token counts of an answer. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

/** One piece of a streamed answer; each piece with text counts as one token in offsets. */
export interface AnswerFrame {
  /** Text that the piece adds; may be empty. */
  readonly text: string;
  /** Other parts of the piece, such as tool calls, in the engine's words; an answer that has any of them
   * cannot be continued by another engine. */
  readonly extra: Readonly<Record<string, unknown>> | undefined;
  /** Set on the piece that ends the answer: `stop`, `length`, … */
  readonly finishReason: string | undefined;
  readonly usage: Usage | undefined;
}

/** An answer that an engine has begun. */
export interface EngineAnswer {
  readonly attempt: string;
  readonly incarnation: string;
  readonly weightsVersion: string;
  /** Pieces that arrived together come together. Throws `UpstreamError` where the stream breaks. */
  readonly frames: AsyncIterable<readonly AnswerFrame[]>;
}

/** A model call to one engine. */
export interface EngineCall {
  readonly attempt: string;
  readonly organisation: string;
  readonly request: CompletionRequest;
  /** Handed on so that an upstream that deduplicates by key can. */
  readonly idempotencyKey: string | undefined;
  readonly priority: number;
  /** Separates the caches of organisations within the engine. */
  readonly cacheSalt: string;
  /** Text already delivered to the caller; the engine continues after it. */
  readonly delivered: { readonly text: string; readonly tokens: number };
  /** Longest silence, milliseconds. */
  readonly stallTimeout: number;
}

/** Something that an engine's cache did. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted" | "cleared";
  /** The engine's own block hashes. */
  readonly blocks: readonly string[];
}

/** A page of an engine's cache events; a gap in `sequence` means that some were lost. */
export interface CacheEventPage {
  readonly incarnation: string;
  readonly events: readonly CacheEvent[];
  readonly nextSequence: number;
}

/** What an engine can be told to do. */
export type EngineOrderAction =
  | { readonly kind: "load_weights"; readonly model: string; readonly weightsVersion: string }
  | { readonly kind: "load_adapter"; readonly adapter: string; readonly version: string }
  | { readonly kind: "set_role"; readonly role: string }
  | { readonly kind: "drain" }
  | { readonly kind: "admit" }
  | {
      readonly kind: "export_cache";
      readonly storeUrl: string;
      readonly cacheKey: string;
      readonly promptText: string;
      readonly cacheSalt: string;
    }
  | { readonly kind: "import_cache"; readonly storeUrl: string; readonly cacheKey: string };

/** An order with what it is conditional on. */
export interface EngineOrder {
  readonly id: string;
  /** Offset of the lease grant under which the order is given. */
  readonly fencingNumber: number;
  /** The order is void at an engine with another incarnation. */
  readonly ifIncarnation: string;
  /** The order is void at an engine with other weights. */
  readonly ifWeightsVersion: string;
  readonly action: EngineOrderAction;
}

/** A call to a plain service. */
export interface ServiceCall {
  readonly attempt: string;
  readonly organisation: string;
  readonly method: string;
  /** Path and query within the service. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly body: Buffer | undefined;
  /** Longest wait for the answer, milliseconds. */
  readonly timeout: number;
}

/** A plain service's whole answer. */
export interface ServiceAnswer {
  readonly attempt: string;
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Buffer;
}

/** A record of the log service. */
export interface LogRecord {
  readonly offset: number;
  /** When the service took it, milliseconds since 1970 on its own clock. */
  readonly appendedAt: number;
  readonly data: string;
}

/** A part of a stream of the log service. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The oldest offset still kept. */
  readonly earliestOffset: number;
  /** The offset that the next append will get. */
  readonly nextOffset: number;
  /** In which its offsets were given out. */
  readonly epoch: StoreEpoch;
}

/** Records that the log service has taken. */
export interface AppendedRecords {
  readonly offsets: readonly number[];
  readonly epoch: StoreEpoch;
}
