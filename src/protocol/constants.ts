/** Names and limits that every part of the system shares on the wire. */

/** Header names, lower case, that pomelocleat reads or writes. */
export const headers = {
  /** Set on every answer: the id of the caller's request. */
  requestId: "x-request-id",
  /** Set on every answer: the log offset of the configuration in force. */
  configurationVersion: "x-pomelocleat-configuration",
  /** Set on an answer that an upstream gave: the upstream's id. */
  upstream: "x-pomelocleat-upstream",
  /** Set on an answer that an upstream gave: prompt tokens it took from its cache, where known. */
  cachedTokens: "x-pomelocleat-cached-tokens",
  /** Set on a failure: one of {@link outcomes}. */
  outcome: "x-pomelocleat-outcome",
  /** Read: the request class by name. */
  requestClass: "x-pomelocleat-class",
  /** Read: `false` marks a request that may run at most once. */
  idempotent: "x-pomelocleat-idempotent",
  /** Read: character offsets into a text prompt at which reusable levels end, comma separated. */
  prefixLevels: "x-pomelocleat-prefix-levels",
  /** Read: the caller's key for a request that may run at most once. */
  idempotencyKey: "idempotency-key",
  /** Between router and upstream, echoed by the upstream: the id of one attempt. */
  attempt: "x-attempt-id",
  /** From router to upstreams that check identity. */
  organisation: "x-organisation",
  /** From router to engine: smaller runs first. */
  priority: "x-priority",
  /** From engine: changes with each start of its process. */
  incarnation: "x-engine-incarnation",
  /** From engine: the version of the weights that answered. */
  weightsVersion: "x-weights-version",
  /** Tells well-known client libraries whether to retry by themselves. */
  shouldRetry: "x-should-retry",
  retryAfter: "retry-after",
  lastEventId: "last-event-id",
} as const;

/** What a failed request may have done. The three differ on the wire and are documented for callers. */
export const outcomes = {
  /** Nothing ran: no byte left for an upstream, or the upstream positively refused before running. */
  notRun: "not_run",
  /** The request may have run, wholly or in part. */
  outcomeUnknown: "outcome_unknown",
  /** The request ran and failed, or its stream could not be finished. */
  failed: "failed",
  /** The request ran to its end before, under the same idempotency key; its answer is no longer kept. */
  completed: "completed",
} as const;

/** Rough characters of text for each token, used until an answer reports the true count. */
export const charactersPerToken = 4;

/** The longest accepted request body, bytes. */
export const maximumBodyBytes = 8 * 1024 * 1024;

/** Streams of the log service that the system keeps. */
export const logStreams = {
  configuration: "configuration",
  leases: "leases",
  /** Claims are spread over `claims-0` … `claims-N`. */
  claimsPrefix: "claims-",
  /** What routers tell one another of requests that crash engines. */
  crashUpdates: "crash-news",
  /** Requests that are held back. */
  quarantine: "quarantine",
} as const;
