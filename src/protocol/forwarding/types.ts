/**
 * Requests that are passed on untouched: what the configuration, the registry of replicas and a caller say of
 * them. Durations are milliseconds; all data is read-only.
 */

import type { StorePosition } from "../StorePosition.ts";

/**
 * What may be done with a request.
 *
 * - `repeatable`: may run more than once.
 * - `atMostOnce`: must not be sent again once it may have run.
 * - `eventStream`: the same, and the answer is a stream of events.
 * - `resumableEventStream`: a stream that another replica can continue after the last event delivered.
 */
export type RequestKind = "repeatable" | "atMostOnce" | "eventStream" | "resumableEventStream";

/** Where a route sends a share of its requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** One route: requests of a host below a path. */
export interface ForwardingRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** The longest that a caller may be kept waiting for a final answer. */
  readonly timeout: number;
  /** The time to the answer, or to the first event of a stream, that callers expect. */
  readonly latencyObjective: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Replicas that one request may be sent to. */
  readonly maximumAttempts: number;
  /** Served without an organisation's key. */
  readonly isAnonymous: boolean;
}

/** What a model engine of a service can hold. */
export interface EngineCapacity {
  /** Requests that it works on at once. */
  readonly slots: number;
  /** Tokens that fit into its memory, running and cached together. */
  readonly memoryTokens: number;
  readonly bytesPerToken: number;
  /** Megabits a second of its link to other engines. */
  readonly linkMegabits: number;
  readonly models: readonly string[];
}

/** A store that keeps computed prompt parts for engines. */
export interface CacheStore {
  /** `IP:PORT`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Megabits a second of its link to engines. */
  readonly linkMegabits: number;
}

/** A prompt part that a store of prompt parts has taken in or dropped. */
export interface CacheChange {
  readonly isStored: boolean;
  readonly salt: string;
  readonly part: string;
}

/** What has changed at a store of prompt parts since it was asked last. */
export interface CacheChanges {
  /** Another one after each restart, which loses everything. */
  readonly incarnation: number;
  /** The number to ask with next. */
  readonly next: number;
  readonly changes: readonly CacheChange[];
}

/** One service: a set of replicas that can stand in for one another. */
export interface ForwardingService {
  readonly name: string;
  /** Connections that one replica takes from all callers together; nothing if it names no limit. */
  readonly maximumConnections: number | undefined;
  /** Set for services of model engines. */
  readonly engine: EngineCapacity | undefined;
  /** Set where the service is no service for callers but a store of prompt parts. */
  readonly cacheStore: CacheStore | undefined;
}

/** How much an organisation may have run, over all routers. */
export interface OrganisationLimit {
  readonly unit: "requests" | "tokens";
  /** In the unit; above 0. */
  readonly ratePerSecond: number;
  /** What may be used at once after a pause; above 0. */
  readonly burst: number;
  /** What a request counts that says nothing of its tokens. */
  readonly plainTokens: number;
}

/** An organisation and the keys by which its callers are known. */
export interface ForwardingOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** 0 is the most urgent; nothing if the operator gave none. */
  readonly priority: number | undefined;
  /** Shares no cached prompt part with any other organisation. */
  readonly isIsolated: boolean;
  /** Nothing where it may have run as much as it sends. */
  readonly limit: OrganisationLimit | undefined;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: number;
  /** How long an open connection may be without a request. */
  readonly idleTimeout: number;
}

/** One version of what the operator wants. */
export interface ForwardingConfiguration {
  readonly version: number;
  readonly routes: readonly ForwardingRoute[];
  readonly services: readonly ForwardingService[];
  /** Nothing where callers need no keys at all. */
  readonly organisations: readonly ForwardingOrganisation[] | undefined;
  readonly limits: CallerLimits;
}

/** The weights that a model's engines are to run. */
export interface WeightsTarget {
  readonly model: string;
  readonly version: number;
}

/** What the operator has published under one key. */
export type OperatorRecord =
  | { readonly kind: "configuration"; readonly configuration: ForwardingConfiguration }
  | { readonly kind: "weights"; readonly target: WeightsTarget };

/** One incarnation of a replica as it registered itself. */
export interface ReplicaEntry {
  /** New with every start: what is remembered by it is never believed of another incarnation. */
  readonly id: string;
  /** What it is registered under and answers to; a replica that starts again may keep it. */
  readonly registeredAs: string;
  /** When it started, Unix milliseconds; nothing if it doesn't say. */
  readonly bornAt: number | undefined;
  readonly service: string;
  /** `IP:PORT`; may be given to another replica later. */
  readonly address: string;
  readonly dataCentre: string;
  readonly isDraining: boolean;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** Weights version by model. */
  readonly weights: ReadonlyMap<string, number>;
}

/** A router of the system as it registered itself. */
export interface RouterEntry {
  readonly name: string;
  /** New with every start. */
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly address: string;
  /** Of the datagrams between routers. */
  readonly port: number;
}

/** A request that is sent to no replica, since it crashes those that run it. */
export interface QuarantineRecord {
  /** How often it was tried since. */
  readonly trials: number;
  /** Names the newest trial; empty before the first one. */
  readonly trial: string;
}

