/** Estimates for all engines of a directory; an estimate is removed together with its engine. */
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import { meanRetentionGain, initialRetention, defaultPoolCapacity } from "./constants.ts";
import { createEngineEstimate } from "./engineEstimate.ts";
import type { EngineEstimate } from "./engineEstimate.ts";

export interface EngineEstimates extends Disposable {
  /** @returns The engine's estimate, up to date with its last report. */
  readonly of: (engine: EngineReplica, now: number) => EngineEstimate;
  /** @returns How long engines keep unused prefixes on average, milliseconds. */
  readonly retention: () => number;
  /** Learns the retention of an engine, and the mean of all engines, from an answer. */
  readonly learnRetention: (estimate: EngineEstimate, wasCached: boolean, confidence: number) => void;
}

/** Creates estimates that follow a directory until they are disposed. */
export const createEngineEstimates = (
  directory: EngineDirectory,
  configuration: () => ConfigurationIndex | undefined,
): EngineEstimates => {
  const estimates = new Map<string, EngineEstimate>();
  let retention = initialRetention;
  const unsubscribe = directory.subscribe(({ kind, engine }) => {
    if (kind === "removed") estimates.delete(engine.id);
  });

  return {
    of: (engine, now) => {
      let estimate = estimates.get(engine.id);
      if (estimate === undefined) {
        estimate = createEngineEstimate();
        estimates.set(engine.id, estimate);
      }
      estimate.refresh(engine, configuration()?.pools.get(engine.pool) ?? defaultPoolCapacity, now);
      return estimate;
    },
    retention: () => retention,
    learnRetention: (estimate, wasCached, confidence) => {
      estimate.learnRetention(wasCached, confidence);
      retention += (estimate.retention() - retention) * meanRetentionGain;
    },
    [Symbol.dispose]: unsubscribe,
  };
};
