import { describe, it } from "node:test";
import { setImmediate as settled } from "node:timers/promises";
import { expect } from "earl";
import { drainingAnswer, engineEntry } from "../../../tests/support/forwardingFixture.ts";
import type { ConnectionProbeResult } from "../../protocol/forwarding/ReplicaClient.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createManualClock } from "../manualClock.ts";
import { crashProbeDelay } from "./constants.ts";
import { createCrashMonitor } from "./crashMonitor.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import type { BrokenRequest, OwnCrash } from "./brokenRequests.ts";
import { contentTrait } from "./requestTraits.ts";

const first: BrokenRequest = { traits: [contentTrait("1")], hasBegun: false };
const second: BrokenRequest = { traits: [contentTrait("2")], hasBegun: true };

const create = (hasOtherPath = true) => {
  const clock = createManualClock(1_000);
  const replicas = createReplicaTable();
  replicas.put(engineEntry("a"));
  const replica = replicas.get("a");
  if (replica === undefined) throw new Error("a replica is missing");
  const state: { trial: ConnectionProbeResult; tries: number } = { trial: "refused", tries: 0 };
  const crashes: OwnCrash[] = [];
  const monitor = createCrashMonitor({
    replicas,
    client: {
      probeConnection: () => {
        state.tries += 1;
        return Promise.resolve(state.trial);
      },
    },
    paths: { hasOtherPath: () => Promise.resolve(hasOtherPath) },
    metrics: new MemoryMetrics(),
    clock,
    onCrash: (crash) => crashes.push(crash),
  });
  const advance = async (): Promise<void> => {
    clock.advanceTo(clock.monotonic() + crashProbeDelay);
    for (let round = 0; round < 5; round += 1) await settled();
  };
  return { replicas, replica, state, crashes, monitor, advance };
};

describe("the crash monitor", () => {
  it("reports all requests that were in flight at once, after one probe", async () => {
    const { replica, state, crashes, monitor, advance } = create();
    monitor.noteBrokenConnection(replica, first);
    monitor.noteBrokenConnection(replica, second);
    await advance();
    expect([crashes, state.tries]).toEqual([[{ replica: "a", broken: [first, second] }], 1]);
  });

  it("reports no crash of a replica that only broke a connection, nor of one that was cut off", async () => {
    for (const trial of ["made", "silent"] as const) {
      const { replica, state, crashes, monitor, advance } = create();
      state.trial = trial;
      monitor.noteBrokenConnection(replica, first);
      await advance();
      expect(crashes).toEqual([]);
    }
  });

  it("reports no crash where no other replica accepts a connection either", async () => {
    const { replica, crashes, monitor, advance } = create(false);
    monitor.noteBrokenConnection(replica, first);
    await advance();
    expect(crashes).toEqual([]);
  });

  it("reports no crash of a replica that drains or has left", async () => {
    const { replicas, replica, crashes, monitor, advance } = create();
    monitor.noteBrokenConnection(replica, first);
    replicas.markDraining("a", drainingAnswer);
    await advance();
    monitor.noteBrokenConnection(replica, first);
    await advance();
    expect(crashes).toEqual([]);
  });
});
