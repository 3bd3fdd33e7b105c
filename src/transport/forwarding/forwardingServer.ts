/** HTTP server for callers: reads complete requests, has them forwarded, and writes their final answers. */
import { steadyNow } from "../../state/steadyTime.ts";
import { once } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Server as NetServer, Socket } from "node:net";
import { createServer } from "node:http";
import { outcomes } from "../../protocol/constants.ts";
import { requestError, RequestError } from "../../protocol/errors.ts";
import type { ForwardingWire } from "../../protocol/forwarding/ForwardingWire.ts";
import type { CallerLimits, CallerRequest, ForwardedAnswer } from "../../protocol/forwarding/types.ts";
import { callerMemoryRetryDelay } from "../../state/forwarding/callerMemory.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { CallerBuffer } from "./callerBuffers.ts";
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
  /** Bytes that answers to slow callers may hold together; 0 for no bound. */
  readonly callerBufferBytes: number;
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
  /** Applies the current idle and header timeouts to the server. */
  readonly applyLimits: () => void;
}

/** Larger headers are refused regardless of the configuration, bytes. */
const headerSizeHardLimit = 65_536;

/** How long a connection may be idle until a configuration sets a limit, milliseconds. */
const defaultIdleTimeout = 15_000;

const writeLog = createLogger("callers");

const bodyTooLarge = () =>
  requestError("The body is too large.", { status: 413, code: "body_too_large", outcome: outcomes.notRun });

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

const headerBytesOf = (rawHeaders: readonly string[]): number =>
  rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

const readBody = async (request: IncomingMessage, limit: number): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > limit) throw bodyTooLarge();
    chunks.push(chunk);
  }
  return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks);
};

const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;

/** Starts the server; resolves once it listens. */
export const startForwardingServer = async (
  dependencies: ForwardingServerDependencies,
): Promise<ForwardingServer> => {
  const { wire, forward, limits, shouldCloseConnections, mayConnect, commonHeaders = [] } = dependencies;
  const buffers = createCallerBuffers({
    bound: dependencies.callerBufferBytes,
    metrics: dependencies.metrics,
  });

  const decode = async (message: IncomingMessage): Promise<CallerRequest> => {
    const arrivedAt = steadyNow();
    const limit = limits();
    if (limit !== undefined && headerBytesOf(message.rawHeaders) > limit.headerBytes) throw headersTooLarge();
    const body = hasBody(message)
      ? await readBody(message, limit?.bodyBytes ?? Number.MAX_SAFE_INTEGER)
      : Buffer.alloc(0);
    const { method = "GET", url: target = "/", rawHeaders: headers } = message;
    return wire.decodeRequest({ method, target, headers, body, arrivedAt });
  };

  const writeError = (response: ServerResponse, error: unknown): void => {
    const failure =
      error instanceof RequestError
        ? error.failure
        : { status: 500, code: "internal_error", outcome: outcomes.outcomeUnknown };
    if (!(error instanceof RequestError)) writeLog("internal_error", { reason: String(error) });
    const body = Buffer.from(JSON.stringify({ error: { ...failure, message: (error as Error).message } }));
    const { retryAfterSeconds } = failure as { readonly retryAfterSeconds?: number };
    response.writeHead(failure.status, [
      ...["content-type", "application/json", "content-length", String(body.length)],
      ...(retryAfterSeconds === undefined ? [] : ["retry-after", retryAfterSeconds.toFixed(2)]),
      // The unread rest of a refused body must not be parsed as the next request.
      ...(response.req.complete && !shouldCloseConnections() ? [] : ["connection", "close"]),
      ...commonHeaders,
    ]);
    response.end(body);
  };

  const writeStream = async (
    response: ServerResponse,
    body: AsyncIterable<Buffer>,
    buffer: CallerBuffer,
  ): Promise<void> => {
    for await (const chunk of body) {
      if (chunk.length === 0) continue;
      buffer.noteWritten(chunk.length);
      if (!response.write(chunk) && !response.destroyed) await once(response, "drain").catch(() => undefined);
      await buffer.mayContinue();
      if (response.destroyed) return;
    }
    response.end();
  };

  const writeAnswer = async (response: ServerResponse, answer: ForwardedAnswer): Promise<void> => {
    const { body } = answer;
    const headers = [...withoutContentLength(answer.headers), ...commonHeaders];
    if (Buffer.isBuffer(body)) headers.push("content-length", String(body.length));
    if (shouldCloseConnections()) headers.push("connection", "close");
    response.writeHead(answer.status, headers);
    const buffer = buffers.track(response);
    if (Buffer.isBuffer(body)) {
      buffer.noteWritten(body.length);
      response.end(body);
      return;
    }
    response.flushHeaders();
    await writeStream(response, body, buffer);
  };

  const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const disconnected = new AbortController();
    response.on("close", () => {
      if (!response.writableFinished) disconnected.abort();
    });
    try {
      if (buffers.mustRefuse()) throw callersTooSlow();
      const answer = await forward(await decode(message), disconnected.signal);
      await writeAnswer(response, answer);
    } catch (error) {
      if (response.headersSent || response.destroyed) breakOff(response);
      else writeError(response, error);
    }
  };

  const server: Server = createServer(
    {
      maxHeaderSize: headerSizeHardLimit,
      keepAliveTimeout: defaultIdleTimeout,
      requestTimeout: 0,
      noDelay: true,
    },
    (message, response) => runInBackground("serveCaller", () => serve(message, response)),
  );
  server.on("connection", (socket) => {
    if (mayConnect?.(socket.remoteAddress ?? "") === false) socket.resetAndDestroy();
  });
  server.on("clientError", (_error, socket) => {
    if (socket.writable)
      socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
  });
  const listening = await listenFor(server, dependencies);

  return {
    port: listening.port,
    closeIdle: () => server.closeIdleConnections(),
    applyLimits: () => {
      const limit = limits();
      if (limit === undefined) return;
      server.keepAliveTimeout = limit.idleTimeout;
      server.headersTimeout = limit.headerTimeout;
    },
    [Symbol.asyncDispose]: async () => {
      buffers.stop();
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

/** Removes the upstream's `content-length`, which may not match the body that is written. */
const withoutContentLength = (headers: readonly string[]): string[] => {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? "";
    if (name.toLowerCase() !== "content-length") kept.push(name, headers[index + 1] ?? "");
  }
  return kept;
};
