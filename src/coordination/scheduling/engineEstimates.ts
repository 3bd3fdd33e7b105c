/** The estimates of all engines of a directory, kept as long as the directory keeps the engine. */
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import { commonRetentionGain, firstRetention, unknownPool } from "./constants.ts";
import { createEngineEstimate } from "./engineEstimate.ts";
import type { EngineEstimate } from "./engineEstimate.ts";

/** Estimates by engine. */
export interface EngineEstimates extends Disposable {
  /** @returns The engine's estimate with its last report taken in. */
  readonly of: (engine: EngineReplica, now: number) => EngineEstimate;
  /** @returns How long engines usually keep unused prefixes, milliseconds. */
  readonly retention: () => number;
  /** Learns from an answer of an engine whether a belief held; see {@link EngineEstimate}. */
  readonly learnRetention: (estimate: EngineEstimate, held: boolean, confidence: number) => void;
}

/** Makes estimates over a directory. */
export const createEngineEstimates = (
  directory: EngineDirectory,
  configuration: () => ConfigurationIndex | undefined,
): EngineEstimates => {
  const estimates = new Map<string, EngineEstimate>();
  let retention = firstRetention;
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
      estimate.refresh(engine, configuration()?.pools.get(engine.pool) ?? unknownPool, now);
      return estimate;
    },
    retention: () => retention,
    learnRetention: (estimate, held, confidence) => {
      estimate.learnRetention(held, confidence);
      retention += (estimate.retention() - retention) * commonRetentionGain;
    },
    [Symbol.dispose]: unsubscribe,
  };
};
