import { describe, it } from "node:test";
import { setImmediate as settled } from "node:timers/promises";
import { expect } from "earl";
import { engineEntry } from "../../../tests/support/forwardingFixture.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createManualClock } from "../manualClock.ts";
import { createReplicaHealth } from "./replicaHealth.ts";
import { startReplicaMonitor } from "./replicaMonitor.ts";

const create = (isResponsible: boolean) => {
  const clock = createManualClock(1_000);
  const replicas = createReplicaTable();
  for (const id of ["a", "b", "c"]) replicas.put(engineEntry(id));
  const state = { probes: 0, isReachable: false };
  startReplicaMonitor({
    replicas,
    client: {
      probeConnection: () => {
        state.probes += 1;
        return Promise.resolve(state.isReachable ? "made" : "silent");
      },
    },
    health: createReplicaHealth(replicas, clock),
    clock,
    isResponsibleFor: () => isResponsible,
  });
  const run = async (milliseconds: number): Promise<void> => {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      clock.advanceTo(clock.monotonic() + 50);
      await settled();
    }
  };
  const replica = replicas.get("a");
  if (replica === undefined) throw new Error("a replica is missing");
  return { state, run, replica };
};

describe("replica monitor", () => {
  it("keeps probing an unreachable replica that this router is responsible for, until it is reachable", async () => {
    const { state, run, replica } = create(true);
    replica.requests = 1;
    await run(500);
    expect(replica.isUnreachable).toEqual(true);
    replica.requests = 0;
    state.probes = 0;
    await run(4_000);
    expect(state.probes).toBeGreaterThan(5);
    state.isReachable = true;
    await run(1_000);
    expect(replica.isUnreachable).toEqual(false);
  });

  it("detects an unreachable replica that owes a response, and leaves further probes to its owner", async () => {
    const { state, run, replica } = create(false);
    replica.requests = 1;
    await run(500);
    expect(replica.isUnreachable).toEqual(true);
    replica.requests = 0;
    state.probes = 0;
    await run(4_000);
    expect(state.probes).toEqual(0);
  });

  it("probes a replica that another router reports as unreachable before marking it as such", async () => {
    const { state, run, replica } = create(true);
    state.isReachable = true;
    replica.isSuspected = true;
    await run(500);
    expect([state.probes, replica.isUnreachable, replica.isSuspected]).toEqual([1, false, false]);
    state.isReachable = false;
    replica.isSuspected = true;
    await run(500);
    expect(replica.isUnreachable).toEqual(true);
  });
});
