/** Gauge of this router's part of each service's retry budget. */
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { RetryShare } from "./retryShare.ts";

/** Registers the gauge; it is computed whenever metrics are read. */
export const registerRetryGauge = (
  retryShare: Pick<RetryShare, "states">,
  metrics: Pick<Metrics, "observe">,
): void => {
  metrics.observe(metricNames.retryBudget, ["service", "part"], () =>
    [...retryShare.states()].flatMap(([service, state]) =>
      Object.entries(state).map(([part, value]: [string, number]) => ({ value, tags: { service, part } })),
    ),
  );
};
