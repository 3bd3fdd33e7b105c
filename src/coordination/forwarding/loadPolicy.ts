/** The parameters of load decisions that simulated experiments vary; routers use {@link defaultLoadPolicy}. */
import {
  evictionRisk,
  homePreference,
  sheddingThreshold,
  lossWorthSaving,
  partWaitShare,
  saveLinkShare,
} from "./constants.ts";

/**
 * One set of parameters. Experiment files use these field names; the constants that {@link defaultLoadPolicy} assigns
 * to them explain what each is for.
 */
export interface LoadPolicy {
  /** Milliseconds. */
  readonly homePreference: number;
  readonly evictionRisk: number;
  /** Latency objectives; infinity sheds nothing for its predicted lateness. */
  readonly latenessTurnedAway: number;
  /** Share of the latency objective; with 0 requests never wait for a part. */
  readonly partWaitShare: number;
  readonly lossWorthSaving: number;
  /** Share of the link's time; with 0 nothing is saved. */
  readonly saveLinkShare: number;
}

/** The parameters that routers use. */
export const defaultLoadPolicy: LoadPolicy = {
  homePreference,
  evictionRisk,
  latenessTurnedAway: sheddingThreshold,
  partWaitShare,
  lossWorthSaving,
  saveLinkShare,
};
