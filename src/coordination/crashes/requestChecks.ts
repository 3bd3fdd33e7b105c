/** Decides for each request, by its traits, whether it may be sent to a replica. */
import type { RequestTrait } from "../../protocol/forwarding/requestTrait.ts";
import { undecidedRetryAfter } from "./constants.ts";
import type { CrashEvidence } from "./crashEvidence.ts";
import type { RequestIdentity } from "./quarantine.ts";
import type { QuarantinedTraits } from "./quarantinedTraits.ts";
import type { Trials } from "./trials.ts";

export interface RequestChecksDependencies<Request extends object> {
  readonly identity: RequestIdentity<Request>;
  readonly quarantined: QuarantinedTraits;
  readonly evidence: CrashEvidence;
  readonly trials: Trials<Request>;
  /** @returns Whether a decision is pending. */
  readonly isDeciding: () => boolean;
}

export interface RequestChecks<Request extends object> {
  /** @returns Whether a request must not be sent to a replica now. */
  readonly isQuarantined: (request: Request) => boolean;
  /** @returns Milliseconds after which the caller of a quarantined request should retry. */
  readonly comeBackAfter: (request: Request) => number;
  /** @returns Whether a quarantined request is the next trial; it may be sent then. */
  readonly claimTrial: (request: Request) => Promise<boolean>;
}

/** Creates the checks of requests against one quarantine. */
export const createRequestChecks = <Request extends object>({
  identity,
  quarantined,
  evidence,
  trials,
  isDeciding,
}: RequestChecksDependencies<Request>): RequestChecks<Request> => {
  const isBlocked = ({ fingerprint }: RequestTrait): boolean =>
    quarantined.has(fingerprint) || evidence.isUndecided(fingerprint);

  return {
    isQuarantined: (request) => {
      if (quarantined.size() === 0 && !isDeciding()) return false;
      return identity.traitsOf(request).some(isBlocked) && !trials.has(request);
    },
    comeBackAfter: (request) => {
      const waits = identity.traitsOf(request).map(({ fingerprint }) => quarantined.untilChange(fingerprint));
      return Math.max(undecidedRetryAfter, ...waits);
    },
    claimTrial: async (request) => {
      const fingerprints = identity.traitsOf(request).map(({ fingerprint }) => fingerprint);
      const others = fingerprints.filter((each) => !quarantined.has(each));
      // A request that may crash its replica for another reason would prove nothing.
      if (others.some(evidence.hasUnexplained)) return false;
      return trials.claim(request, fingerprints.filter(quarantined.has));
    },
  };
};
