/** A short run of the soak, runs of its other kinds of steps, and the seeds that failed, each with the cause. */
import { describe, it } from "node:test";
import { expect } from "earl";
import type { StepTopic } from "./plan.ts";
import { createPlan, stepKinds } from "./plan.ts";
import { runSoak } from "./runSoak.ts";

/** The size at which the seeds failed: the number of replicas decides which one a step affects. */
const size = { routers: 4, engines: 4, desks: 3 } as const;

/** The seeds, each with what it covers. */
const seeds: readonly {
  readonly seed: number;
  readonly seconds: number;
  readonly cause: string;
  readonly isSuspending?: boolean;
  readonly topic?: StepTopic;
}[] = [
  { seed: 3, seconds: 5, cause: "a short run with several kinds of faults" },
  { seed: 1027, seconds: 12, cause: "replicas that never registered again after loading new weights" },
  {
    seed: 1028,
    seconds: 12,
    cause: "a proof of the configuration that a peer gave to the previous process before a restart",
  },
  { seed: 5, seconds: 10, cause: "replicas that report draining and backoff", topic: "reports" },
  { seed: 11, seconds: 10, cause: "a store that is restored from older backups", topic: "returns" },
  {
    seed: 8007,
    seconds: 8,
    cause: "replicas that restart with clocks behind, and entries that lapse",
    topic: "registry",
  },
  { seed: 2, seconds: 8, cause: "routers on VMs that are suspended", isSuspending: true },
  {
    seed: 31,
    seconds: 5,
    cause:
      "floods, uneven engines, full memory and slow readers, with routers that have the features under load",
    topic: "load",
  },
  {
    seed: 33,
    seconds: 5,
    cause: "routers that resumed an answer for ever after its caller had stopped reading",
    topic: "load",
  },
  {
    seed: 73,
    seconds: 8,
    cause: "streams without a length or chunks that break off inside an event",
    topic: "streams",
  },
  { seed: 76, seconds: 8, cause: "routers that are partitioned from all replicas", topic: "partitions" },
  {
    seed: 79,
    seconds: 12,
    cause: "callers that move while retries are pressed to their budget",
    topic: "moves",
  },
  {
    seed: 82,
    seconds: 12,
    cause: "prompt parts that crash engines, a herd of connections, and answers without end",
    topic: "crashes",
  },
  {
    seed: 88,
    seconds: 8,
    cause: "records of other writers, in each topic, whose values can't be used",
    topic: "records",
  },
  {
    seed: 92,
    seconds: 8,
    cause: "callers whose bodies stop short or exceed the limit, while routers end and start",
    topic: "clients",
  },
];

describe("router processes under injected faults", () => {
  for (const { seed, seconds, cause, isSuspending = false, topic = "default" } of seeds) {
    it(`keep all invariants with seed ${seed}: ${cause}`, async () => {
      const { violations } = await runSoak({
        seed,
        plan: createPlan(seed, seconds, stepKinds[topic]),
        size,
        isSuspending,
        isLoaded: topic === "load",
        isPartitionable: topic === "partitions",
      });
      expect(violations).toEqual([]);
    });
  }
});
