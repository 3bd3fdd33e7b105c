import { describe, it } from "node:test";
import { expect } from "earl";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { engineEntry } from "../../../tests/support/forwardingFixture.ts";
import { rendezvousReplica } from "./rendezvousReplica.ts";

const replicasOf = (count: number) => {
  const table = createReplicaTable();
  for (let index = 0; index < count; index += 1) table.put(engineEntry(`i-${index}`));
  return table.all();
};

/** Spread over the whole 32-bit range, like hashes of prompt parts. */
const keys = Array.from({ length: 20_000 }, (_, index) => Math.imul(index + 1, 0x9e3779b1) >>> 0);

describe("rendezvous hashing over replicas", () => {
  it("spreads keys evenly", () => {
    const replicas = replicasOf(20);
    const counts = new Map<string, number>();
    for (const key of keys) {
      const id = rendezvousReplica(key, replicas)?.entry.id ?? "";
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    const mean = keys.length / replicas.length;
    expect([...counts.values()].every((count) => count > mean * 0.85 && count < mean * 1.15)).toEqual(true);
  });

  it("moves only the keys of a removed replica, and spreads them over the others", () => {
    const replicas = replicasOf(20);
    const [removed, ...remaining] = replicas;
    const moved = new Set<string>();
    for (const key of keys) {
      const before = rendezvousReplica(key, replicas);
      const after = rendezvousReplica(key, remaining);
      if (before !== removed) expect(after).toEqual(before);
      else moved.add(after?.entry.id ?? "");
    }
    expect(moved.size).toEqual(remaining.length);
  });

  it("doesn't depend on the order of the candidates, and finds nothing among none", () => {
    const replicas = replicasOf(20);
    const reversed = [...replicas].reverse();
    for (const key of keys.slice(0, 500)) {
      expect(rendezvousReplica(key, reversed)).toEqual(rendezvousReplica(key, replicas));
    }
    expect(rendezvousReplica(1, [])).toEqual(undefined);
  });
});
