/** The router's own policy: admission control followed by placement by predicted time to first token. */
import { PredictiveScheduler } from "../../src/coordination/scheduling/PredictiveScheduler.ts";
import type { Policy } from "./Policy.ts";

/** Uses the production scheduler. */
export const oursPolicy: Policy = {
  name: "ours",
  createScheduler: ({ directory, clock, configuration, dataCentre, liveRouters }) =>
    new PredictiveScheduler({
      directory,
      clock,
      configuration,
      dataCentre,
      liveRouters,
      organisationShare: () => 1 / liveRouters(),
    }),
};
