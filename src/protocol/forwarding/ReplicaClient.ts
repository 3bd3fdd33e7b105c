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

/** A call to a replica that the gate checks before it is sent. */
export interface GuardedCall {
  /** Asks the gate; must be called right before the first byte is written. */
  readonly maySend: () => boolean;
  /** Runs the call. If the gate withheld it, throws the gate's error in place of the one that `send` threw. */
  readonly run: <T>(send: () => Promise<T>) => Promise<T>;
  /** Passes the head of the response to the gate. */
  readonly observe: (report: ReplicaReport) => void;
}

/**
 * The result of an attempt to connect to a replica.
 *
 * - `made`: the connection was established.
 * - `refused`: the VM is reachable, but no process listens on the port.
 * - `silent`: no reply from the replica's VM; the network in between may have reported that it is unreachable.
 */
export type ConnectionProbeResult = "made" | "refused" | "silent";

/**
 * The result of a request for an engine's status on a new connection.
 *
 * - `answered`: something came back.
 * - `accepted`: the connection was established, and nothing came back.
 * - `none`: no connection was established.
 */
export type AnswerProbeResult = "answered" | "accepted" | "none";

/** Sends requests to replicas, all of which pass one gate. Methods throw `UpstreamError`. */
export abstract class ReplicaClient implements AsyncDisposable {
  private gate: ReplicaGate = openGate;

  /** Sets the gate for all calls from now on. */
  useGate(gate: ReplicaGate): void {
    this.gate = gate;
  }

  /**
   * Sends a request once, without retries, and resolves when the head of the response has arrived.
   *
   * @param signal - Cancels the request, also at the replica.
   */
  async send(call: ReplicaCall, signal: AbortSignal): Promise<ReplicaAnswer> {
    const guarded = this.guard(call.replica, call.request.id);
    const maySend = (): boolean => guarded.maySend() && call.maySend();
    const answer = await guarded.run(() => this.transmit({ ...call, maySend }, signal));
    guarded.observe(answer.head);
    return answer;
  }

  /** Sends a request whose `maySend` already includes the gate's check. */
  protected abstract transmit(call: ReplicaCall, signal: AbortSignal): Promise<ReplicaAnswer>;

  /**
   * Registers a call with the gate.
   *
   * @param requestId - The id of the caller's request; `undefined` for the system's own calls.
   */
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

  /**
   * Tries to open a new connection.
   *
   * @param timeout - Milliseconds.
   */
  abstract probeConnection(replica: ReplicaEntry, timeout: number): Promise<ConnectionProbeResult>;

  /**
   * Requests the status of an engine on a new connection. What accepts connections may be something between this router
   * and the engine, which hands nothing on.
   *
   * @param timeout - Milliseconds.
   */
  abstract probeAnswer(engine: ReplicaEntry, timeout: number): Promise<AnswerProbeResult>;

  /** Reads the status of an engine. */
  abstract readStatus(replica: ReplicaEntry, signal: AbortSignal): Promise<EngineStatus>;

  /**
   * Reads which prompt parts a cache store has added and evicted.
   *
   * @param since - The `next` of the previous read; 0 for all changes that the store still has.
   */
  abstract readCacheChanges(store: CacheStore, since: number, signal: AbortSignal): Promise<CacheChanges>;

  /** Sends an order to an engine once, without retries. */
  abstract order(order: WeightsOrder, signal: AbortSignal): Promise<OrderOutcome>;

  /** @param limit - The number of connections that this router may open to the replica. */
  abstract limitConnections(replica: ReplicaEntry, limit: number): void;

  /** Closes the connections to a removed replica as they become idle. */
  abstract forget(replica: ReplicaEntry): void;

  abstract [Symbol.asyncDispose](): Promise<void>;
}
