/** Callers' connections: reads whole requests, has them forwarded, and writes the one final answer. */
import { steadyNow } from "../../state/steadyTime.ts";
import { once } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createServer } from "node:http";
import { outcomes } from "../../protocol/constants.ts";
import { requestError, RequestError } from "../../protocol/errors.ts";
import type { ForwardingWire } from "../../protocol/forwarding/ForwardingWire.ts";
import type { CallerLimits, CallerRequest, ForwardedAnswer } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";

/** What the server works with. */
export interface ForwardingServerParts {
  readonly address: string;
  readonly port: number;
  readonly wire: ForwardingWire;
  /** Throws `RequestError`. */
  readonly forward: (request: CallerRequest, signal: AbortSignal) => Promise<ForwardedAnswer>;
  readonly limits: () => CallerLimits | undefined;
  /** True once callers are to use another connection for their next request. */
  readonly shouldCloseConnections: () => boolean;
}

/** A listening server. */
export interface ForwardingServer extends AsyncDisposable {
  readonly port: number;
  /** Closes connections that have no request on them. */
  readonly closeIdle: () => void;
  /** Takes over limits that have changed. */
  readonly applyLimits: () => void;
}

/** Headers larger than this are refused whatever the configuration says, bytes. */
const largestHeaders = 65_536;

/** Until a configuration says otherwise: how long a connection may be idle, milliseconds. */
const assumedIdleTimeout = 15_000;

const writeLog = createLogger("callers");

const tooLarge = () =>
  requestError("The body is too large.", { status: 413, code: "body_too_large", outcome: outcomes.notRun });

const headersTooLarge = () =>
  requestError("The headers are too large.", {
    status: 431,
    code: "headers_too_large",
    outcome: outcomes.notRun,
  });

const sizeOf = (rawHeaders: readonly string[]): number =>
  rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

const readBody = async (request: IncomingMessage, limit: number): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > limit) throw tooLarge();
    chunks.push(chunk);
  }
  return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks);
};

const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;

/** Starts to listen. */
export const startForwardingServer = async (parts: ForwardingServerParts): Promise<ForwardingServer> => {
  const { wire, forward, limits, shouldCloseConnections: endsConnections } = parts;

  const decode = async (message: IncomingMessage): Promise<CallerRequest> => {
    const arrivedAt = steadyNow();
    const limit = limits();
    if (limit !== undefined && sizeOf(message.rawHeaders) > limit.headerBytes) throw headersTooLarge();
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
    response.writeHead(failure.status, {
      "content-type": "application/json",
      "content-length": body.length,
      ...(retryAfterSeconds === undefined ? {} : { "retry-after": retryAfterSeconds.toFixed(2) }),
      // What is left of a refused body must not be taken for a request.
      ...(response.req.complete && !endsConnections() ? {} : { connection: "close" }),
    });
    response.end(body);
  };

  const writeStream = async (response: ServerResponse, body: AsyncIterable<Buffer>): Promise<void> => {
    for await (const chunk of body) {
      if (chunk.length === 0) continue;
      if (!response.write(chunk) && !response.destroyed) await once(response, "drain").catch(() => undefined);
      if (response.destroyed) return;
    }
    response.end();
  };

  const writeAnswer = async (response: ServerResponse, answer: ForwardedAnswer): Promise<void> => {
    const { body } = answer;
    const headers = withoutLength(answer.headers);
    if (Buffer.isBuffer(body)) headers.push("content-length", String(body.length));
    if (endsConnections()) headers.push("connection", "close");
    response.writeHead(answer.status, headers);
    if (Buffer.isBuffer(body)) {
      response.end(body);
      return;
    }
    response.flushHeaders();
    await writeStream(response, body);
  };

  const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const left = new AbortController();
    response.on("close", () => {
      if (!response.writableFinished) left.abort();
    });
    try {
      const answer = await forward(await decode(message), left.signal);
      await writeAnswer(response, answer);
    } catch (error) {
      if (response.headersSent || response.destroyed) response.destroy();
      else writeError(response, error);
    }
  };

  const server: Server = createServer(
    { maxHeaderSize: largestHeaders, keepAliveTimeout: assumedIdleTimeout, requestTimeout: 0, noDelay: true },
    (message, response) => void serve(message, response),
  );
  server.on("clientError", (_error, socket) => {
    if (socket.writable)
      socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
  });
  server.listen(parts.port, parts.address);
  await once(server, "listening");

  return {
    port: (server.address() as AddressInfo).port,
    closeIdle: () => server.closeIdleConnections(),
    applyLimits: () => {
      const limit = limits();
      if (limit === undefined) return;
      server.keepAliveTimeout = limit.idleTimeout;
      server.headersTimeout = limit.headerTimeout;
    },
    [Symbol.asyncDispose]: async () => {
      server.close();
      server.closeAllConnections();
      await Promise.resolve();
    },
  };
};

/** A length that is not of what is written here must not go out. */
const withoutLength = (headers: readonly string[]): string[] => {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? "";
    if (name.toLowerCase() !== "content-length") kept.push(name, headers[index + 1] ?? "");
  }
  return kept;
};
