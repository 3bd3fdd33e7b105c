/**
 * Brings one engine to what the configuration wants: drain, wait for its answers to end, change, verify,
 * admit. Each turn begins with a fresh report and does the one thing that it calls for, so the task goes on
 * from wherever an earlier holder, a lost answer or a crash of the engine left it.
 */
import { UpstreamError } from "../../protocol/errors.ts";
import type { EngineLoad, EngineOrderAction } from "../../protocol/types.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { maximumOrderFailures, phases } from "./constants.ts";
import { nextChange } from "./desiredState.ts";
import type { DesiredState, GiveOrder, RollOutPhase } from "./types.ts";

/** What the task works with. Times are milliseconds. */
export interface BringOverParts {
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly readLoad: () => Promise<EngineLoad>;
  readonly giveOrder: GiveOrder;
  /** Asked in each turn: a newer configuration may have come. */
  readonly desired: () => DesiredState | undefined;
  /** False once the lease or the engine is gone. */
  readonly mayGoOn: () => boolean;
  /** Answers that run longer after the drain are cut by the load. */
  readonly longestDrain: number;
  /** An order whose answer was lost may be carried out for so long. */
  readonly longestOrder: number;
  /** Between two looks at the engine. */
  readonly interval: number;
  readonly onPhase: (phase: RollOutPhase) => void;
}

const phaseOf = (action: EngineOrderAction): RollOutPhase => {
  if (action.kind === "drain") return phases.draining;
  return action.kind === "admit" ? phases.admitting : phases.loading;
};

/** Failures after which the next report says what came of the order. */
const isWorthALook = (error: unknown): boolean =>
  error instanceof UpstreamError && error.fault !== "stale_fencing";

interface Progress {
  /** Of the incarnation that all the rest is about. */
  incarnation: string | undefined;
  /** When the drain was first ordered. */
  drainedAt: number | undefined;
  admitted: boolean;
  /** Until then an order that failed may still be carried out. */
  uncertainUntil: number;
  orderFailures: number;
}

const newProgress = (incarnation: string | undefined): Progress => ({
  incarnation,
  drainedAt: undefined,
  admitted: false,
  uncertainUntil: Number.NEGATIVE_INFINITY,
  orderFailures: 0,
});

const isIdle = (load: EngineLoad): boolean => load.leaving && load.running + load.waiting === 0;

/** @returns What to order now; `wait` while answers run; nothing once the engine is as desired. */
const chooseAction = (
  load: EngineLoad,
  desired: DesiredState,
  progress: Progress,
  mustLoad: boolean,
): EngineOrderAction | "wait" | undefined => {
  const change = nextChange(load, desired);
  if (change === undefined) return load.leaving && !progress.admitted ? { kind: "admit" } : undefined;
  if (progress.drainedAt === undefined || !load.leaving) return { kind: "drain" };
  return isIdle(load) || mustLoad ? change : "wait";
};

/**
 * Runs the task.
 *
 * @returns True once the engine is as desired and has been admitted; false if the task may not go on. Throws
 * `UpstreamError` if the engine fails for longer than an order takes, or has seen a newer holder.
 */
export const bringOver = async (parts: BringOverParts): Promise<boolean> => {
  const { clock, signal } = parts;
  let progress = newProgress(undefined);

  const noteDone = (action: EngineOrderAction): void => {
    if (action.kind === "drain") progress.drainedAt ??= clock.monotonic();
    progress.admitted = action.kind === "admit";
  };

  /** Lets an engine that can't be changed now, say since the weight store is out, serve as it is. */
  const giveUp = async (load: EngineLoad, failure: unknown): Promise<never> => {
    if (load.leaving) await parts.giveOrder({ kind: "admit" }, load);
    throw failure;
  };

  const order = async (action: EngineOrderAction, load: EngineLoad): Promise<void> => {
    parts.onPhase(phaseOf(action));
    try {
      await parts.giveOrder(action, load);
      noteDone(action);
    } catch (error) {
      if (!isWorthALook(error)) throw error;
      progress.orderFailures += 1;
      if (progress.orderFailures >= maximumOrderFailures) await giveUp(load, error);
      progress.uncertainUntil = clock.monotonic() + parts.longestOrder;
      await pause(clock, parts.interval, signal);
    }
  };

  const read = async (): Promise<EngineLoad | undefined> => {
    try {
      return await parts.readLoad();
    } catch (error) {
      if (clock.monotonic() >= progress.uncertainUntil) throw error;
      await pause(clock, parts.interval, signal);
      return undefined;
    }
  };

  while (parts.mayGoOn() && !signal.aborted) {
    const load = await read();
    const desired = parts.desired();
    if (desired === undefined) return false;
    if (load === undefined) continue;
    if (load.incarnation !== progress.incarnation) progress = newProgress(load.incarnation);
    const { drainedAt } = progress;
    const mustLoad = drainedAt !== undefined && clock.monotonic() >= drainedAt + parts.longestDrain;
    const action = chooseAction(load, desired, progress, mustLoad);
    if (action === undefined) return !load.leaving;
    if (action === "wait") await pause(clock, parts.interval, signal);
    else await order(action, load);
  }
  return false;
};
