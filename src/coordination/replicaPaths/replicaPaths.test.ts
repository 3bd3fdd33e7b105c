import { describe, it } from "node:test";
import { setImmediate as settled } from "node:timers/promises";
import { expect } from "earl";
import { engineEntry } from "../../../tests/support/forwardingFixture.ts";
import type { AnswerProbeResult, ConnectionProbeResult } from "../../protocol/forwarding/ReplicaClient.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createReplicaHealth } from "../forwarding/replicaHealth.ts";
import { createManualClock } from "../manualClock.ts";
import { pathProbeTimeout } from "./constants.ts";
import { createPathProbes } from "./pathProbes.ts";
import { startReplicaPaths } from "./replicaPaths.ts";

/** Time within which a router must know that it has no path, milliseconds. */
const knownWithin = 300;

/** The same where connections are accepted: replicas that fall silent for a second may go on. */
const unansweredWithin = 2_900;

const services = ["engines", "desk"] as const;
const replicasPerService = 4;

/** @param initial - How replicas answer until that is changed. */
const create = (initial: ConnectionProbeResult = "made") => {
  const clock = createManualClock(1_000);
  const replicas = createReplicaTable();
  const probed: string[] = [];
  /** By id of a replica: how it answers. */
  const results = new Map<string, ConnectionProbeResult>();
  const probeConnection = ({ id }: { readonly id: string }): Promise<ConnectionProbeResult> => {
    probed.push(id);
    const result = results.get(id) ?? initial;
    if (result !== "silent") return Promise.resolve(result);
    return new Promise((resolve) => clock.after(pathProbeTimeout, () => resolve(result)));
  };
  let isAnswering = true;
  const probeAnswer = async (entry: { readonly id: string }): Promise<AnswerProbeResult> => {
    if ((await probeConnection(entry)) !== "made") return "none";
    if (isAnswering) return "answered";
    return new Promise((resolve) => clock.after(pathProbeTimeout, () => resolve("accepted")));
  };
  const client = { probeConnection, probeAnswer };
  const probes = createPathProbes({ replicas, client, clock });
  const health = createReplicaHealth(replicas, clock);
  const paths = startReplicaPaths({ replicas, probes, health, clock, metrics: new MemoryMetrics() });
  for (const service of services) {
    for (let index = 0; index < replicasPerService; index += 1)
      replicas.put({
        ...engineEntry(`${service}-${index}`),
        service,
        ...(service === "desk" ? { weights: new Map<string, number>() } : {}),
      });
  }
  const run = async (milliseconds: number): Promise<void> => {
    for (let passed = 0; passed < milliseconds; passed += 10) {
      clock.advanceTo(clock.monotonic() + 10);
      for (let round = 0; round < 3; round += 1) await settled();
    }
  };
  const setAll = (result: ConnectionProbeResult, of: readonly string[] = services): void => {
    for (const { entry } of replicas.all()) if (of.includes(entry.service)) results.set(entry.id, result);
  };
  const replica = (id: string) => {
    const found = replicas.get(id);
    if (found === undefined) throw new Error(id);
    return found;
  };
  /** A request begins at a replica and gets no answer. */
  const beginRequest = (id: string): void => {
    replica(id).requests += 1;
    replica(id).quietSince = clock.monotonic();
  };
  const setAnswering = (value: boolean): void => {
    isAnswering = value;
  };
  return { clock, replicas, setAnswering, probed, paths, run, setAll, replica, beginRequest };
};

