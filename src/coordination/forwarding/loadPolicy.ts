/** The limits and weights of load decisions that experiments vary; routers use {@link defaultLoadPolicy}. */
import {
  evictionRisk,
  homePreference,
  latenessTurnedAway,
  lossWorthSaving,
  partWaitShare,
  saveLinkShare,
} from "./constants.ts";

/** One set of limits and weights; the constants of the same names say what each is for. */
export interface LoadPolicy {
  /** Milliseconds. */
  readonly homePreference: number;
  readonly evictionRisk: number;
  /** Latency objectives; infinity turns nothing away for being late. */
  readonly latenessTurnedAway: number;
  /** Share of the latency objective; 0 waits for no part. */
  readonly partWaitShare: number;
  readonly lossWorthSaving: number;
  /** Share of the link's time; 0 saves nothing. */
  readonly saveLinkShare: number;
}

/** What routers use. */
export const defaultLoadPolicy: LoadPolicy = {
  homePreference,
  evictionRisk,
  latenessTurnedAway,
  partWaitShare,
  lossWorthSaving,
  saveLinkShare,
};
