/** Read-only data types that the layers share. */
import type { ClassConfiguration, OrganisationConfiguration } from "./configuration/schema.ts";
import type { StoreEpoch } from "./storeEpoch.ts";

/** An entry of the platform's list of VMs. */
export interface ListedVm {
  readonly id: string;
  readonly dataCentre: string;
  /** `http://IP:PORT` of the VM's service. */
  readonly url: string;
  /** `http://IP:PORT` of the peer protocol; only for routers. */
  readonly peerUrl?: string;
  readonly role: "router" | "engine" | "service" | "keyValueStore";
  /** The configured name of the engine pool, service or KV store that the VM belongs to; empty for routers. */
  readonly pool: string;
  readonly state: "live" | "leaving";
}

/** A prefix of a prompt whose KV cache other requests can reuse. */
export interface PrefixLevel {
  /** Chained hash of the prefix, salted with organisation, model, adapter and weights version. */
  readonly key: string;
  /** Estimated number of tokens of the prefix. */
  readonly tokens: number;
}

/** A model request, parsed from its body. */
export interface CompletionRequest {
  readonly kind: "chat" | "text";
  readonly model: string;
  readonly adapter: string | undefined;
  readonly stream: boolean;
  /** Whether the caller asked for a usage chunk at the end of its stream. */
  readonly includeUsage: boolean;
  readonly maximumTokens: number;
  /** The parsed body as the caller sent it. */
  readonly body: Readonly<Record<string, unknown>>;
  /** The prompt's text in the order in which it is computed, split at the ends of its prefix levels. */
  readonly segments: readonly string[];
}

/** A request's organisation, class and deadlines, as resolved from its headers and the configuration. */
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

/** The state that an engine reports. */
export interface EngineLoad {
  readonly incarnation: string;
  readonly model: string;
  readonly weightsVersion: string;
  readonly adapters: readonly string[];
  readonly role: string;
  readonly running: number;
  readonly waiting: number;
  /** Prompt tokens still to be computed, over all waiting and running requests. */
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

/** One piece (chunk) of a streamed answer. In offsets, each piece with text counts as one token. */
export interface AnswerFrame {
  /** The text of the piece; may be empty. */
  readonly text: string;
  /**
   * Other fields of the piece, such as tool calls, as the engine sent them. Another engine can't continue an answer
   * that contains any.
   */
  readonly extra: Readonly<Record<string, unknown>> | undefined;
  /** Set on the last piece of the answer: `stop`, `length`, … */
  readonly finishReason: string | undefined;
  readonly usage: Usage | undefined;
}

/** An answer that an engine has started. */
export interface EngineAnswer {
  readonly attempt: string;
  readonly incarnation: string;
  readonly weightsVersion: string;
  /** Each item contains the pieces that arrived together. The iteration throws `UpstreamError` if the stream breaks. */
  readonly frames: AsyncIterable<readonly AnswerFrame[]>;
}

/** One attempt to run a model request on an engine. */
export interface EngineCall {
  readonly attempt: string;
  readonly organisation: string;
  readonly request: CompletionRequest;
  /** Forwarded for upstreams that deduplicate by key. */
  readonly idempotencyKey: string | undefined;
  readonly priority: number;
  /** Keeps the cached blocks of organisations apart within the engine. */
  readonly cacheSalt: string;
  /** The part of the answer that the caller has already received; the engine continues after it. */
  readonly delivered: { readonly text: string; readonly tokens: number };
  /** Longest time without data before the stream fails, milliseconds. */
  readonly stallTimeout: number;
}

/** A change of an engine's cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted" | "cleared";
  /** Block hashes, as the engine computes them. */
  readonly blocks: readonly string[];
}

/** A page of an engine's cache events; a gap in `sequence` means that events were lost. */
export interface CacheEventPage {
  readonly incarnation: string;
  readonly events: readonly CacheEvent[];
  readonly nextSequence: number;
}

/** The action of an order. */
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

/** A command to an engine, with its preconditions. */
export interface EngineOrder {
  readonly id: string;
  /** Fencing token: the offset of the lease grant under which the order is sent. */
  readonly fencingNumber: number;
  /** Precondition: the order is void for an engine with another incarnation. */
  readonly ifIncarnation: string;
  /** Precondition: the order is void for an engine with another weights version. */
  readonly ifWeightsVersion: string;
  readonly action: EngineOrderAction;
}

/** A call to a plain service. */
export interface ServiceCall {
  readonly attempt: string;
  readonly organisation: string;
  readonly method: string;
  /** Path and query string, relative to the service. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly body: Buffer | undefined;
  /** Longest time to wait for the answer, milliseconds. */
  readonly timeout: number;
}

/** The complete answer of a plain service. */
export interface ServiceAnswer {
  readonly attempt: string;
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Buffer;
}

/** A record of the log service. */
export interface LogRecord {
  readonly offset: number;
  /** When the service stored the record, in milliseconds since 1970 on its own clock. */
  readonly appendedAt: number;
  readonly data: string;
}

/** A page of a stream of the log service. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The offset of the oldest record that is still kept. */
  readonly earliestOffset: number;
  /** The offset that the next appended record will get. */
  readonly nextOffset: number;
  /** The epoch in which the offsets were assigned. */
  readonly epoch: StoreEpoch;
}

/** The result of an append to the log service. */
export interface AppendedRecords {
  readonly offsets: readonly number[];
  readonly epoch: StoreEpoch;
}
