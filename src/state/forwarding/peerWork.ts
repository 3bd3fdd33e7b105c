/** The work of other routers at replicas, as far as they reported it, kept with its sums. */
import type { ReplicaKey } from "../../protocol/forwarding/peerMessage.ts";
import type { ReplicaState, ReplicaWork } from "./replicaState.ts";
import { priorities } from "./replicaState.ts";

const addToTotals = ({ peerTotals }: ReplicaState, work: ReplicaWork, sign: 1 | -1): void => {
  peerTotals.requests += sign * work.requests;
  work.promptTokens.slice(0, priorities).forEach((tokens, priority) => {
    peerTotals.promptTokens[priority] = (peerTotals.promptTokens[priority] ?? 0) + sign * tokens;
  });
};

/** See {@link createPeerWork}. */
export interface PeerWork {
  /** Replaces all that a peer reported before. */
  readonly note: (peer: string, work: ReadonlyMap<ReplicaKey, ReplicaWork>) => void;
  /** Replaces what a teller reported of one replica. */
  readonly noteAt: (teller: string, key: ReplicaKey, work: ReplicaWork) => void;
  /** Replaces what anybody reported of one replica. */
  readonly replaceAt: (teller: string, key: ReplicaKey, work: ReplicaWork) => void;
}

/** Creates an account without work. */
export const createPeerWork = (stateOf: (key: ReplicaKey) => ReplicaState | undefined): PeerWork => {
  /** By peer: the replicas where its last message told of work. */
  const busyFor = new Map<string, readonly ReplicaState[]>();

  const dropWorkAt = (state: ReplicaState, teller: string): void => {
    const work = state.peers.get(teller);
    if (work === undefined) return;
    state.peers.delete(teller);
    addToTotals(state, work, -1);
  };

  const dropWork = (peer: string): void => {
    for (const state of busyFor.get(peer) ?? []) dropWorkAt(state, peer);
    busyFor.delete(peer);
  };

  const note = (peer: string, work: ReadonlyMap<ReplicaKey, ReplicaWork>): void => {
    dropWork(peer);
    const busy: ReplicaState[] = [];
    for (const [key, atReplica] of work) {
      const state = stateOf(key);
      if (state === undefined) continue;
      state.peers.set(peer, atReplica);
      addToTotals(state, atReplica, 1);
      busy.push(state);
    }
    if (busy.length > 0) busyFor.set(peer, busy);
  };

  const noteAt = (teller: string, key: ReplicaKey, work: ReplicaWork): void => {
    const state = stateOf(key);
    if (state === undefined) return;
    dropWorkAt(state, teller);
    if (work.requests === 0) return;
    state.peers.set(teller, work);
    addToTotals(state, work, 1);
  };

  const replaceAt = (teller: string, key: ReplicaKey, work: ReplicaWork): void => {
    const state = stateOf(key);
    for (const each of [...(state?.peers.keys() ?? [])]) {
      if (state !== undefined) dropWorkAt(state, each);
    }
    noteAt(teller, key, work);
  };

  return { note, noteAt, replaceAt };
};
