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
import { positionAt } from "../../tests/support/positions.ts";
import { defaultEpoch } from "../protocol/storeEpoch.ts";

/** A store that forgets its history: changes are to be had only as the newest of each key. */
const forgetful = (entries: () => readonly ReplicaEntry[]) => {
  const state = { end: 10, wholeReads: 0, reads: 0 };
  const feed: Pick<RecordFeed<ReplicaEntry>, "newest" | "changes"> = {
    newest: () => {
      state.wholeReads += 1;
      state.end += 5;
      const records = entries().map((value) => ({ position: positionAt(0), key: value.id, value }));
      return Promise.resolve({ records, next: positionAt(state.end), isComplete: true });
    },
    // Every third read comes before more is forgotten.
    changes: (from) => {
      state.reads += 1;
      return state.reads % 3 === 0
        ? Promise.resolve({ records: [], next: from, isComplete: true })
        : Promise.reject(platformError("records expired", "expired", false));
    },
  };
  return { state, feed: feed as RecordFeed<ReplicaEntry> };
};

describe("a reader of a store that forgets its history", () => {
  it("tells the others of news only if a whole read changes something", async () => {
    let listener: (datagram: Buffer, from: { address: string; port: number }) => void = () => undefined;
    const answers: ProofAnswer[] = [];
    const link = {
      port: 1,
      send: (_: unknown, datagram: Buffer) => {
        const message = decodeProofMessage(datagram);
        if (message?.kind === "answer") answers.push(message);
      },
      receive: (heard: typeof listener) => {
        listener = heard;
      },
    } as unknown as DatagramLink;
    const entries = [engineEntry("a"), engineEntry("b")];
    const { state, feed } = forgetful(() => entries);
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
        live: () => [],
        otherStoreReaders: () => [],
      },
      onConfiguration: () => undefined,
    });
    const askUntil = async (isDone: () => boolean): Promise<number | undefined> => {
      while (!isDone()) await sleep(5);
      await sleep(40);
      listener(encodeProofMessage({ kind: "question", number: 7 }), { address: "10.0.0.1", port: 2 });
      return answers.at(-1)?.replicas.position.offsetIn(defaultEpoch);
    };
    const first = await askUntil(() => state.wholeReads >= 3);
    const later = await askUntil(() => state.wholeReads >= 6);
    expect(following.knowsReplicas()).toEqual(true);
    expect(first).toEqual(15);
    expect(later).toEqual(first);
    entries.push(engineEntry("c"));
    const changed = await askUntil(() => state.wholeReads >= 9);
    expect(changed ?? 0).toBeGreaterThan(15);
  });
});
