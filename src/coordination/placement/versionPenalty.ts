/** The cost of starting a request on weights that newer ones have superseded. */
import type { Clock } from "../clock.ts";
import type { ConfigurationState } from "../forwarding/configurationState.ts";
import {
  oldWeightsCutoffShare,
  oldWeightsGracePeriod,
  oldWeightsPenaltyShare,
} from "../forwarding/constants.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";

export interface VersionPenaltyDependencies {
  readonly configuration: Pick<ConfigurationState, "supersededBy">;
  readonly clock: Clock;
  readonly bounds: Pick<ForwardingBounds, "weights">;
}

/**
 * @param objective - The request's latency objective, milliseconds.
 * @param wait - Predicted time until the first token, milliseconds.
 * @returns The cost of the version, milliseconds; infinite if nothing may start on it any more.
 */
export type VersionPenalty = (model: string, version: number, objective: number, wait: number) => number;

export const createVersionPenalty =
  ({ configuration, clock, bounds }: VersionPenaltyDependencies): VersionPenalty =>
  (model, version, objective, wait) => {
    const wanted = configuration.supersededBy(model, version);
    if (wanted === undefined) return 0;
    const age = clock.monotonic() - wanted.learnedAt;
    // The request starts when the engine admits it, not when it is sent.
    if (age + wait >= bounds.weights * oldWeightsCutoffShare) return Number.POSITIVE_INFINITY;
    return age < oldWeightsGracePeriod ? 0 : objective * oldWeightsPenaltyShare;
  };
