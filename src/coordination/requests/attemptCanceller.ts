/** Cancels attempts that nobody reads any more, some of them only after a grace period. */
import type { ModelEngine } from "../../protocol/ModelEngine.ts";
import type { EngineReplica } from "../../state/engineDirectory.ts";
import type { Clock } from "../clock.ts";
import { resumeGrace } from "./constants.ts";

export interface AttemptCanceller {
  /**
   * Tells the engine to stop an attempt, unless the attempt is retained.
   *
   * @param mayReconnect - True if only the caller's connection was lost. The engine then continues for
   * `resumeGrace`, so that the caller can resume the stream through any router.
   */
  readonly cancel: (engine: EngineReplica, attempt: string, mayReconnect: boolean) => void;
  /**
   * Keeps an attempt running because its caller has reconnected and reads it again. Withdraws a pending
   * cancellation; the reader of the lost connection can't cancel the attempt any more.
   *
   * @returns A function that ends the retention.
   */
  readonly retain: (attempt: string) => () => void;
}

export const createAttemptCanceller = (
  clock: Clock,
  connect: (engine: EngineReplica) => ModelEngine,
): AttemptCanceller => {
  const pendingCancellations = new Map<string, () => void>();

  /** Number of readers of each attempt that was resumed. */
  const readersByAttempt = new Map<string, number>();

  const retain = (attempt: string): (() => void) => {
    pendingCancellations.get(attempt)?.();
    pendingCancellations.delete(attempt);
    readersByAttempt.set(attempt, (readersByAttempt.get(attempt) ?? 0) + 1);
    return () => {
      const remaining = (readersByAttempt.get(attempt) ?? 0) - 1;
      if (remaining > 0) readersByAttempt.set(attempt, remaining);
      else readersByAttempt.delete(attempt);
    };
  };

  const cancelNow = (engine: EngineReplica, attempt: string): void => {
    pendingCancellations.delete(attempt);
    // If this fails, the engine generates the rest for nobody; nothing else is lost.
    connect(engine)
      .cancel(attempt)
      .catch(() => undefined);
  };

  const cancel = (engine: EngineReplica, attempt: string, mayReconnect: boolean): void => {
    // A caller can reconnect before the loss of its old connection is noticed.
    if (readersByAttempt.has(attempt)) return;
    if (!mayReconnect) {
      cancelNow(engine, attempt);
      return;
    }
    const cancelTimer = clock.after(resumeGrace, () => cancelNow(engine, attempt));
    pendingCancellations.set(attempt, cancelTimer);
  };

  return { cancel, retain };
};
