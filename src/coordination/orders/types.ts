import type { EngineLoad, EngineOrderAction } from "../../protocol/types.ts";
import type { phases } from "./constants.ts";

/** Where an engine stands in a roll-out. */
export type RollOutPhase = (typeof phases)[keyof typeof phases];

/** What the configuration wants an engine to run. */
export interface DesiredState {
  readonly model: string;
  readonly weightsVersion: string;
  /** `NAME@VERSION`, as engines report them. */
  readonly adapters: readonly string[];
  /** In the engines' own words; nothing if any will do. */
  readonly role: string | undefined;
}

/** One engine in a roll-out, as an operator sees it. */
export interface EngineRollOutView {
  readonly engine: string;
  readonly pool: string;
  readonly phase: RollOutPhase;
  readonly weightsVersion: string | null;
  readonly failures: number;
}

/** A deployment's roll-out, as an operator sees it. */
export interface RollOutView {
  readonly deployment: string;
  /** False: another router gives the orders, or none does. */
  readonly holding: boolean;
  readonly fencingNumber: number | null;
  /** An engine has seen a higher number than ours. */
  readonly superseded: boolean;
  readonly counts: Readonly<Record<string, number>>;
  /** Engines that are not as desired; the first hundred. */
  readonly engines: readonly EngineRollOutView[];
}

/** Gives one order under the conditions that a report shows. Throws `UpstreamError`. */
export type GiveOrder = (action: EngineOrderAction, seen: EngineLoad) => Promise<void>;
