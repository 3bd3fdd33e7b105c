/** Counts the requests that are sent to other data centres, by pair; there are few data centres, so few series. */
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { ForwardAttempt } from "../forwarding/forwardAttempt.ts";

/** @returns The same function for attempts, with each attempt in another data centre counted. */
export const countOtherDataCentres =
  (attempt: ForwardAttempt, dataCentre: string, metrics: Pick<Metrics, "count">): ForwardAttempt =>
  (plan, signal) => {
    const to = plan.choice.replica.entry.dataCentre;
    if (to !== dataCentre) metrics.count(metricNames.sentToDataCentre, 1, { from: dataCentre, to });
    return attempt(plan, signal);
  };
