/** Turns of requests at replicas that name a limit. */
import type { RequestError } from "../../protocol/errors.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import type { ReplicaLimits, Grant } from "../replicaLimits/replicaLimits.ts";
import type { GrantSearch } from "../replicaLimits/grantSearch.ts";
import { failures } from "./failures.ts";
import type { ForwardRun } from "./forwardRun.ts";
import type { PlacementChoice } from "./placementTypes.ts";

/** What it works with. */
export interface LimitGrantsDependencies {
  readonly limits: Pick<ReplicaLimits, "take" | "comeBackAfter">;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

/** See {@link createLimitGrants}. */
export interface LimitGrants {
  /** @returns The request's turn at the chosen replica, once it has come; nothing if there is none. */
  readonly acquire: (
    run: ForwardRun,
    choice: PlacementChoice,
    search: GrantSearch,
  ) => Promise<Grant | undefined>;
  /** @returns The final answer to a request that limits leave no room for. */
  readonly refuse: (run: ForwardRun) => RequestError;
}

/** Creates turns. */
export const createLimitGrants = ({ limits, metrics, clock }: LimitGrantsDependencies): LimitGrants => ({
  acquire: async ({ admission, deadline, stopper }, { replica }, search) => {
    const left = deadline - clock.monotonic();
    const turn = await limits.acquire(replica, search.maxWait(left, admission.route.latencyObjective));
    if (turn === undefined) {
      search.noteRefused(replica.entry.id);
      return undefined;
    }
    metrics.count(metricNames.sentUnderLimit);
    const wait = turn.from - clock.monotonic();
    if (wait > 0) await pause(clock, wait, stopper.signal);
    return turn;
  },
  // What has no room now is told so at once: a turn that isn't booked may never come.
  refuse: ({ admission }) => {
    metrics.count(metricNames.rejectedByLimits);
    return failures.limited(limits.comeBackAfter(admission.service.name));
  },
});
