/**
 * Types for requests that are forwarded unchanged: the configuration, the registry of replicas, and the requests and
 * responses themselves. Durations are in milliseconds.
 */

import type { NetworkAddress } from "../networkAddress.ts";
import type { TraitKind } from "./requestTrait.ts";
import type { StorePosition } from "../StorePosition.ts";

/**
 * How a request may be retried.
 *
 * - `repeatable`: may be executed more than once.
 * - `atMostOnce`: must not be sent again once it may have been executed.
 * - `eventStream`: like `atMostOnce`, and the response is a stream of events.
 * - `resumableEventStream`: an event stream that another replica can continue after the last delivered event.
 */
export type RequestKind = "repeatable" | "atMostOnce" | "eventStream" | "resumableEventStream";

/** A service that receives a weighted share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** A route, which matches the requests to a host below a path. */
export interface ForwardingRoute {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** The maximum time until the response is complete. */
  readonly timeout: number;
  /** The latency that callers expect: the time to the response, or to the first event of a stream. */
  readonly latencyObjective: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** The number of replicas to which one request may be sent. */
  readonly maximumAttempts: number;
  /** Whether requests are served without an organisation's key. */
  readonly isAnonymous: boolean;
}

/** The capacity of each model engine of a service. */
export interface EngineCapacity {
  /** The number of requests that it processes concurrently. */
  readonly slots: number;
  /** The number of tokens that its memory holds, of running requests and of the cache together. */
  readonly memoryTokens: number;
  readonly bytesPerToken: number;
  /** Bandwidth of its link to other engines, megabits per second. */
  readonly linkMegabits: number;
  readonly models: readonly string[];
}

/** A store that caches computed prompt parts for engines. */
export interface CacheStore {
  readonly address: NetworkAddress;
  readonly dataCentre: string;
  /** Bandwidth of its link to engines, megabits per second. */
  readonly linkMegabits: number;
}

/** A prompt part that a cache store has added or evicted. */
export interface CacheChange {
  /** True if the part was added, false if it was evicted. */
  readonly isStored: boolean;
  readonly salt: string;
  readonly part: string;
}

/** The changes at a cache store since the last read. */
export interface CacheChanges {
  /** Changes with each restart, which empties the store. */
  readonly incarnation: number;
  /** The number from which the next read continues. */
  readonly next: number;
  readonly changes: readonly CacheChange[];
}

/** A service: a set of interchangeable replicas. */
export interface ForwardingService {
  readonly name: string;
  /** The number of connections that one replica accepts from all callers together; `undefined` if unlimited. */
  readonly maximumConnections: number | undefined;
  /** Set if the replicas are model engines. */
  readonly engine: EngineCapacity | undefined;
  /** Set if the service is a cache store for engines and not a service for callers. */
  readonly cacheStore: CacheStore | undefined;
}

/** The usage limit of an organisation over all routers: a token bucket. */
export interface OrganisationLimit {
  readonly unit: "requests" | "tokens";
  /** In `unit`; above 0. */
  readonly ratePerSecond: number;
  /** The amount that may be used at once after idle time, in `unit`; above 0. */
  readonly burst: number;
  /** The tokens counted for a request that doesn't state its tokens. */
  readonly plainTokens: number;
}

/** An organisation and the API keys that identify its callers. */
export interface ForwardingOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** 0 is the most urgent; `undefined` if the operator set none. */
  readonly priority: number | undefined;
  /** Whether it shares no cached prompt part with other organisations. */
  readonly isIsolated: boolean;
  /** `undefined` if its usage is unlimited. */
  readonly limit: OrganisationLimit | undefined;
}

/** Size limits and timeouts of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: number;
  /** How long an open connection may stay idle. */
  readonly idleTimeout: number;
}

/** One version of the operator's configuration. */
export interface ForwardingConfiguration {
  readonly version: number;
  readonly routes: readonly ForwardingRoute[];
  readonly services: readonly ForwardingService[];
  /** `undefined` if callers need no keys at all. */
  readonly organisations: readonly ForwardingOrganisation[] | undefined;
  readonly limits: CallerLimits;
}

/** The weights version that a model's engines should run. */
export interface WeightsTarget {
  readonly model: string;
  readonly version: number;
}