/** A part of a prompt, in the order in which it is computed. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller says of its prompt. */
export interface Prompt {
  readonly model: string;
  readonly tokens: number;
  /** The most tokens that the answer may have. */
  readonly answerTokens: number;
  /** The last one belongs to this request or session alone. */
  readonly parts: readonly PromptPart[];
}

/** A caller's request, decoded once. */
export interface CallerRequest {
  /** Of this attempt of the caller; replicas echo it. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** Names and values in turn: those to be passed on unchanged. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Milliseconds on the monotonic clock. */
  readonly arrivedAt: number;
  /** How long the caller will wait; nothing if it didn't say. */
  readonly timeout: number | undefined;
  readonly key: string | undefined;
  readonly prompt: Prompt | undefined;
  /** Tokens of prompt and answer by which limits count it; nothing if the caller didn't say. */
  readonly countedTokens: number | undefined;
  /** The last event that the caller has of a stream it resumes. */
  readonly lastEventId: string | undefined;
}

/** A request on its way to one replica. */
export interface ReplicaCall {
  readonly request: CallerRequest;
  readonly replica: ReplicaEntry;
  /** When the replica may stop work, milliseconds on the monotonic clock. */
  readonly deadline: number;
  readonly organisation: string | undefined;
  /** The replica refuses if its weights are others. */
  readonly weightsVersion: number | undefined;
  /** Only requests with the same text share cached parts. */
  readonly cacheSalt: string | undefined;
  /** `IP:PORT` of a replica or store to copy cached parts from. */
  readonly fetchFrom: string | undefined;
  /** `IP:PORT` of a store that gets the prompt's parts once they are computed. */
  readonly saveTo: string | undefined;
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number | undefined;
  /** Continue after this event; nothing for a stream from its beginning. */
  readonly lastEventId: string | undefined;
  /** Asked right before the first byte leaves. */
  readonly maySend: () => boolean;
}

/** A field of a report that was sent but could not be decoded. */
export type Unreadable = "unreadable";

/** What a replica reports about itself in the head of an answer, with what tells whose answer it is. */
export interface ReplicaReport {
  readonly status: number;
  /** The id of the request that it answers, as the replica says. */
  readonly echoedId: string | undefined;
  /** Carries the replica's mark; answers of anything else don't. */
  readonly isSealed: boolean;
  /** The replica says that it has not run the request and will not. */
  readonly isNotRun: boolean;
  /** The replica's id, where it names itself. */
  readonly replicaId: string | undefined;
  /** Requests a second that it accepts from all routers together. */
  readonly limit: number | Unreadable | undefined;
  /** The replica is shutting down and accepts no new requests. */
  readonly isDraining: boolean | Unreadable;
  /** For how long it asks the receiver to send nothing, milliseconds. */
  readonly retryAfter: number | Unreadable | undefined;
}

/** The head of a replica's answer, decoded. */
export interface AnswerHead extends ReplicaReport {
  /** Names and values in turn: those to be passed on unchanged. */
  readonly headers: readonly string[];
  /** Another replica has the address, or it has other weights. */
  readonly isMisdirected: boolean;
  readonly weightsVersion: number | undefined;
  /** The replica takes no further request on this connection. */
  readonly closesConnection: boolean;
}

/** An answer that a replica has begun. */
export interface ReplicaAnswer {
  readonly head: AnswerHead;
  /** Throws `UpstreamError` where it breaks off. */
  readonly body: AsyncIterable<Buffer>;
}

/** A replica's answer for the caller. */
export interface ForwardedAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  /** The whole body, or the pieces of a stream; throws where the stream can't be finished. */
  readonly body: Buffer | AsyncIterable<Buffer>;
}

/** An order to an engine to change its weights. */
export interface WeightsOrder {
  readonly replica: ReplicaEntry;
  readonly target: WeightsTarget;
  /**
   * What becomes of requests under way: `finish` them first, `cut` them, or `keep` them running on the new
   * weights.
   */
  readonly running: "finish" | "cut" | "keep";
  readonly holder: string;
  readonly fencingNumber: number;
  /** Void if the engine has accepted another number of orders by the time it is carried out. */
  readonly acceptedOrders: number;
}

/** What an engine says of itself. */
export interface EngineStatus {
  readonly weights: ReadonlyMap<string, number>;
  /** An order is being carried out. */
  readonly isChanging: boolean;
  readonly acceptedOrders: number;
  /** When it started, Unix milliseconds; nothing if it doesn't say. */
  readonly bornAt: number | undefined;
  readonly waiting: number;
  readonly running: number;
}

/** What came of an order. */
export type OrderOutcome = "accepted" | "already" | "conflict" | "fenced" | "refused";

/** One record of a feed. */
export interface FeedRecord<T> {
  readonly position: StorePosition;
  readonly key: string;
  /** Nothing if the key was dropped. */
  readonly value: T | undefined;
}

/** Records with where to go on. */
export interface FeedPage<T> {
  readonly records: readonly FeedRecord<T>[];
  /** Where to read on. */
  readonly next: StorePosition;
  /** True if there is nothing after these records yet. */
  readonly isComplete: boolean;
}
