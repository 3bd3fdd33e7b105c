/** Tracks the work that other routers report to have at replicas, and its totals by replica. */
import type { ReplicaKey } from "../../protocol/forwarding/peerMessage.ts";
import type { ReplicaState, ReplicaWork } from "./replicaState.ts";
import { priorities } from "./replicaState.ts";

const addToTotals = ({ peerTotals }: ReplicaState, work: ReplicaWork, sign: 1 | -1): void => {
  peerTotals.requests += sign * work.requests;
  work.promptTokens.slice(0, priorities).forEach((tokens, priority) => {
    peerTotals.promptTokens[priority] = (peerTotals.promptTokens[priority] ?? 0) + sign * tokens;
  });
  peerTotals.reservedTokens += sign * (work.reservedTokens ?? 0);
  for (const { key, promptTokens } of work.organisations ?? []) {
    const tokens = (peerTotals.organisationTokens.get(key) ?? 0) + sign * promptTokens;
    if (tokens > 0) peerTotals.organisationTokens.set(key, tokens);
    else peerTotals.organisationTokens.delete(key);
  }
};

/** The work of other routers at replicas. Work at a replica that is not known is ignored. */
export interface PeerWork {
  /** Replaces all work that a peer reported before. */
  readonly note: (peer: string, work: ReadonlyMap<ReplicaKey, ReplicaWork>) => void;
  /** Replaces the work that one router reported at one replica. */
  readonly noteAt: (reporter: string, key: ReplicaKey, work: ReplicaWork) => void;
  /** Replaces the work that any router reported at one replica. */
  readonly replaceAt: (reporter: string, key: ReplicaKey, work: ReplicaWork) => void;
}

export const createPeerWork = (stateOf: (key: ReplicaKey) => ReplicaState | undefined): PeerWork => {
  /** By peer: the replicas at which its last message reported work. */
  const busyReplicas = new Map<string, readonly ReplicaState[]>();

  const dropWorkAt = (state: ReplicaState, reporter: string): void => {
    const work = state.peers.get(reporter);
    if (work === undefined) return;
    state.peers.delete(reporter);
    addToTotals(state, work, -1);
  };

  const dropWork = (peer: string): void => {
    for (const state of busyReplicas.get(peer) ?? []) dropWorkAt(state, peer);
    busyReplicas.delete(peer);
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
    if (busy.length > 0) busyReplicas.set(peer, busy);
  };

  const noteAt = (reporter: string, key: ReplicaKey, work: ReplicaWork): void => {
    const state = stateOf(key);
    if (state === undefined) return;
    dropWorkAt(state, reporter);
    if (work.requests === 0) return;
    state.peers.set(reporter, work);
    addToTotals(state, work, 1);
  };

  const replaceAt = (reporter: string, key: ReplicaKey, work: ReplicaWork): void => {
    const state = stateOf(key);
    for (const other of [...(state?.peers.keys() ?? [])]) {
      if (state !== undefined) dropWorkAt(state, other);
    }
    noteAt(reporter, key, work);
  };

  return { note, noteAt, replaceAt };
};