/** A record published by the operator. */
export type OperatorRecord =
  | { readonly kind: "configuration"; readonly configuration: ForwardingConfiguration }
  | { readonly kind: "weights"; readonly target: WeightsTarget };

/** The registration of one incarnation of a replica. */
export interface ReplicaEntry {
  /** Changes with every start, so that state recorded under it never applies to another incarnation. */
  readonly id: string;
  /** The name under which it is registered and which it checks in requests. It may survive a restart. */
  readonly registeredAs: string;
  /** Start time, Unix milliseconds; `undefined` if not reported. */
  readonly bornAt: number | undefined;
  readonly service: string;
  /** May be reused by another replica later. */
  readonly address: NetworkAddress;
  readonly dataCentre: string;
  readonly isDraining: boolean;
  /** The number of requests that it processes concurrently. */
  readonly slots: number;
  /** The weights version of each model. */
  readonly weights: ReadonlyMap<string, number>;
}

/** The registration of a router. */
export interface RouterEntry {
  readonly name: string;
  /** Changes with every start. */
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly address: string;
  /** The port for datagrams between routers. */
  readonly port: number;
}

/** A router as the store lists it. */
export interface RegisteredRouter extends RouterEntry {
  /** Whether a router of this system may have used its part of the reserve for retries. */
  readonly isBootstrapped: boolean;
}

/** A quarantined trait: requests that have it are sent to no replica, since it crashes those that run them. */
export interface QuarantineRecord {
  readonly kind: TraitKind;
  /** See `RequestTrait`. */
  readonly name: string;
  /** The number of trials since it was quarantined. */
  readonly trials: number;
  /** The id of the newest trial; empty before the first one. */
  readonly trial: string;
}

/** A part of a prompt; engines compute and cache prompts part by part. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The prompt as the caller's headers describe it. */
export interface Prompt {
  readonly model: string;
  readonly tokens: number;
  /** The maximum number of tokens in the answer. */
  readonly answerTokens: number;
  /** The caller's estimate of the number of tokens in the answer; absent if not stated. */
  readonly expectedAnswerTokens?: number | undefined;
  /** In order of computation. The last one belongs to this request or session alone. */
  readonly parts: readonly PromptPart[];
}

/** A caller's request, decoded. */
export interface CallerRequest {
  /** Identifies this attempt of the caller; replicas echo it. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** Alternating names and values of the headers to forward unchanged. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Time of arrival, milliseconds on the monotonic clock. */
  readonly arrivedAt: number;
  /** How long the caller waits for the response; `undefined` if not stated. */
  readonly timeout: number | undefined;
  /** The API key. */
  readonly key: string | undefined;
  readonly prompt: Prompt | undefined;
  /** Tokens of prompt and answer that count towards usage limits; `undefined` if not stated. */
  readonly countedTokens: number | undefined;
  /** The last event that the caller has received, if it resumes a stream. */
  readonly lastEventId: string | undefined;
  /** Set if another router passes the request on; it is not passed on again. */
  readonly relayed?: RelayedFrom | undefined;
}

/** The router that passes a request on. */
export interface RelayedFrom {
  readonly source: string;
  /** Ids of the replicas that it has sent the request to itself. */
  readonly sentTo: readonly string[];
}

/** A request to be sent to one replica. */
export interface ReplicaCall {
  readonly request: CallerRequest;
  readonly replica: ReplicaEntry;
  /** When the replica may abandon the request, milliseconds on the monotonic clock. */
  readonly deadline: number;
  readonly organisation: string | undefined;
  /** The replica rejects the request if it runs other weights. */
  readonly weightsVersion: number | undefined;
  /** Only requests with the same salt share cached parts. */
  readonly cacheSalt: string | undefined;
  /** The replica or cache store from which to copy cached parts. */
  readonly fetchFrom: NetworkAddress | undefined;
  /** The cache store to which the prompt's parts are saved once computed. */
  readonly saveTo: NetworkAddress | undefined;
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number | undefined;
  /** The event after which the stream continues; `undefined` for a stream from its start. */
  readonly lastEventId: string | undefined;
  /** Checked right before the first byte is written. */
  readonly maySend: () => boolean;
}

