/** Data that parts of the claim ledger hand to one another. */

/** An answer that was recorded for retries. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Buffer;
}

/** How the request that holds a claim has ended. */
export interface RecordedOutcome {
  /** For people: `finished`, `status 200`. */
  readonly summary: string;
  /** Left out where the answer was too long or is no plain service's. */
  readonly answer: RecordedAnswer | undefined;
}

/** An idempotency key as the ledger sees it. */
export interface ClaimKey {
  /** Digest of organisation and key. */
  readonly digest: string;
  /** When the caller issued it, milliseconds since 1970 on the caller's clock. */
  readonly issuedAt: number;
  readonly stream: string;
}
