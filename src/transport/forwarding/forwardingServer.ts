/** HTTP server for callers: reads complete requests, has them forwarded, and writes their final answers. */
import { steadyNow } from "../../state/steadyTime.ts";
import { once } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Server as NetServer, Socket } from "node:net";
import { createServer } from "node:http";
import { maximumBodyBytes, outcomes } from "../../protocol/constants.ts";
import { requestError } from "../../protocol/errors.ts";
import type { ForwardingWire } from "../../protocol/forwarding/ForwardingWire.ts";
import type { CallerLimits, CallerRequest, ForwardedAnswer } from "../../protocol/forwarding/types.ts";
import { callerMemoryRetryDelay } from "../../state/forwarding/callerMemory.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { ConnectionTable } from "../connectionTable.ts";
import { createConnectionTable } from "../connectionTable.ts";
import type { ReceivedBody, RequestIntake } from "../requestIntake.ts";
import { hasBody } from "../requestIntake.ts";
import { createAnswerWriter } from "./answerWriter.ts";
import { breakOff } from "./breakOff.ts";
import type { SheddingListener } from "./sheddingListener.ts";
import { startSheddingListener } from "./sheddingListener.ts";
import { createCallerBuffers } from "./callerBuffers.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

export interface ForwardingServerDependencies {
  readonly address: string;
  readonly port: number;
  /** A listening socket that the server takes over, instead of opening one at the address. */
  readonly listener?: NetServer;
  readonly wire: ForwardingWire;
  /** Forwards a request and resolves with the answer for the caller; throws `RequestError`. */
  readonly forward: (request: CallerRequest, signal: AbortSignal) => Promise<ForwardedAnswer>;
  /** The limits of the configuration; `undefined` until there is one. */
  readonly limits: () => CallerLimits | undefined;
  /** True if answers carry `connection: close`, so that callers open another connection for their next request. */
  readonly shouldCloseConnections: () => boolean;
  /** Checks what the head of a request already decides. @returns Its organisation; throws `RequestError`. */
  readonly admitHead: (request: CallerRequest) => string;
  readonly intake: RequestIntake;
  /** Bytes that answers to slow callers may hold together; 0 for no bound. */
  readonly callerBufferBytes: number;
  readonly maxConnections: number;
  /** Tells the servers of one process apart in logs and metrics. */
  readonly name: string;
  readonly metrics: Metrics;
  /** Whether a caller at an IP address may connect; by default any may. */
  readonly mayConnect?: (address: string) => boolean;
  /** Headers of all answers, alternating names and values; by default none. */
  readonly commonHeaders?: readonly string[];
}

/** A listening server; disposal closes its connections at once. */
export interface ForwardingServer extends AsyncDisposable {
  readonly port: number;
  /** Closes the connections without a request in progress. */
  readonly closeIdle: () => void;
  /** Applies the current idle timeout to the server. */
  readonly applyLimits: () => void;
  readonly connections: Pick<ConnectionTable, "count">;
}

/** Larger headers are refused regardless of the configuration, bytes. */
const headerSizeHardLimit = 65_536;

/** Until a configuration sets limits, milliseconds. */
const defaultTimeouts = { head: 3_000, idle: 15_000 } as const;

/** Requests of one connection in progress at once; a caller that sends more ahead is refused. */
const maxPipelined = 16;

const emptyBody = Buffer.alloc(0);

const headersTooLarge = () =>
  requestError("The headers are too large.", {
    status: 431,
    code: "headers_too_large",
    outcome: outcomes.notRun,
  });

const callersTooSlow = () =>
  requestError("Answers that callers don't read fill this router's memory; the request has not run.", {
    status: 503,
    code: "callers_too_slow",
    outcome: outcomes.notRun,
    retryAfterSeconds: callerMemoryRetryDelay / 1_000,
  });

const tooManyPipelined = () =>
  requestError("Too many requests of this connection are in progress; the request has not run.", {
    status: 503,
    code: "too_many_pipelined",
    outcome: outcomes.notRun,
    retryAfterSeconds: callerMemoryRetryDelay / 1_000,
  });

const headerBytesOf = (rawHeaders: readonly string[]): number =>
  rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

