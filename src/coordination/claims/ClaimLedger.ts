import type { RequestContext } from "../../protocol/types.ts";
import { claimFailures } from "./errors.ts";
import type { RecordedAnswer, RecordedOutcome } from "./types.ts";

/** The exclusive right to dispatch one non-idempotent request once; one router holds it. */
export interface Claim {
  /** Gives the claim up because nothing was dispatched, so that a retry with the same key may run. Never rejects. */
  readonly release: () => Promise<void>;
  /**
   * Records the outcome of the request for retries. Resolves before the record is appended, and never rejects:
   * if the record is lost, a retry is refused with `outcome_unknown`.
   *
   * @param summary - Description of the outcome for people.
   * @param answer - The answer that a retry receives; omitted where answers are not kept.
   */
  readonly complete: (summary: string, answer?: RecordedAnswer) => Promise<void>;
  /**
   * Records that the request may have run and that its outcome will never be known, so that a retry does not
   * wait for it. Resolves before the record is appended, and never rejects.
   */
  readonly abandon: () => Promise<void>;
}

/** Result of an attempt to claim a request. */
export type ClaimResult =
  | { readonly kind: "claimed"; readonly claim: Claim }
  | { readonly kind: "completed"; readonly outcome: RecordedOutcome };

/** Ensures that a request marked non-idempotent runs at most once across all routers. */
export abstract class ClaimLedger {
  /**
   * Claims a request before its dispatch.
   *
   * @param context - A request with an idempotency key.
   * @param fingerprint - Digest of the request's content; a different request with the same key is refused.
   * @returns The claim, or the recorded outcome of the request that held it. Throws `RequestError`: `not_run` if
   * the log service is unavailable, or if the key is malformed or was used for a different request;
   * `outcome_unknown` if the claim is held and no outcome is recorded, or if the key is too old.
   */
  abstract acquire(context: RequestContext, fingerprint: string): Promise<ClaimResult>;

  /**
   * Like {@link acquire}, for requests whose answer is not kept: throws `already_completed` if an outcome is
   * recorded.
   */
  async claim(context: RequestContext, fingerprint: string): Promise<Claim> {
    const result = await this.acquire(context, fingerprint);
    if (result.kind === "claimed") return result.claim;
    throw claimFailures.alreadyCompleted(result.outcome.summary);
  }
}
