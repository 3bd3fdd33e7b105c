/** What the router runs: placement by predicted time to first token, with admission in front of it. */
import { PredictiveScheduler } from "../../src/coordination/scheduling/PredictiveScheduler.ts";
import type { Policy } from "./Policy.ts";

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
