import { describe, it } from "node:test";
import { expect } from "earl";
import { engineEntry } from "../../tests/support/forwardingFixture.ts";
import { positionAt } from "../../tests/support/positions.ts";
import { createReplicaTable } from "../state/forwarding/replicaTable.ts";
import { createManualClock } from "./manualClock.ts";
import { createRegistryRecovery } from "./storeEpochs/registryRecovery.ts";

describe("a record that can't be applied", () => {
  it("holds up no record after it: it was read again and again", () => {
    const replicas = createReplicaTable();
    const put: typeof replicas.put = (entry) => {
      if (entry.id === "b") throw new TypeError("can't be applied");
      return replicas.put(entry);
    };
    const registry = createRegistryRecovery({ ...replicas, put }, createManualClock());
    const records = ["a", "b", "c"].map((key, offset) => ({
      position: positionAt(offset),
      key,
      value: engineEntry(key),
    }));
    registry.replace({ records, next: positionAt(3), isComplete: true });
    expect(replicas.all().map(({ entry }) => entry.id)).toEqual(["a", "c"]);
    registry.apply({
      records: records.map(({ key, value }, index) => ({
        position: positionAt(3 + index),
        key: `${key}${key}`,
        value: key === "b" ? value : { ...value, id: `${key}${key}`, registeredAs: `${key}${key}` },
      })),
      next: positionAt(6),
      isComplete: true,
    });
    expect(replicas.all().map(({ entry }) => entry.id)).toEqual(["a", "c", "aa", "cc"]);
  });
});