/** Stands for a reported field that was present but could not be decoded. */
export type Unreadable = "unreadable";

/** What a replica reports about itself in the head of a response, and the fields that identify the sender. */
export interface ReplicaReport {
  readonly status: number;
  /** The request id that the replica echoes. */
  readonly echoedId: string | undefined;
  /** Whether the response bears the seal that only replicas set. */
  readonly isSealed: boolean;
  /** Whether the replica states that it has not executed the request and will not. */
  readonly isNotExecuted: boolean;
  /** The replica's id, if stated. */
  readonly replicaId: string | undefined;
  /** Requests per second that it accepts from all routers together. */
  readonly limit: number | Unreadable | undefined;
  /** Whether the replica is shutting down and accepts no new requests. */
  readonly isDraining: boolean | Unreadable;
  /** How long it asks the receiver to send nothing, milliseconds. */
  readonly retryAfter: number | Unreadable | undefined;
  /** If it is brittle: how many requests it can turn away in a second without falling over. */
  readonly brittleRejections?: number | Unreadable | undefined;
}

/** The decoded head of a replica's response. */
export interface AnswerHead extends ReplicaReport {
  /** Alternating names and values of the headers to forward unchanged. */
  readonly headers: readonly string[];
  /** Whether the body is encoded: callers ask for bodies without encoding, so that it is not the replica's body. */
  readonly isEncoded: boolean;
  /** Whether another replica now has the address, or the replica runs other weights. */
  readonly isMisdirected: boolean;
  readonly weightsVersion: number | undefined;
  /** Whether the replica closes the connection after this response. */
  readonly closesConnection: boolean;
}

/**
 * What marks the end of a response's body: its length, its last chunk, or nothing but the end of the connection. The
 * first two state the end of the content; the last one is all that is left of a replica that stopped in the middle.
 */
export type AnswerFraming = "length" | "chunks" | "connection";

/** A replica's response, of which the head has arrived. */
export interface ReplicaAnswer {
  readonly head: AnswerHead;
  readonly framing: AnswerFraming;
  /** Throws `UpstreamError` if the response breaks off. */
  readonly body: AsyncIterable<Buffer>;
}

/** The response to the caller. */
export interface ForwardedAnswer {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  /** The whole body, or the chunks of a stream, which throws if it can't be completed. */
  readonly body: Buffer | AsyncIterable<Buffer>;
  /** Ids of the replicas that the request was sent to so far. */
  readonly sentTo: readonly string[];
}

/** An order to an engine to change its weights. */
export interface WeightsOrder {
  readonly replica: ReplicaEntry;
  readonly target: WeightsTarget;
  /**
   * How running requests are treated: `finish` them first, `cut` them off, or `keep` them running on the new weights.
   */
  readonly running: "finish" | "cut" | "keep";
  /** Identifies the router process that gives the order. */
  readonly holder: string;
  readonly fencingNumber: number;
  /**
   * The number of orders that the engine had accepted when the order was decided; the engine rejects the order if the
   * number differs.
   */
  readonly acceptedOrders: number;
}

/** An engine's own status. */
export interface EngineStatus {
  readonly weights: ReadonlyMap<string, number>;
  /** Whether an order is being carried out. */
  readonly isChanging: boolean;
  /** The number of orders accepted since the engine's start. */
  readonly acceptedOrders: number;
  /** Start time, Unix milliseconds; `undefined` if not reported. */
  readonly bornAt: number | undefined;
  /** The number of queued requests. */
  readonly waiting: number;
  /** The number of requests being processed. */
  readonly running: number;
}

/** The engine's reply to an order; `already` means that it already runs the target weights. */
export type OrderOutcome = "accepted" | "already" | "conflict" | "fenced" | "refused";

export interface FeedRecord<T> {
  readonly position: StorePosition;
  readonly key: string;
  /** `undefined` if the key was deleted. */
  readonly value: T | undefined;
}

/** A page of records. */
export interface FeedPage<T> {
  readonly records: readonly FeedRecord<T>[];
  /** The position at which the next read continues. */
  readonly next: StorePosition;
  /** Whether no records followed these at the time of the read. */
  readonly isComplete: boolean;
}