describe("the paths to replicas", () => {
  it("are known to be lost in time when nothing answers any more", async () => {
    const { paths, run, setAll, beginRequest } = create();
    await run(2_000);
    setAll("silent");
    beginRequest("desk-0");
    await run(knownWithin);
    expect(paths.isPartitioned()).toEqual(true);
  });

  // Something in between may accept connections and hand nothing on.
  it("are known to be lost while connections are accepted and nothing is answered", async () => {
    const { paths, run, setAnswering, beginRequest } = create();
    await run(2_000);
    setAnswering(false);
    beginRequest("desk-0");
    await run(unansweredWithin);
    expect(paths.isPartitioned()).toEqual(true);
    await run(2_000);
    expect(paths.isPartitioned()).toEqual(true);
    setAnswering(true);
    await run(knownWithin + 200);
    expect([paths.lostFor("desk"), paths.lostFor("engines")]).toEqual([undefined, undefined]);
  });

  it("of a service that answers are not lost while engines accept connections and answer nothing", async () => {
    const { paths, run, setAnswering, beginRequest } = create();
    await run(2_000);
    setAnswering(false);
    beginRequest("engines-0");
    await run(unansweredWithin);
    expect(paths.lostFor("desk")).toEqual(undefined);
    expect((paths.lostFor("engines") ?? 0) > 0).toEqual(true);
  });

  // Engines that all paused for 0.3 s were once taken for lost, and their streams were broken off.
  it("are not lost while engines accept connections and fall silent for a second", async () => {
    const { paths, run, setAnswering, beginRequest } = create();
    await run(2_000);
    for (let round = 0; round < 5; round += 1) {
      setAnswering(false);
      beginRequest("engines-0");
      await run(1_200);
      expect([paths.lostFor("desk"), paths.lostFor("engines")]).toEqual([undefined, undefined]);
      setAnswering(true);
      await run(300);
    }
  });

  it("are known to be lost at once when connections are refused", async () => {
    const { paths, run, setAll } = create();
    await run(2_000);
    setAll("refused");
    paths.noteFailure("engines");
    await run(20);
    expect(paths.isPartitioned()).toEqual(true);
  });

  it("are known to be lost by a router that starts without any, before its first request", async () => {
    const { paths, run } = create("silent");
    await run(knownWithin);
    expect(paths.isPartitioned()).toEqual(true);
  });

  it("are not lost as a whole when one service is down or silent", async () => {
    for (const result of ["refused", "silent"] as const) {
      const { paths, run, setAll, beginRequest } = create();
      await run(2_000);
      setAll(result, ["desk"]);
      paths.noteFailure("desk");
      beginRequest("desk-1");
      await run(1_000);
      expect([paths.isPartitioned(), paths.lostFor("engines")]).toEqual([false, undefined]);
      expect((paths.lostFor("desk") ?? 0) > 0).toEqual(true);
    }
  });

  it("are not lost when single replicas fail, and cost one connection then", async () => {
    const { paths, run, probed, beginRequest } = create();
    await run(2_000);
    const before = probed.length;
    paths.noteFailure("engines");
    paths.noteFailure("engines");
    await run(100);
    expect(probed.length - before).toEqual(1);
    // A lone long prompt is silent until its first token.
    beginRequest("engines-2");
    await run(900);
    expect([probed.length - before, paths.isPartitioned()]).toEqual([2, false]);
  });

  it("are not checked while there is no traffic", async () => {
    const { run, probed } = create();
    await run(1_000);
    const before = probed.length;
    await run(10_000);
    expect(probed.length).toEqual(before);
  });

  it("are used again soon, without the marks of the time without them, and at few connections", async () => {
    const { clock, paths, run, setAll, probed, replica } = create();
    await run(2_000);
    setAll("refused");
    paths.noteFailure("desk");
    await run(20);
    replica("desk-1").isUnreachable = true;
    replica("desk-1").ejectedUntil = clock.monotonic() + 4_000;
    const before = probed.length;
    await run(3_000);
    expect(probed.length - before <= 2 * 20).toEqual(true);
    setAll("made");
    await run(400);
    expect([paths.lostFor("desk"), paths.lostFor("engines")]).toEqual([undefined, undefined]);
    expect(replica("desk-1").isUnreachable).toEqual(false);
    expect(replica("desk-1").ejectedUntil <= clock.monotonic()).toEqual(true);
  });
});
