import type { UpstreamError } from "../errors.ts";
import type { ReplicaGate } from "./ReplicaGate.ts";
import { openGate } from "./ReplicaGate.ts";
import type {
  CacheChanges,
  CacheStore,
  EngineStatus,
  OrderOutcome,
  ReplicaAnswer,
  ReplicaCall,
  ReplicaEntry,
  ReplicaReport,
  WeightsOrder,
} from "./types.ts";

/** A call that has entered the gate. */
export interface GuardedCall {
  readonly maySend: () => boolean;
  /** Sends it; throws the gate's reason where the gate withheld it. */
  readonly run: <T>(send: () => Promise<T>) => Promise<T>;
  readonly observe: (report: ReplicaReport) => void;
}

/**
 * What came of a try to connect.
 *
 * - `made`: it can be connected to.
 * - `refused`: its VM answers, and no process listens there.
 * - `silent`: nothing came back, from the replica or from the network before it.
 */
export type ConnectionProbeResult = "made" | "refused" | "silent";

/** The way to replicas; every path to them passes one gate. Methods throw `UpstreamError`. */
export abstract class ReplicaClient implements AsyncDisposable {
  private gate: ReplicaGate = openGate;

  /** Sets what everything that is sent from now on passes. */
  useGate(gate: ReplicaGate): void {
    this.gate = gate;
  }

  /**
   * Sends a request once, never again by itself, and resolves with the head of its answer.
   *
   * @param signal - Ends the work at the replica too.
   */
  async send(call: ReplicaCall, signal: AbortSignal): Promise<ReplicaAnswer> {
    const guarded = this.guard(call.replica, call.request.id);
    const mayLeave = (): boolean => guarded.maySend() && call.maySend();
    const answer = await guarded.run(() => this.transmit({ ...call, maySend: mayLeave }, signal));
    guarded.observe(answer.head);
    return answer;
  }

  /** Sends a request that has entered the gate. */
  protected abstract transmit(call: ReplicaCall, signal: AbortSignal): Promise<ReplicaAnswer>;

  /** Lets a request enter the gate. @param requestId - Nothing for a call of the system's own. */
  protected guard(replica: ReplicaEntry, requestId: string | undefined): GuardedCall {
    const pass = this.gate.enter(replica, requestId);
    let withheld: UpstreamError | undefined;
    return {
      maySend: () => {
        withheld = pass.withhold();
        return withheld === undefined;
      },
      run: async (send) => {
        try {
          return await send();
        } catch (error) {
          throw withheld ?? error;
        }
      },
      observe: pass.observe,
    };
  }

  /** Tries to make a new connection within a time, milliseconds. */
  abstract tryConnection(replica: ReplicaEntry, timeout: number): Promise<ConnectionProbeResult>;

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
