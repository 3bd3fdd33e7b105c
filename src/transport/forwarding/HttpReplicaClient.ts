/** Replicas over HTTP/1.1: one pool of connections for each incarnation, so that none outlives its replica. */
import { connect } from "node:net";
import { buildConnector, Pool } from "undici";
import { upstreamError } from "../../protocol/errors.ts";
import { collectBody } from "../../protocol/forwarding/collectBody.ts";
import type { ForwardingWire } from "../../protocol/forwarding/ForwardingWire.ts";
import type { ConnectionProbeResult } from "../../protocol/forwarding/ReplicaClient.ts";
import { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { ReplicaAnswer, ReplicaCall, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { RawAnswer } from "./answerReader.ts";
import { createAnswerReader } from "./answerReader.ts";
import { createResetWatch } from "./resetMonitor.ts";

/** Longest connection attempt, milliseconds: a silent replica is left for another one soon. */
const connectTimeout = 400;

/** How long a connection may be idle where the replica names no time, milliseconds. */
const idleTimeout = 4_000;

/** Closed so much before the time that the replica names: a request must not meet the close. Milliseconds. */
const idleMargin = 1_000;

/** Connections to a replica until a limit is set. */
const assumedConnections = 8;

/** Failures to connect that the network reports, not the VM of the replica. */
const networkFailures: ReadonlySet<string> = new Set(["EHOSTUNREACH", "ENETUNREACH", "ETIMEDOUT"]);

/** A call that is no caller's request. */
export interface SystemCall {
  readonly method: "GET" | "POST";
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body?: string;
}

/** A whole answer to a call that is no caller's request. */
export interface SystemAnswer {
  readonly status: number;
  readonly text: string;
}

/** The connections; how engines are asked and ordered is for an adapter to say. */
export abstract class HttpReplicaClient extends ReplicaClient {
  private readonly wire: ForwardingWire;
  private readonly pools = new Map<string, Pool>();
  private readonly limits = new Map<string, number>();
  private readonly resets = createResetWatch();

  constructor(wire: ForwardingWire) {
    super();
    this.wire = wire;
  }

  protected override async transmit(call: ReplicaCall, signal: AbortSignal): Promise<ReplicaAnswer> {
    const { request, replica, maySend: mayLeave } = call;
    const reader = createAnswerReader(mayLeave, signal, this.resets.isResetting);
    this.poolOf(replica).dispatch(
      {
        method: request.method,
        path: request.target,
        headers: this.wire.encodeCall(call),
        body: request.body.length === 0 ? null : request.body,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      reader.handler,
    );
    const { status, headers, body } = await reader.answer;
    return { head: this.wire.decodeAnswer(status, headers), body };
  }

  override tryConnection({ address }: ReplicaEntry, timeout: number): Promise<ConnectionProbeResult> {
    const [host, port] = address.split(":");
    return new Promise((resolve) => {
      const socket = connect({ host, port: Number(port), timeout });
      const end = (trial: ConnectionProbeResult): void => {
        socket.destroy();
        resolve(trial);
      };
      socket.once("connect", () => end("made"));
      socket.once("timeout", () => end("silent"));
      socket.once("error", ({ code = "" }: NodeJS.ErrnoException) =>
        end(networkFailures.has(code) ? "silent" : "refused"),
      );
    });
  }

  override limitConnections(replica: ReplicaEntry, limit: number): void {
    this.limits.set(replica.id, Math.max(1, limit));
  }

  override forget(replica: ReplicaEntry): void {
    const pool = this.pools.get(replica.id);
    this.pools.delete(replica.id);
    this.limits.delete(replica.id);
    // Waits for what is under way; nobody waits for it.
    void pool?.close().catch(() => undefined);
  }

  override async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
    this.pools.clear();
  }

  /** Makes a call of the system's own to a replica. */
  protected sendToReplica(
    replica: ReplicaEntry,
    call: SystemCall,
    signal: AbortSignal,
  ): Promise<SystemAnswer> {
    const guarded = this.guard(replica, undefined);
    const observe = ({ status, headers }: RawAnswer): void =>
      guarded.observe(this.wire.decodeAnswer(status, headers));
    return guarded.run(() => this.sendToHost(replica, call, signal, guarded.maySend, observe));
  }

  /** Makes a call of the system's own to something that is no replica. */
  protected async sendToHost(
    target: Pick<ReplicaEntry, "id" | "address">,
    { method, path, headers, body }: SystemCall,
    signal: AbortSignal,
    mayLeave = (): boolean => true,
    observe: (answer: RawAnswer) => void = () => undefined,
  ): Promise<SystemAnswer> {
    const reader = createAnswerReader(() => !signal.aborted && mayLeave(), signal, this.resets.isResetting);
    this.poolOf(target).dispatch({ method, path, headers, body: body ?? null }, reader.handler);
    const answer = await reader.answer;
    observe(answer);
    const text = (await collectBody(answer.body)).toString();
    if (answer.status >= 500) {
      throw upstreamError(`${path}: status ${answer.status}`, "failed", "sent", undefined, answer.status);
    }
    return { status: answer.status, text };
  }

  private poolOf(replica: Pick<ReplicaEntry, "id" | "address">): Pool {
    const known = this.pools.get(replica.id);
    if (known !== undefined) return known;
    const made = new Pool(`http://${replica.address}`, {
      connections: this.limits.get(replica.id) ?? assumedConnections,
      pipelining: 1,
      keepAliveTimeout: idleTimeout,
      keepAliveTimeoutThreshold: idleMargin,
      connect: this.resets.connector(buildConnector({ timeout: connectTimeout })),
    });
    this.pools.set(replica.id, made);
    return made;
  }
}
