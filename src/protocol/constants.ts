/** Names and limits of the wire protocols, shared by the whole system. */

/** Names, in lower case, of the HTTP headers that pomelocleat reads or writes. */
export const headers = {
  /** On every answer: the id of the caller's request. */
  requestId: "x-request-id",
  /** On every answer: the version (log offset) of the configuration in force. */
  configurationVersion: "x-pomelocleat-configuration",
  /** On an answer that an upstream gave: the upstream's id. */
  upstream: "x-pomelocleat-upstream",
  /** On an answer that an upstream gave: the number of prompt tokens that it took from its cache, if known. */
  cachedTokens: "x-pomelocleat-cached-tokens",
  /** On an error answer: one of {@link outcomes}. */
  outcome: "x-pomelocleat-outcome",
  /** From the caller: the name of the request class. */
  requestClass: "x-pomelocleat-class",
  /** From the caller: `false` marks a request that may run at most once. */
  idempotent: "x-pomelocleat-idempotent",
  /** From the caller: character offsets at which prefix levels of a text prompt end, comma separated. */
  prefixLevels: "x-pomelocleat-prefix-levels",
  /** From the caller: the idempotency key of a request that may run at most once. */
  idempotencyKey: "idempotency-key",
  /** From router to upstream, and echoed by the upstream: the id of one attempt. */
  attempt: "x-attempt-id",
  /** From router to upstream: the organisation, for upstreams that check which one calls. */
  organisation: "x-organisation",
  /** From router to engine: requests with smaller numbers run first. */
  priority: "x-priority",
  /** From engine: an id that changes each time the engine's process starts. */
  incarnation: "x-engine-incarnation",
  /** From engine: the version of the weights that produced the answer. */
  weightsVersion: "x-weights-version",
  /** On an error answer: tells widely used client libraries whether to retry automatically. */
  shouldRetry: "x-should-retry",
  retryAfter: "retry-after",
  lastEventId: "last-event-id",
} as const;

/** How far a failed request may have got. The values are sent to callers and documented for them. */
export const outcomes = {
  /** Did not run: nothing was sent to an upstream, or the upstream refused the request before running it. */
  notRun: "not_run",
  /** May have run, completely or in part. */
  outcomeUnknown: "outcome_unknown",
  /** Ran and failed, or its stream could not be completed. */
  failed: "failed",
  /** Was completed earlier under the same idempotency key; its answer is no longer available. */
  completed: "completed",
} as const;

/** Average number of characters in a token: an estimate, used until an answer reports the actual count. */
export const charactersPerToken = 4;

/** Largest accepted request body, bytes. */
export const maximumBodyBytes = 8 * 1024 * 1024;

/** Streams of the log service that the system uses. */
export const logStreams = {
  configuration: "configuration",
  leases: "leases",
  /** Claims are partitioned over `claims-0` … `claims-N`. */
  claimsPrefix: "claims-",
  /** Updates that routers announce to one another about requests that crash engines. */
  crashUpdates: "crash-news",
  /** Quarantined requests. */
  quarantine: "quarantine",
} as const;
