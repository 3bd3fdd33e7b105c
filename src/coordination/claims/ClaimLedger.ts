import type { RequestContext } from "../../protocol/types.ts";
import { claimFailures } from "./errors.ts";
import type { RecordedAnswer, RecordedOutcome } from "./types.ts";

/** The right to run one non-idempotent request; held by one router for one dispatch. */
export interface Claim {
  /** Nothing was dispatched: lets a later request with the same key run. Never rejects. */
  readonly release: () => Promise<void>;
  /**
   * The request has ended with a known outcome, which a retry is told. Resolves before it is recorded, and
   * never rejects: a lost record makes a retry's answer `outcome_unknown`.
   *
   * @param summary - For people.
   * @param answer - What a retry gets; left out where it isn't kept.
   */
  readonly complete: (summary: string, answer?: RecordedAnswer) => Promise<void>;
  /**
   * The request may have run, and nobody will ever know: a retry need not wait for an outcome. Resolves
   * before it is recorded, and never rejects.
   */
  readonly abandon: () => Promise<void>;
}

/** What became of the wish to run a request. */
export type ClaimResult =
  | { readonly kind: "claimed"; readonly claim: Claim }
  | { readonly kind: "completed"; readonly outcome: RecordedOutcome };

/** Sees to it that a request marked non-idempotent runs at most once over all routers. */
export abstract class ClaimLedger {
  /**
   * Claims a request before its dispatch.
   *
   * @param context - A request with an idempotency key.
   * @param fingerprint - Digest of what is asked; another request under the same key is refused.
   * @returns The claim, or the outcome of the request that had it; throws `RequestError`: `not_run` if the
   * log can't be asked or the key is malformed or used for something else, `outcome_unknown` if somebody
   * holds the claim or the key is too old.
   */
  abstract acquire(context: RequestContext, fingerprint: string): Promise<ClaimResult>;

  /** Like {@link acquire}, for requests whose answer is not kept: throws also if it has been given before. */
  async claim(context: RequestContext, fingerprint: string): Promise<Claim> {
    const result = await this.acquire(context, fingerprint);
    if (result.kind === "claimed") return result.claim;
    throw claimFailures.alreadyCompleted(result.outcome.summary);
  }
}
