/** A short run of the soak, runs of its other kinds of steps, and the seeds that failed, each with the cause. */
import { describe, it } from "node:test";
import { expect } from "earl";
import {
  replicaReportStepKinds,
  createPlan,
  loadStepKinds,
  registryStepKinds,
  storeRestoreStepKinds,
  moveStepKinds,
  partitionStepKinds,
  streamStepKinds,
  defaultStepKinds,
} from "./plan.ts";
import { runSoak } from "./runSoak.ts";

/** The size at which the seeds failed: the number of replicas decides which one a step affects. */
const size = { routers: 4, engines: 4, desks: 3 } as const;

/** The seeds, each with what it covers. */
const seeds: readonly {
  readonly seed: number;
  readonly seconds: number;
  readonly cause: string;
  readonly isSuspending?: boolean;
  readonly isReporting?: boolean;
  readonly isReturning?: boolean;
  readonly isRegistryStruck?: boolean;
  readonly isLoaded?: boolean;
  readonly breaksStreams?: boolean;
  readonly isPartitionable?: boolean;
  readonly movesCallers?: boolean;
}[] = [
  { seed: 3, seconds: 5, cause: "a short run with several kinds of faults" },
  { seed: 1027, seconds: 12, cause: "replicas that never registered again after loading new weights" },
  {
    seed: 1028,
    seconds: 12,
    cause: "a proof of the configuration that a peer gave to the previous process before a restart",
  },
  { seed: 5, seconds: 10, cause: "replicas that report draining and backoff", isReporting: true },
  { seed: 11, seconds: 10, cause: "a store that is restored from older backups", isReturning: true },
  {
    seed: 8007,
    seconds: 8,
    cause: "replicas that restart with clocks behind, and entries that lapse",
    isRegistryStruck: true,
  },
  { seed: 2, seconds: 8, cause: "routers on VMs that are suspended", isSuspending: true },
  {
    seed: 31,
    seconds: 5,
    cause:
      "floods, uneven engines, full memory and slow readers, with routers that have the features under load",
    isLoaded: true,
  },
  {
    seed: 33,
    seconds: 5,
    cause: "routers that resumed an answer for ever after its caller had stopped reading",
    isLoaded: true,
  },
  {
    seed: 73,
    seconds: 8,
    cause: "streams without a length or chunks that break off inside an event",
    breaksStreams: true,
  },
  { seed: 76, seconds: 8, cause: "routers that are partitioned from all replicas", isPartitionable: true },
  {
    seed: 79,
    seconds: 12,
    cause: "callers that move while retries are pressed to their budget",
    movesCallers: true,
  },
];

describe("router processes under injected faults", () => {
  for (const {
    seed,
    seconds,
    cause,
    isSuspending = false,
    isReporting = false,
    isReturning = false,
    isRegistryStruck = false,
    isLoaded = false,
    breaksStreams = false,
    isPartitionable = false,
    movesCallers = false,
  } of seeds) {
    const reportKinds = isReporting ? replicaReportStepKinds : defaultStepKinds;
    const restoreKinds = isReturning ? storeRestoreStepKinds : reportKinds;
    const registryKinds = isRegistryStruck ? registryStepKinds : restoreKinds;
    const loadKinds = isLoaded ? loadStepKinds : registryKinds;
    const streamKinds = breaksStreams ? streamStepKinds : loadKinds;
    const partitionKinds = isPartitionable ? partitionStepKinds : streamKinds;
    const kinds = movesCallers ? moveStepKinds : partitionKinds;
    it(`keep all invariants with seed ${seed}: ${cause}`, async () => {
      const { violations } = await runSoak({
        seed,
        plan: createPlan(seed, seconds, kinds),
        size,
        isSuspending,
        isLoaded,
        isPartitionable,
      });
      expect(violations).toEqual([]);
    });
  }
});
