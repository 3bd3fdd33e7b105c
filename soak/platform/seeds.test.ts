/** A short run of the soak, and every seed that has failed, each with what caused it. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { replicaReportStepKinds, createPlan, storeRestoreStepKinds, defaultStepKinds } from "./plan.ts";
import { runSoak } from "./runSoak.ts";

/** The size at which the seeds failed; the number of replicas decides which one a step strikes. */
const size = { routers: 4, engines: 4, desks: 3 } as const;

/** What each seed is there for. */
const seeds: readonly {
  readonly seed: number;
  readonly seconds: number;
  readonly cause: string;
  readonly isSuspending?: boolean;
  readonly isReporting?: boolean;
  readonly isReturning?: boolean;
}[] = [
  { seed: 3, seconds: 5, cause: "a short run of several kinds of disturbance" },
  { seed: 1027, seconds: 12, cause: "replicas that never registered again with their new weights" },
  { seed: 1028, seconds: 12, cause: "a proof that a peer had given to the process before a restart" },
  { seed: 5, seconds: 10, cause: "replicas that report draining and backoff", isReporting: true },
  { seed: 11, seconds: 10, cause: "a store that returns from older copies", isReturning: true },
  { seed: 2, seconds: 8, cause: "routers on VMs that are suspended", isSuspending: true },
];

describe("routers as processes, struck from outside", () => {
  for (const {
    seed,
    seconds,
    cause,
    isSuspending = false,
    isReporting = false,
    isReturning = false,
  } of seeds) {
    const reporting = isReporting ? replicaReportStepKinds : defaultStepKinds;
    it(`keep the promises with seed ${seed}: ${cause}`, async () => {
      const { violations } = await runSoak({
        seed,
        plan: createPlan(seed, seconds, isReturning ? storeRestoreStepKinds : reporting),
        size,
        isSuspending,
      });
      expect(violations).toEqual([]);
    });
  }
});
