/** Names of the counters, timings and gauges that a router emits; described in docs/OPERATORS.md. */
export const metricNames = {
  requests: "requests",
  requestTime: "request_ms",
  refusals: "refusals",
  limited: "limited",
  heldBack: "held_back",
  attempts: "attempts",
  retries: "retries",
  retriesDenied: "retries_denied",
  hedges: "hedges",
  resumes: "resumes",
  continuations: "continuations",
  crossedAnswers: "crossed_answers",
  firstToken: "first_token_ms",
  promptTokens: "prompt_tokens",
  cachedTokens: "cached_tokens",
  claims: "claims",
  claimWait: "claim_wait_ms",
  engineFailures: "engine_failures",
  leaseAppends: "lease_appends",
  leaseGrants: "lease_grants",
  leaseLosses: "lease_losses",
  orders: "orders",
  restatements: "restatements",
  peerRefusals: "peer_refusals",
  peerMessages: "peer_messages",
  peerChanges: "peer_changes",
} as const;

/** The name of a metric. */
export type MetricName = (typeof metricNames)[keyof typeof metricNames];
