/** Gives orders to engines under one tenure of a deployment's lease. */
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

/** What orders work with. */
export interface EngineOrdersParts {
  readonly tenure: Tenure;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

/** The engine that an order is for. */
export interface OrderTarget {
  readonly id: string;
  readonly connection: ModelEngine;
  /** Longest wait for the order to be carried out, milliseconds. */
  readonly longestOrder: number;
}

/** See {@link createEngineOrders}. */
export interface EngineOrders {
  /** True once an engine has refused this tenure's number: somebody else holds the lease. */
  readonly isSuperseded: () => boolean;
  /** True while orders may be given. */
  readonly mayOrder: () => boolean;
  /** Gives an order on condition of what has been seen of the engine. Throws `UpstreamError`. */
  readonly give: (target: OrderTarget, action: EngineOrderAction, seen: EngineLoad) => Promise<void>;
  /** Makes an engine that checks refuse every earlier holder's orders, by an order that changes nothing. */
  readonly raiseFence: (target: OrderTarget, seen: EngineLoad) => Promise<void>;
}

const writeLog = createLogger("orders");

const outcomeOf = (error: unknown): string => (error instanceof UpstreamError ? error.fault : "failed");

/** Creates the orders of one tenure. */
export const createEngineOrders = (parts: EngineOrdersParts): EngineOrders => {
  const { tenure, metrics, clock, signal } = parts;
  /** Engines that have seen this tenure's number, and in which incarnation. */
  const raised = new Map<string, string>();
  let superseded = false;

  const mayOrder = (): boolean => tenure.isValid() && !superseded && !signal.aborted;

  const noteFailure = (target: OrderTarget, error: unknown): void => {
    if (!(error instanceof UpstreamError) || error.fault !== "stale_fencing") return;
    superseded = true;
    writeLog("superseded", { engine: target.id, fencingNumber: tenure.fencingNumber });
  };

  const give = async (target: OrderTarget, action: EngineOrderAction, seen: EngineLoad): Promise<void> => {
    const order = {
      id: `${tenure.fencingNumber}/${randomUUID()}`,
      fencingNumber: tenure.fencingNumber,
      ifIncarnation: seen.incarnation,
      ifWeightsVersion: seen.weightsVersion,
      action,
    };
    // The last thing before the order leaves: this process may have been paused until now.
    if (!mayOrder()) throw upstreamError("the lease is no longer held", "cancelled", "not_sent");
    let outcome = "done";
    try {
      await withTimeLimit(clock, signal, target.longestOrder, (limit) =>
        target.connection.order(order, limit),
      );
      raised.set(target.id, seen.incarnation);
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
    mayOrder,
    give,
    raiseFence: async (target, seen) => {
      if (raised.get(target.id) === seen.incarnation) return;
      await give(target, { kind: "set_role", role: seen.role }, seen);
    },
  };
};
