import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { bounds, configurationOf, engineEntry, pageOf } from "../../tests/support/forwardingFixture.ts";
import { systemClock } from "../coordination/clock.ts";
import { noRecovery } from "../coordination/storeEpochs/recoveryWindow.ts";
import { createConfigurationState } from "../coordination/forwarding/configurationState.ts";
import type { DatagramLink } from "../protocol/forwarding/DatagramLink.ts";
import type { ProofAnswer } from "../protocol/forwarding/proofMessage.ts";
import { decodeProofMessage, encodeProofMessage } from "../protocol/forwarding/proofMessage.ts";
import type { RecordFeed } from "../protocol/forwarding/RecordFeed.ts";
import type { OperatorRecord, ReplicaEntry } from "../protocol/forwarding/types.ts";
import { platformError } from "../protocol/errors.ts";
import { createReplicaTable } from "../state/forwarding/replicaTable.ts";
import { followStore } from "./storeFollowing.ts";
import { createStoreEpochs } from "../state/storeEpochs.ts";
import type { Peer } from "../coordination/forwarding/peerTable.ts";
import { recoveryDuration } from "../coordination/storeEpochs/constants.ts";
import { StorePosition } from "../protocol/StorePosition.ts";
import { positionAt } from "../../tests/support/positions.ts";
import { defaultEpoch } from "../protocol/storeEpoch.ts";

/** A store whose history expires at once: mostly only the newest record of each key can be read. */
const createForgetfulStore = (entries: () => readonly ReplicaEntry[]) => {
  const state = { end: 10, wholeReads: 0, reads: 0 };
  const feed: Pick<RecordFeed<ReplicaEntry>, "newest" | "changes"> = {
    newest: () => {
      state.wholeReads += 1;
      state.end += 5;
      const records = entries().map((value) => ({ position: positionAt(0), key: value.id, value }));
      return Promise.resolve({ records, next: positionAt(state.end), isComplete: true });
    },
    // Every third read succeeds before more records expire.
    changes: (from) => {
      state.reads += 1;
      return state.reads % 3 === 0
        ? Promise.resolve({ records: [], next: from, isComplete: true })
        : Promise.reject(platformError("records expired", "expired", false));
    },
  };
  return { state, feed: feed as RecordFeed<ReplicaEntry> };
};

describe("a reader of a store whose history expires", () => {
  // Otherwise the position announced would move with every full read, and all routers would read the store again.
  it("announces a newer position only if a full read changes something", async () => {
    let listener: (datagram: Buffer, from: { address: string; port: number }) => void = () => undefined;
    const answers: ProofAnswer[] = [];
    const link = {
      port: 1,
      send: (_: unknown, datagram: Buffer) => {
        const message = decodeProofMessage(datagram);
        if (message?.kind === "answer") answers.push(message);
      },
      receive: (newListener: typeof listener) => {
        listener = newListener;
      },
    } as unknown as DatagramLink;
    const entries = [engineEntry("a"), engineEntry("b")];
    const { state, feed } = createForgetfulStore(() => entries);
    const operator: Pick<RecordFeed<OperatorRecord>, "newest" | "changes"> = {
      newest: () => Promise.resolve(pageOf({ kind: "configuration", configuration: configurationOf(1) })),
      changes: async (from) => {
        await sleep(20);
        return { records: [], next: from, isComplete: true };
      },
    };
    await using following = followStore({
      platform: {
        epochs: createStoreEpochs(),
        operator: operator as RecordFeed<OperatorRecord>,
        operatorCopies: operator as RecordFeed<OperatorRecord>,
        replicas: feed,
      },
      self: "router-1",
      recovery: noRecovery,
      link,
      clock: systemClock,
      bounds: { ...bounds, drain: 100 },
      configuration: createConfigurationState(systemClock),
      replicas: createReplicaTable(),
      peers: {
        countServing: () => 10,
        isLarge: () => true,
        isStoreReader: () => true,
        isFirstStoreReader: () => true,
        live: () => [],
        otherStoreReaders: () => [],
      },
      onConfiguration: () => undefined,
    });
    const queryPositionAfter = async (isDone: () => boolean): Promise<number | undefined> => {
      while (!isDone()) await sleep(5);
      await sleep(40);
      listener(encodeProofMessage({ kind: "question", number: 7 }), { address: "10.0.0.1", port: 2 });
      return answers.at(-1)?.replicas.position.offsetIn(defaultEpoch);
    };
    const first = await queryPositionAfter(() => state.wholeReads >= 3);
    const later = await queryPositionAfter(() => state.wholeReads >= 6);
    expect(following.knowsReplicas()).toEqual(true);
    expect(first).toEqual(15);
    expect(later).toEqual(first);
    entries.push(engineEntry("c"));
    const changed = await queryPositionAfter(() => state.wholeReads >= 9);
    expect(changed ?? 0).toBeGreaterThan(15);
  });
});

