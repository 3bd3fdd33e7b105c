/** Tells engines to stop attempts that nobody reads any more; some of them only after a while. */
import type { ModelEngine } from "../../protocol/ModelEngine.ts";
import type { EngineReplica } from "../../state/engineDirectory.ts";
import type { Clock } from "../clock.ts";
import { resumeGrace } from "./constants.ts";

/** Cancels attempts. */
export interface AttemptCanceller {
  /**
   * @param mayReturn - The caller's connection has gone, which does not say whether the caller has; the engine
   * goes on for a while, so that the caller can pick the stream up at any router.
   */
  readonly cancel: (engine: EngineReplica, attempt: string, mayReturn: boolean) => void;
  /**
   * The caller has come back: the attempt is read again, and whoever read it before does not stop it.
   *
   * @returns A function that ends the new reading.
   */
  readonly retain: (attempt: string) => () => void;
}

/** Makes a canceller. */
export const createAttemptCanceller = (
  clock: Clock,
  connect: (engine: EngineReplica) => ModelEngine,
): AttemptCanceller => {
  const pending = new Map<string, () => void>();

  /** Attempts that were picked up again, with how many times they are being read. */
  const kept = new Map<string, number>();

  const keep = (attempt: string): (() => void) => {
    pending.get(attempt)?.();
    pending.delete(attempt);
    kept.set(attempt, (kept.get(attempt) ?? 0) + 1);
    return () => {
      const left = (kept.get(attempt) ?? 0) - 1;
      if (left > 0) kept.set(attempt, left);
      else kept.delete(attempt);
    };
  };

  const cancelNow = (engine: EngineReplica, attempt: string): void => {
    pending.delete(attempt);
    // A failure to tell the engine costs only its time.
    connect(engine)
      .cancel(attempt)
      .catch(() => undefined);
  };

  const cancel = (engine: EngineReplica, attempt: string, mayReturn: boolean): void => {
    // A caller can be back before its lost connection is noticed.
    if (kept.has(attempt)) return;
    if (!mayReturn) {
      cancelNow(engine, attempt);
      return;
    }
    const callOff = clock.after(resumeGrace, () => cancelNow(engine, attempt));
    pending.set(attempt, callOff);
  };

  return { cancel, retain: keep };
};
