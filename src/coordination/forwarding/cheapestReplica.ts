import type { ReplicaState } from "../../state/forwarding/replicaState.ts";

/** A replica with what choosing it is predicted to cost, milliseconds. */
export interface RankedReplica {
  readonly replica: ReplicaState;
  readonly cost: number;
}

/**
 * @param candidates - One at least.
 * @param random - A number from 0 to 1.
 * @returns The replica that costs least; among equals by chance, so that routers that know the same don't all
 * choose the same.
 */
export const rankByCost = (
  candidates: readonly ReplicaState[],
  predict: (replica: ReplicaState) => number,
  random: () => number,
): RankedReplica => {
  const [first, ...others] = candidates.map((replica) => ({ replica, cost: predict(replica) }));
  if (first === undefined) throw new RangeError("There are no candidates.");
  let best = first;
  let equals = 1;
  for (const ranked of others) {
    if (ranked.cost > best.cost) continue;
    equals = ranked.cost === best.cost ? equals + 1 : 1;
    if (equals === 1 || random() * equals < 1) best = ranked;
  }
  return best;
};