/** Starts the server; resolves once it listens. */
export const startForwardingServer = async (
  dependencies: ForwardingServerDependencies,
): Promise<ForwardingServer> => {
  const {
    wire,
    forward,
    limits,
    intake,
    shouldCloseConnections,
    mayConnect,
    commonHeaders = [],
  } = dependencies;
  const buffers = createCallerBuffers({
    bound: dependencies.callerBufferBytes,
    metrics: dependencies.metrics,
  });

  const { writeAnswer, writeError } = createAnswerWriter({
    intake,
    buffers,
    shouldCloseConnections,
    commonHeaders,
  });
  const connections = createConnectionTable({
    server: dependencies.name,
    maximum: () => dependencies.maxConnections,
    timeouts: () => {
      const limit = limits();
      return limit === undefined ? defaultTimeouts : { head: limit.headerTimeout, idle: limit.idleTimeout };
    },
    metrics: dependencies.metrics,
  });

  const decodeHead = (message: IncomingMessage): CallerRequest => {
    const limit = limits();
    if (limit !== undefined && headerBytesOf(message.rawHeaders) > limit.headerBytes) throw headersTooLarge();
    const { method = "GET", url: target = "/", rawHeaders: headers } = message;
    return wire.decodeRequest({ method, target, headers, body: emptyBody, arrivedAt: steadyNow() });
  };

  /** Refusals that the head alone decides come before any of the body is kept. */
  const receiveBody = (
    head: CallerRequest,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<ReceivedBody> => {
    const owner = dependencies.admitHead(head);
    return intake.receive(message, response, { owner, limit: limits()?.bodyBytes ?? maximumBodyBytes });
  };

  const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const disconnected = new AbortController();
    response.on("close", () => {
      if (!response.writableFinished) disconnected.abort();
    });
    let body: ReceivedBody | undefined;
    try {
      if (connections.noteRequest(message, response) > maxPipelined) throw tooManyPipelined();
      if (buffers.mustRefuse()) throw callersTooSlow();
      const head = decodeHead(message);
      if (hasBody(message)) body = await receiveBody(head, message, response);
      const request = body === undefined ? head : { ...head, body: body.bytes };
      const answer = await forward(request, disconnected.signal);
      await writeAnswer(response, answer);
    } catch (error) {
      if (response.headersSent || response.destroyed) breakOff(response);
      else writeError(response, error);
    } finally {
      body?.release();
    }
  };

  const onRequest = (message: IncomingMessage, response: ServerResponse): void =>
    runInBackground("serveCaller", () => serve(message, response));
  const server: Server = createServer(
    {
      maxHeaderSize: headerSizeHardLimit,
      keepAliveTimeout: defaultTimeouts.idle,
      // The connection table closes what is late: the server would look only every 30 seconds, and close connections
      // without a byte as if they were late with a head.
      headersTimeout: 0,
      requestTimeout: 0,
      noDelay: true,
    },
    onRequest,
  );
  server.on("checkContinue", onRequest);
  server.on("connection", (socket) => {
    if (mayConnect?.(socket.remoteAddress ?? "") === false) socket.resetAndDestroy();
    else connections.add(socket);
  });
  server.on("clientError", (_error, socket) => {
    if (socket.writable)
      socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
  });
  const listening = await listenFor(server, dependencies);

  return {
    port: listening.port,
    connections,
    closeIdle: () => server.closeIdleConnections(),
    applyLimits: () => {
      const limit = limits();
      if (limit === undefined) return;
      server.keepAliveTimeout = limit.idleTimeout;
    },
    [Symbol.asyncDispose]: async () => {
      buffers.stop();
      await connections[Symbol.asyncDispose]();
      await listening[Symbol.asyncDispose]();
      server.close();
      server.closeAllConnections();
    },
  };
};

/** Connects a server to the socket that it takes over, or to one of its own, which refuses connections in overload. */
const listenFor = async (
  server: Server,
  { address, port, listener, metrics }: ForwardingServerDependencies,
): Promise<SheddingListener> => {
  if (listener === undefined) {
    // Makes the server track its connections, for their timeouts and for closing idle ones.
    server.emit("listening");
    const onConnection = (socket: Socket): void => {
      server.emit("connection", socket);
    };
    return startSheddingListener({ address, port, onConnection, metrics });
  }
  server.listen(listener);
  await once(server, "listening");
  return {
    port: (server.address() as AddressInfo).port,
    [Symbol.asyncDispose]: () => Promise.resolve(),
  };
};
