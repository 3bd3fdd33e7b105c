import type { EngineLoad, EngineOrderAction } from "../../protocol/types.ts";
import type { phases } from "./constants.ts";

/** Phase of an engine in a roll-out. */
export type RollOutPhase = (typeof phases)[keyof typeof phases];

/** Model, weights, adapters and role that the configuration requires an engine to run. */
export interface DesiredState {
  readonly model: string;
  readonly weightsVersion: string;
  /** `NAME@VERSION`, as engines report them. */
  readonly adapters: readonly string[];
  /** Role as engines report it; undefined if any role is acceptable. */
  readonly role: string | undefined;
}

/** State of one engine in a roll-out, shown to operators. */
export interface EngineRollOutView {
  readonly engine: string;
  readonly pool: string;
  readonly phase: RollOutPhase;
  readonly weightsVersion: string | null;
  readonly failures: number;
}

/** State of a deployment's roll-out, shown to operators. */
export interface RollOutView {
  readonly deployment: string;
  /** Whether this router holds the deployment's lease; if not, another router or none sends the orders. */
  readonly holding: boolean;
  readonly fencingNumber: number | null;
  /** Whether an engine has seen a higher fencing number than this router's. */
  readonly superseded: boolean;
  /** Number of engines in each phase. */
  readonly counts: Readonly<Record<string, number>>;
  /** Engines that are not in the desired state, at most 100. */
  readonly engines: readonly EngineRollOutView[];
}

/** Sends one order on condition that the engine still is as in the given report. Throws `UpstreamError`. */
export type SendOrder = (action: EngineOrderAction, lastLoad: EngineLoad) => Promise<void>;
