import { describe, it } from "node:test";
import { setImmediate as settled } from "node:timers/promises";
import { expect } from "earl";
import { engineEntry } from "../../../tests/support/forwardingFixture.ts";
import type { ConnectionProbeResult } from "../../protocol/forwarding/ReplicaClient.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createManualClock } from "../manualClock.ts";
import { crashGathering } from "./constants.ts";
import { createCrashMonitor } from "./crashMonitor.ts";
import type { ReplicaCrash, Suspect } from "../../protocol/forwarding/crashMessage.ts";

const first: Suspect = { fingerprint: "1", hasBegun: false };
const second: Suspect = { fingerprint: "2", hasBegun: true };

const create = () => {
  const clock = createManualClock(1_000);
  const replicas = createReplicaTable();
  replicas.put(engineEntry("a"));
  const replica = replicas.get("a");
  if (replica === undefined) throw new Error("a replica is missing");
  const state: { trial: ConnectionProbeResult; tries: number } = { trial: "refused", tries: 0 };
  const crashes: ReplicaCrash[] = [];
  const watch = createCrashMonitor({
    replicas,
    client: {
      tryConnection: () => {
        state.tries += 1;
        return Promise.resolve(state.trial);
      },
    },
    clock,
    onCrash: (crash) => crashes.push(crash),
  });
  const pass = async (): Promise<void> => {
    clock.advanceTo(clock.monotonic() + crashGathering);
    for (let turn = 0; turn < 5; turn += 1) await settled();
  };
  return { replicas, replica, state, crashes, watch, pass };
};

describe("watching for crashes", () => {
  it("tells all that was in flight at once, after one try", async () => {
    const { replica, state, crashes, watch, pass } = create();
    watch.noteBrokenConnection(replica, first);
    watch.noteBrokenConnection(replica, second);
    await pass();
    expect([crashes, state.tries]).toEqual([[{ replica: "a", suspects: [first, second] }], 1]);
  });

  it("tells nothing of a replica that only broke a connection, nor of one that was cut off", async () => {
    for (const trial of ["made", "silent"] as const) {
      const { replica, state, crashes, watch, pass } = create();
      state.trial = trial;
      watch.noteBrokenConnection(replica, first);
      await pass();
      expect(crashes).toEqual([]);
    }
  });

  it("tells nothing of one that leaves or has left", async () => {
    const { replicas, replica, crashes, watch, pass } = create();
    watch.noteBrokenConnection(replica, first);
    replicas.markDraining("a");
    await pass();
    watch.noteBrokenConnection(replica, first);
    await pass();
    expect(crashes).toEqual([]);
  });
});
