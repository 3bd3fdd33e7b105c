import type { RequestContext } from "../../protocol/types.ts";

/** The right to run one non-idempotent request; held by one router for one dispatch. */
export interface Claim {
  /** Nothing was dispatched: lets a later request with the same key run. */
  readonly release: () => Promise<void>;
  /** The request has ended with a known outcome, which a retry may be told. */
  readonly complete: (summary: string) => Promise<void>;
}

/** Sees to it that a request marked non-idempotent runs at most once over all routers. */
export abstract class ClaimLedger {
  /**
   * Claims a request before its dispatch.
   *
   * @param context - A request with an idempotency key.
   * @param fingerprint - Digest of what is asked; another request under the same key is refused.
   * @returns The claim; throws `RequestError`: `not_run` if the log can't be asked, `outcome_unknown` if
   * somebody else holds or held the claim.
   */
  abstract claim(context: RequestContext, fingerprint: string): Promise<Claim>;
}
