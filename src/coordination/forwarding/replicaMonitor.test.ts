import { describe, it } from "node:test";
import { setImmediate as settled } from "node:timers/promises";
import { expect } from "earl";
import { engineEntry } from "../../../tests/support/forwardingFixture.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createManualClock } from "../manualClock.ts";
import { createReplicaHealth } from "./replicaHealth.ts";
import { startReplicaMonitor } from "./replicaMonitor.ts";

const create = (looksAfter: boolean) => {
  const clock = createManualClock(1_000);
  const replicas = createReplicaTable();
  for (const id of ["a", "b", "c"]) replicas.put(engineEntry(id));
  const state = { tries: 0, isReachable: false };
  startReplicaMonitor({
    replicas,
    client: {
      tryConnection: () => {
        state.tries += 1;
        return Promise.resolve(state.isReachable ? "made" : "silent");
      },
    },
    health: createReplicaHealth(replicas, clock),
    clock,
    isResponsibleFor: () => looksAfter,
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

describe("watching replicas that can't be reached", () => {
  it("tries one again and again where this router looks after it, until it can be reached", async () => {
    const { state, run, replica } = create(true);
    replica.requests = 1;
    await run(500);
    expect(replica.isUnreachable).toEqual(true);
    replica.requests = 0;
    state.tries = 0;
    await run(4_000);
    expect(state.tries).toBeGreaterThan(5);
    state.isReachable = true;
    await run(1_000);
    expect(replica.isUnreachable).toEqual(false);
  });

  it("finds one that owes an answer, and leaves it to its owner from then on", async () => {
    const { state, run, replica } = create(false);
    replica.requests = 1;
    await run(500);
    expect(replica.isUnreachable).toEqual(true);
    replica.requests = 0;
    state.tries = 0;
    await run(4_000);
    expect(state.tries).toEqual(0);
  });

  it("tries one that another router can't reach before it believes it", async () => {
    const { state, run, replica } = create(true);
    state.isReachable = true;
    replica.isSuspected = true;
    await run(500);
    expect([state.tries, replica.isUnreachable, replica.isSuspected]).toEqual([1, false, false]);
    state.isReachable = false;
    replica.isSuspected = true;
    await run(500);
    expect(replica.isUnreachable).toEqual(true);
  });
});
