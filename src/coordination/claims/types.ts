/** Types shared by the modules of the claim ledger. */

/** An answer recorded for retries. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Buffer;
}

/** Outcome of the request that held a claim. */
export interface RecordedOutcome {
  /** Description for people, such as `finished` or `status 200`. */
  readonly summary: string;
  /** Undefined if the answer was too long to record, or did not come from a plain service. */
  readonly answer: RecordedAnswer | undefined;
}

/** A parsed idempotency key. */
export interface ClaimKey {
  /** Digest of the organisation and the key, so that organisations cannot share keys. */
  readonly digest: string;
  /** When the caller issued the key: milliseconds since 1970 on the caller's clock. */
  readonly issuedAt: number;
  /** Log stream of the partition that the key belongs to. */
  readonly stream: string;
}
