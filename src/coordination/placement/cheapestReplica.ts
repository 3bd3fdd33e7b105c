import type { ReplicaState } from "../../state/forwarding/replicaState.ts";

/** A replica with the predicted cost of choosing it, milliseconds. */
export interface ReplicaWithCost {
  readonly replica: ReplicaState;
  readonly cost: number;
}

/**
 * Finds the replica with the lowest cost. Ties are broken at random, so that routers with the same view don't all
 * choose the same replica.
 *
 * @param candidates - At least one replica; throws a `RangeError` if empty.
 * @param predict - Returns the predicted cost of a replica, milliseconds.
 * @param random - Returns a random number from 0 to 1.
 */
export const cheapestReplica = (
  candidates: readonly ReplicaState[],
  predict: (replica: ReplicaState) => number,
  random: () => number,
): ReplicaWithCost => {
  const [first, ...others] = candidates.map((replica) => ({ replica, cost: predict(replica) }));
  if (first === undefined) throw new RangeError("There are no candidates.");
  let best = first;
  let ties = 1;
  for (const candidate of others) {
    if (candidate.cost > best.cost) continue;
    ties = candidate.cost === best.cost ? ties + 1 : 1;
    if (ties === 1 || random() * ties < 1) best = candidate;
  }
  return best;
};
