/** Hedging: sends a request to a second engine if the first is slow to answer, and uses the faster one. */
import { upstreamError } from "../../protocol/errors.ts";
import type { Clock } from "../clock.ts";
import type { OpenAttempt } from "./attempt.ts";
import { createStopper } from "./stopper.ts";
import type { Stopper } from "./stopper.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

const toError = (error: unknown): Error =>
  error instanceof Error ? error : upstreamError("the attempt failed", "failed", "sent", error);

/** Opens an attempt; resolves once its first pieces have arrived. */
export type StartAttempt = (stopper: Stopper) => Promise<OpenAttempt>;

/** Two attempts of which the faster one is used. */
export interface HedgeRace {
  readonly clock: Clock;
  readonly first: StartAttempt;
  readonly second: StartAttempt;
  /** Delay before the second attempt starts, milliseconds. */
  readonly hedgeAfter: number;
  /** Called right before the second attempt starts, which it can prevent by returning false. */
  readonly mayHedge: () => boolean;
  readonly parent: Stopper;
}

/**
 * Runs both attempts. Only pieces of the faster one are passed on; the other one is cancelled.
 *
 * @returns The attempt whose first pieces arrived first; throws the last failure if both attempts failed, or the
 * first one failed before the second had started.
 */
export const raceAttempts = (race: HedgeRace): Promise<OpenAttempt> =>
  new Promise((resolve, reject) => {
    const running = new Set<Stopper>();
    let settled = false;

    const settle = (): void => {
      settled = true;
      cancelHedgeTimer();
      for (const loser of running) loser.stop("superseded");
    };

    const start = async (open: StartAttempt): Promise<void> => {
      const stopper = createStopper(race.parent);
      running.add(stopper);
      try {
        const attempt = await open(stopper);
        running.delete(stopper);
        if (settled) {
          attempt.close("cancelled");
          return;
        }
        settle();
        resolve(attempt);
      } catch (error) {
        running.delete(stopper);
        stopper.detach();
        if (settled || running.size > 0) return;
        settle();
        reject(toError(error));
      }
    };

    const cancelHedgeTimer = race.clock.after(race.hedgeAfter, () => {
      if (!settled && race.mayHedge()) runInBackground("startHedge", () => start(race.second));
    });
    runInBackground("startAttempt", () => start(race.first));
  });
