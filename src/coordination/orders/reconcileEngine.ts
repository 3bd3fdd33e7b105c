/**
 * Brings one engine to the desired state: drain, wait until its requests have ended, change, verify, admit. Each
 * iteration reads a fresh report and takes the single step that it calls for, so that the task continues from any
 * state left by an earlier lease holder, a lost answer or a crash of the engine.
 */
import { UpstreamError } from "../../protocol/errors.ts";
import type { EngineLoad, EngineOrderAction } from "../../protocol/types.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { maxOrderFailures, phases } from "./constants.ts";
import { nextChange } from "./desiredState.ts";
import type { DesiredState, SendOrder, RollOutPhase } from "./types.ts";

/** Times are in milliseconds. */
export interface ReconcileEngineDependencies {
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly readLoad: () => Promise<EngineLoad>;
  readonly sendOrder: SendOrder;
  /** Called in each iteration, because the configuration may have changed. */
  readonly desired: () => DesiredState | undefined;
  /** Whether the lease is still held and the engine still listed. */
  readonly mayContinue: () => boolean;
  /** Time after the drain at which the load starts, cutting off requests that are still running. */
  readonly longestDrain: number;
  /** Time for which an order whose answer was lost may still be executing. */
  readonly longestOrder: number;
  /** Interval between polls of the engine. */
  readonly interval: number;
  readonly onPhase: (phase: RollOutPhase) => void;
}

const phaseOf = (action: EngineOrderAction): RollOutPhase => {
  if (action.kind === "drain") return phases.draining;
  return action.kind === "admit" ? phases.admitting : phases.loading;
};

/** Whether the next report shows the outcome of an order that failed with this error. */
const isResolvedByNextReport = (error: unknown): boolean =>
  error instanceof UpstreamError && error.fault !== "stale_fencing";

/** Progress with one incarnation of the engine. */
interface Progress {
  /** The incarnation that the other fields refer to. */
  incarnation: string | undefined;
  /** When the first drain order succeeded. */
  drainedAt: number | undefined;
  admitted: boolean;
  /** Until this time an order that failed may still be executing. */
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

/**
 * @returns The order to send now; `wait` while requests are running; undefined once the engine is in the desired
 * state.
 */
const chooseAction = (
  load: EngineLoad,
  desired: DesiredState,
  progress: Progress,
  isDrainTimedOut: boolean,
): EngineOrderAction | "wait" | undefined => {
  const change = nextChange(load, desired);
  if (change === undefined) return load.leaving && !progress.admitted ? { kind: "admit" } : undefined;
  if (progress.drainedAt === undefined || !load.leaving) return { kind: "drain" };
  return isIdle(load) || isDrainTimedOut ? change : "wait";
};

/**
 * Changes an engine step by step until it is in the desired state.
 *
 * @returns True once the engine is in the desired state and admitted; false if the task may not continue. Throws
 * `UpstreamError` if the engine fails for longer than an order takes, or has seen a newer lease holder.
 */
export const reconcileEngine = async (dependencies: ReconcileEngineDependencies): Promise<boolean> => {
  const { clock, signal } = dependencies;
  let progress = newProgress(undefined);

  const noteSuccess = (action: EngineOrderAction): void => {
    if (action.kind === "drain") progress.drainedAt ??= clock.monotonic();
    progress.admitted = action.kind === "admit";
  };

  /**
   * Admits an engine that cannot be changed now, for example during an outage of the weight store, so that it
   * serves unchanged.
   */
  const giveUp = async (load: EngineLoad, failure: unknown): Promise<never> => {
    if (load.leaving) await dependencies.sendOrder({ kind: "admit" }, load);
    throw failure;
  };

  const order = async (action: EngineOrderAction, load: EngineLoad): Promise<void> => {
    dependencies.onPhase(phaseOf(action));
    try {
      await dependencies.sendOrder(action, load);
      noteSuccess(action);
    } catch (error) {
      if (!isResolvedByNextReport(error)) throw error;
      progress.orderFailures += 1;
      if (progress.orderFailures >= maxOrderFailures) await giveUp(load, error);
      progress.uncertainUntil = clock.monotonic() + dependencies.longestOrder;
      await pause(clock, dependencies.interval, signal);
    }
  };

  const read = async (): Promise<EngineLoad | undefined> => {
    try {
      return await dependencies.readLoad();
    } catch (error) {
      if (clock.monotonic() >= progress.uncertainUntil) throw error;
      await pause(clock, dependencies.interval, signal);
      return undefined;
    }
  };

  while (dependencies.mayContinue() && !signal.aborted) {
    const load = await read();
    const desired = dependencies.desired();
    if (desired === undefined) return false;
    if (load === undefined) continue;
    if (load.incarnation !== progress.incarnation) progress = newProgress(load.incarnation);
    const { drainedAt } = progress;
    const isDrainTimedOut =
      drainedAt !== undefined && clock.monotonic() >= drainedAt + dependencies.longestDrain;
    const action = chooseAction(load, desired, progress, isDrainTimedOut);
    if (action === undefined) return !load.leaving;
    if (action === "wait") await pause(clock, dependencies.interval, signal);
    else await order(action, load);
  }
  return false;
};
