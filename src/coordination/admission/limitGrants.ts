/** Grants to send requests to replicas that report a rate limit. */
import type { RequestError } from "../../protocol/errors.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import type { ReplicaLimits, Grant } from "../replicaLimits/replicaLimits.ts";
import type { GrantSearch } from "../replicaLimits/grantSearch.ts";
import { failures } from "../forwarding/failures.ts";
import type { ForwardRun } from "../forwarding/forwardRun.ts";
import type { PlacementChoice } from "../placement/placementTypes.ts";

export interface LimitGrantsDependencies {
  readonly limits: Pick<ReplicaLimits, "acquire" | "comeBackAfter">;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

export interface LimitGrants {
  /**
   * Gets a grant for the chosen replica, and waits until it is valid.
   *
   * @returns The grant; `undefined` if there is none in time.
   */
  readonly acquire: (
    run: ForwardRun,
    choice: PlacementChoice,
    search: GrantSearch,
  ) => Promise<Grant | undefined>;
  /** @returns The error for a request for which the limits leave no room. */
  readonly refuse: (run: ForwardRun) => RequestError;
}

/** Creates the grants of one router. */
export const createLimitGrants = ({ limits, metrics, clock }: LimitGrantsDependencies): LimitGrants => ({
  acquire: async ({ admission, deadline, stopper }, { replica }, search) => {
    const timeLeft = deadline - clock.monotonic();
    const grant = await limits.acquire(replica, search.maxWait(timeLeft, admission.route.latencyObjective));
    if (grant === undefined) {
      search.noteRefused(replica.entry.id);
      return undefined;
    }
    metrics.count(metricNames.sentUnderLimit);
    const wait = grant.from - clock.monotonic();
    if (wait > 0) await pause(clock, wait, stopper.signal);
    return grant;
  },
  // Refused at once instead of queued: without a booking, a grant may never come.
  refuse: ({ admission }) => {
    metrics.count(metricNames.rejectedByLimits);
    return failures.limited(limits.comeBackAfter(admission.service.name));
  },
});