describe("a router that others read the store for", () => {
  // It reads the registry itself only every 20 s, and relies on proofs of readers in between.
  it("drops a replica that a restored store lacks as soon as a reader's proof shows that it is still missing", async () => {
    let listener: (datagram: Buffer, from: { address: string; port: number }) => void = () => undefined;
    const state = { epoch: 1, ids: ["a", "b"] };
    const positionNow = (): StorePosition => new StorePosition(state.epoch, 10);
    const reader = { address: "10.0.0.1", port: 2 };
    const link = {
      port: 1,
      send: (_: unknown, datagram: Buffer) => {
        const message = decodeProofMessage(datagram);
        if (message?.kind !== "question") return;
        const progress = { position: positionNow(), age: 0 };
        const { number } = message;
        const answer = { kind: "answer", number, operator: progress, replicas: progress } as const;
        queueMicrotask(() => listener(encodeProofMessage(answer), reader));
      },
      receive: (newListener: typeof listener) => {
        listener = newListener;
      },
    } as unknown as DatagramLink;
    const unchanged = (from: StorePosition) => ({ records: [], next: from, isComplete: true });
    const registry: Pick<RecordFeed<ReplicaEntry>, "newest" | "changes"> = {
      newest: () => {
        const records = state.ids.map((id) => ({ position: positionNow(), key: id, value: engineEntry(id) }));
        return Promise.resolve({ records, next: positionNow(), isComplete: true });
      },
      changes: (from) => Promise.resolve(unchanged(from)),
    };
    const operator: Pick<RecordFeed<OperatorRecord>, "newest" | "changes"> = {
      newest: () => Promise.resolve({ records: [], next: positionNow(), isComplete: true }),
      changes: async (from) => {
        await sleep(20);
        return unchanged(from);
      },
    };
    const epochs = createStoreEpochs();
    epochs.observe(1);
    const replicas = createReplicaTable();
    await using following = followStore({
      platform: {
        epochs,
        operator: operator as RecordFeed<OperatorRecord>,
        operatorCopies: operator as RecordFeed<OperatorRecord>,
        replicas: registry as RecordFeed<ReplicaEntry>,
      },
      self: "router-1",
      recovery: noRecovery,
      link,
      clock: systemClock,
      bounds: { ...bounds, drain: 4_000 },
      configuration: createConfigurationState(systemClock),
      replicas,
      peers: {
        countServing: () => 10,
        isLarge: () => true,
        isStoreReader: () => false,
        isFirstStoreReader: () => false,
        live: () => [],
        otherStoreReaders: () => [{ at: reader } as Peer],
      },
      onConfiguration: () => undefined,
    });
    while (!following.knowsReplicas()) await sleep(5);
    state.epoch = 2;
    state.ids = ["a"];
    epochs.observe(2);
    await sleep(recoveryDuration + 1_500);
    expect(replicas.all().map(({ entry }) => entry.id)).toEqual(["a"]);
  });
});
