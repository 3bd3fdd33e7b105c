/**
 * What is known of the weights that a replica runs. Versions only increase within one incarnation, so late statements
 * with an older version have no effect. An incarnation that is not told apart from the previous one, since its
 * registration lacks the time of its start, may run older weights: it denies the newer ones.
 */
import type { ReplicaState } from "./replicaState.ts";

/** A refusal to run a request because the replica has other weights. */
export interface WeightsDenial {
  readonly version: number;
  /** When the refusal arrived, milliseconds on the monotonic clock. */
  readonly at: number;
}

type WeightsState = Pick<ReplicaState, "weights" | "deniedWeights">;

/** Whether a replica denies the weights that it is known to run, so that nothing is known until newer evidence. */
export const deniesKnownWeights = ({ weights, deniedWeights }: WeightsState, model: string): boolean => {
  const denial = deniedWeights.get(model);
  return denial !== undefined && denial.version === weights.get(model);
};

/** Whether a statement that the replica runs weights contradicts a refusal that is newer. */
const isRefuted = ({ deniedWeights }: WeightsState, model: string, version: number, at: number): boolean => {
  const denial = deniedWeights.get(model);
  return denial?.version === version && at <= denial.at;
};

/**
 * Raises the known version.
 *
 * @param at - The replica ran the version at this time or later; negative infinity if unknown.
 */
export const raiseWeights = (state: WeightsState, model: string, version: number, at: number): void => {
  if (isRefuted(state, model, version, at)) return;
  if (state.deniedWeights.get(model)?.version === version) state.deniedWeights.delete(model);
  if (version > (state.weights.get(model) ?? 0)) state.weights.set(model, version);
};

/** Sets the version that the replica itself reports, also a lower one if it denies the known one. */
export const setReportedWeights = (state: WeightsState, model: string, version: number, at: number): void => {
  const isUnknown = deniesKnownWeights(state, model);
  if (isUnknown && !isRefuted(state, model, version, at)) state.weights.set(model, version);
  raiseWeights(state, model, version, at);
};
