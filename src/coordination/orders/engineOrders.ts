/** Sends orders to engines under one tenure of a deployment's lease. */
import { randomUUID } from "node:crypto";
import { UpstreamError, upstreamError } from "../../protocol/errors.ts";
import type { ModelEngine } from "../../protocol/ModelEngine.ts";
import type { EngineLoad, EngineOrderAction } from "../../protocol/types.ts";
import { metricNames } from "../../state/constants.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import type { Tenure } from "../leases/types.ts";
import { withTimeLimit } from "../timeLimit.ts";

export interface EngineOrdersDependencies {
  readonly tenure: Tenure;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

/** The engine that an order is sent to. */
export interface OrderTarget {
  readonly id: string;
  readonly connection: ModelEngine;
  /** Timeout for the execution of an order, in milliseconds. */
  readonly longestOrder: number;
}

/** Sends orders to engines under one tenure. */
export interface EngineOrders {
  /** Whether an engine has refused this tenure's fencing number because a newer holder has the lease. */
  readonly isSuperseded: () => boolean;
  /** Whether the tenure is valid, not superseded and not stopped. */
  readonly maySendOrders: () => boolean;
  /** Sends an order on condition that the engine still is as in its last report. Throws `UpstreamError`. */
  readonly send: (target: OrderTarget, action: EngineOrderAction, lastLoad: EngineLoad) => Promise<void>;
  /**
   * Sends an order that changes nothing, so that an engine which checks fencing numbers refuses orders of earlier
   * holders.
   */
  readonly raiseFence: (target: OrderTarget, lastLoad: EngineLoad) => Promise<void>;
}

const writeLog = createLogger("orders");

const outcomeOf = (error: unknown): string => (error instanceof UpstreamError ? error.fault : "failed");

/** Creates a sender of orders under one tenure. */
export const createEngineOrders = (dependencies: EngineOrdersDependencies): EngineOrders => {
  const { tenure, metrics, clock, signal } = dependencies;
  /** Incarnations of the engines that have accepted this tenure's fencing number, by engine id. */
  const fencedIncarnations = new Map<string, string>();
  let superseded = false;

  const maySendOrders = (): boolean => tenure.isValid() && !superseded && !signal.aborted;

  const noteFailure = (target: OrderTarget, error: unknown): void => {
    if (!(error instanceof UpstreamError) || error.fault !== "stale_fencing") return;
    superseded = true;
    writeLog("superseded", { engine: target.id, fencingNumber: tenure.fencingNumber });
  };

  const send = async (
    target: OrderTarget,
    action: EngineOrderAction,
    lastLoad: EngineLoad,
  ): Promise<void> => {
    const order = {
      id: `${tenure.fencingNumber}/${randomUUID()}`,
      fencingNumber: tenure.fencingNumber,
      ifIncarnation: lastLoad.incarnation,
      ifWeightsVersion: lastLoad.weightsVersion,
      action,
    };
    // Checked immediately before the order is sent, because this process may have been paused until now.
    if (!maySendOrders()) throw upstreamError("the lease is no longer held", "cancelled", "not_sent");
    let outcome = "done";
    try {
      await withTimeLimit(clock, signal, target.longestOrder, (limit) =>
        target.connection.order(order, limit),
      );
      fencedIncarnations.set(target.id, lastLoad.incarnation);
    } catch (error) {
      outcome = outcomeOf(error);
      noteFailure(target, error);
      throw error;
    } finally {
      metrics.count(metricNames.orders, 1, { action: action.kind, outcome });
    }
  };

  return {
    isSuperseded: () => superseded,
    maySendOrders,
    send,
    raiseFence: async (target, lastLoad) => {
      if (fencedIncarnations.get(target.id) === lastLoad.incarnation) return;
      await send(target, { kind: "set_role", role: lastLoad.role }, lastLoad);
    },
  };
};
