/** Baseline: the engine with the fewest requests, by lagged reports and this router's own work under way. */
import { LeastLoadedScheduler } from "../../src/coordination/scheduling/leastLoadedScheduler.ts";
import type { Policy } from "./Policy.ts";

export const leastLoadedPolicy: Policy = {
  name: "least loaded",
  createScheduler: ({ directory }) => new LeastLoadedScheduler(directory),
};
