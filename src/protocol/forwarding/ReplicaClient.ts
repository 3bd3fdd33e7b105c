import type {
  CacheChanges,
  CacheStore,
  EngineStatus,
  OrderOutcome,
  ReplicaAnswer,
  ReplicaCall,
  ReplicaEntry,
  WeightsOrder,
} from "./types.ts";

/**
 * What came of a try to connect.
 *
 * - `made`: it can be connected to.
 * - `refused`: its VM answers, and no process listens there.
 * - `silent`: nothing came back, from the replica or from the network before it.
 */
export type ConnectionTrial = "made" | "refused" | "silent";

/** The way to replicas. Methods throw `UpstreamError`. */
export abstract class ReplicaClient implements AsyncDisposable {
  /**
   * Sends a request once, never again by itself, and resolves with the head of its answer.
   *
   * @param signal - Ends the work at the replica too.
   */
  abstract send(call: ReplicaCall, signal: AbortSignal): Promise<ReplicaAnswer>;

  /** Tries to make a new connection within a time, milliseconds. */
  abstract tryConnection(replica: ReplicaEntry, timeout: number): Promise<ConnectionTrial>;

  /** Asks an engine for its state. */
  abstract readStatus(replica: ReplicaEntry, signal: AbortSignal): Promise<EngineStatus>;

  /**
   * Asks a store of prompt parts what it has taken in and dropped.
   *
   * @param since - The number that it named last; 0 for all that it remembers.
   */
  abstract readCacheChanges(store: CacheStore, since: number, signal: AbortSignal): Promise<CacheChanges>;

  /** Gives an order once. */
  abstract order(order: WeightsOrder, signal: AbortSignal): Promise<OrderOutcome>;

  /** @param limit - Most connections that this router may open to the replica. */
  abstract limitConnections(replica: ReplicaEntry, limit: number): void;

  /** Closes connections to a replica that is gone once they are idle. */
  abstract forget(replica: ReplicaEntry): void;

  abstract [Symbol.asyncDispose](): Promise<void>;
}
