/**
 * Bounds the connections of callers, and closes those that are late with a head or idle for too long. A connection is
 * idle from when it was opened, or its last answer has ended, until its next request; part of a head may have arrived.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { metricNames } from "../state/constants.ts";
import { createCountedLog } from "../state/countedLog.ts";
import { createLogger } from "../state/log.ts";
import type { GaugeValue, Metrics } from "../state/Metrics.ts";
import { steadyNow } from "../state/steadyTime.ts";

/** Between two searches for connections that are late, milliseconds. */
const checkInterval = 500;

/** How long connections may take; milliseconds. */
export interface ConnectionTimeouts {
  /** For a head, from its first byte on. */
  readonly head: number;
  /** Without a byte. */
  readonly idle: number;
}

export interface ConnectionTableDependencies {
  /** Connections at once. */
  readonly maximum: () => number;
  readonly timeouts: () => ConnectionTimeouts;
  readonly metrics: Metrics;
  /** Tells the servers of one process apart in logs and metrics. */
  readonly server: string;
}

export interface ConnectionTable extends AsyncDisposable {
  /** @returns The connections now, by server and state. */
  readonly count: () => readonly GaugeValue[];
  /** Adds a new connection; another one, or this one, is closed if there are too many. */
  readonly add: (socket: Socket) => void;
  /**
   * Notes that a request has arrived; its connection isn't idle until the response has closed.
   *
   * @returns The connection's requests in progress.
   */
  readonly noteRequest: (message: IncomingMessage, response: ServerResponse) => number;
}

/** Registers the gauge of the connections of all servers of a process. */
export const observeConnections = (
  metrics: Metrics,
  tables: readonly Pick<ConnectionTable, "count">[],
): void =>
  metrics.observe(metricNames.connections, ["server", "state"], () => tables.flatMap((each) => each.count()));

/** Why a connection is closed. */
type CloseReason = "late_head" | "idle" | "too_many";

const writeLog = createLogger("callers");

interface TrackedConnection {
  readonly socket: Socket;
  requests: number;
  idleSince: number;
  /** Bytes received when it became idle. */
  idleBytes: number;
  /** When the first byte of a head was noticed. */
  headSince: number | undefined;
}

const lateHeadAnswer = "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/** Creates an empty table. */
export const createConnectionTable = ({
  maximum,
  timeouts,
  metrics,
  server,
}: ConnectionTableDependencies): ConnectionTable => {
  const connections = new Map<Socket, TrackedConnection>();
  /** The idle connections, longest idle first. */
  const idle = new Set<TrackedConnection>();
  /** Connections whose request is still being received, the oldest request first. */
  const receiving = new Set<TrackedConnection>();
  const logClosed = createCountedLog((fields) => writeLog("connections_closed", fields));

  const noteClosed = (reason: CloseReason): void => {
    metrics.count(metricNames.connectionsClosed, 1, { server, reason });
    logClosed(reason, { server, connections: connections.size });
  };

  const forget = (connection: TrackedConnection): void => {
    connections.delete(connection.socket);
    idle.delete(connection);
    receiving.delete(connection);
  };

  const close = (connection: TrackedConnection, reason: CloseReason): void => {
    const { socket } = connection;
    noteClosed(reason);
    forget(connection);
    if (reason === "late_head" && socket.writable) socket.end(lateHeadAnswer, () => socket.destroy());
    else socket.destroy();
  };

  const becomeIdle = (connection: TrackedConnection): void => {
    connection.idleSince = steadyNow();
    connection.idleBytes = connection.socket.bytesRead;
    connection.headSince = undefined;
    idle.add(connection);
  };

  const check = (): void => {
    const now = steadyNow();
    const { head, idle: idleTimeout } = timeouts();
    for (const connection of idle) {
      if (connection.socket.bytesRead > connection.idleBytes) connection.headSince ??= now;
      const { headSince, idleSince } = connection;
      if (headSince !== undefined && now - headSince > head) close(connection, "late_head");
      else if (headSince === undefined && now - idleSince > idleTimeout) close(connection, "idle");
    }
  };
  const timer = setInterval(check, checkInterval);
  timer.unref();

  const makeRoom = (): boolean => {
    const [victim] = idle.size > 0 ? idle : receiving;
    if (victim === undefined) return false;
    close(victim, "too_many");
    return true;
  };

  return {
    count: () => [
      { value: idle.size, tags: { server, state: "idle" } },
      { value: receiving.size, tags: { server, state: "receiving" } },
      { value: connections.size - idle.size - receiving.size, tags: { server, state: "active" } },
    ],
    add: (socket) => {
      if (connections.size >= maximum() && !makeRoom()) {
        noteClosed("too_many");
        socket.resetAndDestroy();
        return;
      }
      const connection = { socket, requests: 0, idleSince: 0, idleBytes: 0, headSince: undefined };
      connections.set(socket, connection);
      becomeIdle(connection);
      socket.once("close", () => forget(connection));
    },
    noteRequest: (message, response) => {
      const { socket } = message;
      const connection = connections.get(socket);
      if (connection === undefined) return 0;
      connection.requests += 1;
      idle.delete(connection);
      if (!message.complete) {
        receiving.add(connection);
        message.once("close", () => receiving.delete(connection));
      }
      response.once("close", () => {
        connection.requests -= 1;
        if (connection.requests === 0 && connections.has(socket)) becomeIdle(connection);
      });
      return connection.requests;
    },
    [Symbol.asyncDispose]: () => {
      clearInterval(timer);
      return Promise.resolve();
    },
  };
};
