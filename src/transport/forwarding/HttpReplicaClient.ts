/**
 * HTTP/1.1 client for replicas. Each replica id has its own connection pool. Ids differ between starts of a replica if
 * the registry gives the time of the start.
 */
import { connect } from "node:net";
import type { Pool } from "undici";
import { upstreamError } from "../../protocol/errors.ts";
import { collectBody } from "../../protocol/forwarding/collectBody.ts";
import type { ForwardingWire } from "../../protocol/forwarding/ForwardingWire.ts";
import type { AnswerProbeResult, ConnectionProbeResult } from "../../protocol/forwarding/ReplicaClient.ts";
import { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { ReplicaAnswer, ReplicaCall, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import { hostAndPortOf } from "../../protocol/networkAddress.ts";
import type { RawAnswer } from "./answerReader.ts";
import { createGuardedPool } from "../connectionGuard.ts";
import { framingOf } from "./answerFraming.ts";
import { createAnswerReader } from "./answerReader.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

/** Timeout of a connection attempt, milliseconds; short, so that requests soon move on from unreachable replicas. */
const connectTimeout = 400;

/** How long a connection may be idle if the replica sends no keep-alive timeout, milliseconds. */
const defaultIdleTimeout = 4_000;

/**
 * How long before the end of the replica's keep-alive timeout an idle connection is closed, milliseconds. Without this
 * margin a request could be sent just as the replica closes the connection.
 */
const idleMargin = 1_000;

/** Maximum number of connections to a replica whose pool is created before a limit is set. */
const defaultMaxConnections = 8;

/** Connection errors that show nothing about the replica's process: its VM did not answer. */
const networkErrorCodes: ReadonlySet<string> = new Set(["EHOSTUNREACH", "ENETUNREACH", "ETIMEDOUT"]);

/** A request that the router makes for its own purposes, such as polling a status or sending an order. */
export interface ControlCall {
  readonly method: "GET" | "POST";
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body?: string;
}

/** The complete answer to a {@link ControlCall}. */
export interface ControlAnswer {
  readonly status: number;
  readonly text: string;
}

/**
 * Manages connections and sends requests; subclasses implement status and order requests to engines, and requests to
 * cache stores.
 */
export abstract class HttpReplicaClient extends ReplicaClient {
  /** The path of an engine's status. */
  protected abstract readonly statusPath: string;
  private readonly wire: ForwardingWire;
  private readonly pools = new Map<string, Pool>();
  private readonly connectionLimits = new Map<string, number>();

  constructor(wire: ForwardingWire) {
    super();
    this.wire = wire;
  }

  protected override async transmit(call: ReplicaCall, signal: AbortSignal): Promise<ReplicaAnswer> {
    const { request, replica, maySend } = call;
    const reader = createAnswerReader(maySend, signal);
    this.connectionPool(replica).dispatch(
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
    const answer = await reader.answer;
    return {
      head: this.wire.decodeAnswer(answer.status, answer.headers),
      framing: framingOf(request.method, answer),
      body: answer.body,
    };
  }

  override probeConnection({ address }: ReplicaEntry, timeout: number): Promise<ConnectionProbeResult> {
    return new Promise((resolve) => {
      const socket = connect({ ...hostAndPortOf(address), timeout });
      const finish = (trial: ConnectionProbeResult): void => {
        socket.destroy();
        resolve(trial);
      };
      socket.once("connect", () => finish("made"));
      // The timer of a process that did not run for a while fires before a connection that was established meanwhile.
      socket.once("timeout", () => setImmediate(finish, "silent"));
      socket.once("error", ({ code = "" }: NodeJS.ErrnoException) =>
        finish(networkErrorCodes.has(code) ? "silent" : "refused"),
      );
    });
  }

  override probeAnswer({ address }: ReplicaEntry, timeout: number): Promise<AnswerProbeResult> {
    const lines = [`GET ${this.statusPath} HTTP/1.1`, `host: ${address}`, "connection: close", "", ""];
    return new Promise((resolve) => {
      const socket = connect(hostAndPortOf(address));
      let result: AnswerProbeResult = "none";
      const finish = (): void => {
        clearTimeout(timer);
        socket.destroy();
        resolve(result);
      };
      // The timer of a process that did not run for a while fires before an answer that has arrived meanwhile.
      const timer = setTimeout(() => setImmediate(finish), timeout);
      socket.once("connect", () => {
        result = "accepted";
        socket.write(lines.join("\r\n"));
      });
      socket.once("data", () => {
        result = "answered";
        finish();
      });
      socket.once("error", finish);
      socket.once("close", finish);
    });
  }

  /** Applies only to connection pools created afterwards. */
  override limitConnections(replica: ReplicaEntry, limit: number): void {
    this.connectionLimits.set(replica.id, Math.max(1, limit));
  }

  override forget(replica: ReplicaEntry): void {
    const pool = this.pools.get(replica.id);
    this.pools.delete(replica.id);
    this.connectionLimits.delete(replica.id);
    // Closes once the requests in progress have ended; nothing waits for that.
    runInBackground("closeReplicaPool", () => pool?.close(), replica.id);
  }

  override async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
    this.pools.clear();
  }

  /** Sends a control request to a replica, through the gate that guards its traffic. */
  protected sendToReplica(
    replica: ReplicaEntry,
    call: ControlCall,
    signal: AbortSignal,
  ): Promise<ControlAnswer> {
    const guarded = this.guard(replica, undefined);
    const observe = ({ status, headers }: RawAnswer): void =>
      guarded.observe(this.wire.decodeAnswer(status, headers));
    return guarded.run(() => this.sendToHost(replica, call, signal, guarded.maySend, observe));
  }

  /** Sends a control request to a host that need not be a replica, such as a cache store; it doesn't pass the gate. */
  protected async sendToHost(
    host: Pick<ReplicaEntry, "id" | "address">,
    { method, path, headers, body }: ControlCall,
    signal: AbortSignal,
    maySend = (): boolean => true,
    observe: (answer: RawAnswer) => void = () => undefined,
  ): Promise<ControlAnswer> {
    const reader = createAnswerReader(() => !signal.aborted && maySend(), signal);
    this.connectionPool(host).dispatch({ method, path, headers, body: body ?? null }, reader.handler);
    const answer = await reader.answer;
    observe(answer);
    const text = (await collectBody(answer.body)).toString();
    if (answer.status >= 500) {
      throw upstreamError(`${path}: status ${answer.status}`, "failed", "sent", undefined, answer.status);
    }
    return { status: answer.status, text };
  }

  private connectionPool(replica: Pick<ReplicaEntry, "id" | "address">): Pool {
    const existing = this.pools.get(replica.id);
    if (existing !== undefined) return existing;
    const created = createGuardedPool(`http://${replica.address}`, {
      connections: this.connectionLimits.get(replica.id) ?? defaultMaxConnections,
      pipelining: 1,
      keepAliveTimeout: defaultIdleTimeout,
      keepAliveTimeoutThreshold: idleMargin,
      connectTimeout,
    });
    this.pools.set(replica.id, created);
    return created;
  }
}
