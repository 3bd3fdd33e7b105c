/** Asks a second engine where the first is slow with its first piece, and takes whichever is faster. */
import { upstreamError } from "../../protocol/errors.ts";
import type { Clock } from "../clock.ts";
import type { OpenAttempt } from "./attempt.ts";
import { createStopper } from "./stopper.ts";
import type { Stopper } from "./stopper.ts";

const asError = (error: unknown): Error =>
  error instanceof Error ? error : upstreamError("the attempt failed", "failed", "sent", error);

/** Opens an attempt. */
export type StartAttempt = (stopper: Stopper) => Promise<OpenAttempt>;

/** Two attempts that compete. */
export interface HedgeRace {
  readonly clock: Clock;
  readonly first: StartAttempt;
  readonly second: StartAttempt;
  /** Milliseconds after which the second begins. */
  readonly hedgeAfter: number;
  /** Asked right before the second begins. */
  readonly mayHedge: () => boolean;
  readonly parent: Stopper;
}

/**
 * Runs the race. Only the winner's pieces are ever read; the loser is cancelled.
 *
 * @returns The attempt that gave its first pieces first; throws the last failure if none did.
 */
export const raceAttempts = (race: HedgeRace): Promise<OpenAttempt> =>
  new Promise((resolve, reject) => {
    const running = new Set<Stopper>();
    let settled = false;

    const settle = (): void => {
      settled = true;
      callOff();
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
        reject(asError(error));
      }
    };

    const callOff = race.clock.after(race.hedgeAfter, () => {
      if (!settled && race.mayHedge()) void start(race.second);
    });
    void start(race.first);
  });
