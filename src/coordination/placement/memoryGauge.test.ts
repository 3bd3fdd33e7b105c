import { describe, it } from "node:test";
import { expect } from "earl";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { engineEntry } from "../../../tests/support/forwardingFixture.ts";
import { registerMemoryGauge } from "./memoryGauge.ts";

describe("the gauge of reserved memory", () => {
  it("covers owned replicas only, and doesn't keep the last value of a service that has none left", () => {
    const metrics = new MemoryMetrics();
    const replicas = createReplicaTable();
    for (const id of ["a", "b", "c"]) replicas.put(engineEntry(id));
    for (const replica of replicas.all()) replica.reservedTokens = replica.entry.id === "a" ? 100 : 40;
    let owned: readonly string[] = ["a", "b"];
    const owners = { isOwnerOf: ({ entry }: { entry: { id: string } }) => owned.includes(entry.id) };
    registerMemoryGauge({ replicas, owners, metrics });
    const valueOf = (statistic: string) =>
      metrics.snapshot()[`reserved_memory_tokens{service=engines,statistic=${statistic}}`];
    expect([valueOf("sum"), valueOf("largest")]).toEqual([140, 100]);
    owned = [];
    expect([valueOf("sum"), valueOf("largest")]).toEqual([undefined, undefined]);
  });
});
