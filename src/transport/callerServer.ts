/** The HTTP server for callers and operators: OpenAI's routes, plain services, health checks and operator views. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { H3, toNodeHandler } from "h3/node";
import type { H3Event } from "h3/node";
import { headers, maximumBodyBytes, outcomes } from "../protocol/constants.ts";
import { RequestError, requestError } from "../protocol/errors.ts";
import type { RequestError as RequestFailureError } from "../protocol/errors.ts";
import type { CallerHeaders, CompletionAnswer, FrontEnd, OperatorView } from "../protocol/FrontEnd.ts";
import type { AnswerFrame, CompletionRequest } from "../protocol/types.ts";
import type { AnswerIdentity } from "./callerAnswers.ts";
import {
  createChunkWriter,
  errorBody,
  errorHeaders,
  streamEndMarker,
  streamErrorEvent,
  completionBody,
} from "./callerAnswers.ts";
import { createConnectionTable, observeConnections } from "./connectionTable.ts";
import type { ReceivedBody, RequestIntake } from "./requestIntake.ts";
import { hasBody } from "./requestIntake.ts";
import { breakOff } from "./forwarding/breakOff.ts";
import type { Metrics } from "../state/Metrics.ts";
import { runInBackground } from "../state/backgroundTasks.ts";

const jsonType = { "content-type": "application/json" } as const;
const serviceRoute = /^\/services\/([^/]+)(\/.*)?$/;
/** Milliseconds. */
const connectionPollInterval = 20;
/** Before the port is closed, no new connection may have been opened for this long, milliseconds. */
const quietPeriod = 500;
/** How much longer than the announced keep-alive timeout idle connections are left open, milliseconds. */
const keepAliveMargin = 1_000;
const textEncoder = new TextEncoder();

const emptyBody = Buffer.alloc(0);

/** Bytes that a byte of a completion's body takes while its request is in progress: as text, and parsed. */
export const completionExpansion = 3;

/** How long a connection may take for a head, and be idle before its first request, milliseconds. */
const timeouts = { head: 10_000, idle: 60_000 } as const;

/** A listening server. */
export interface CallerServer extends AsyncDisposable {
  /** `http://IP:PORT`. */
  readonly url: string;
  /** Sends `connection: close` with each further answer. Requests are still answered. */
  readonly disableKeepAlive: () => void;
  /**
   * Closes the server gracefully; resolves when all connections have ended. Idle connections stay open until
   * the announced keep-alive timeout has passed, and the port stays open until no new connection has
   * arrived for a while: otherwise a request could be sent on a connection that is just being closed.
   */
  readonly close: () => Promise<void>;
}

const firstValue = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

const readCallerHeaders = (request: IncomingMessage): CallerHeaders => ({
  authorization: request.headers.authorization,
  requestClass: firstValue(request.headers[headers.requestClass]),
  idempotent: firstValue(request.headers[headers.idempotent]),
  idempotencyKey: firstValue(request.headers[headers.idempotencyKey]),
  prefixLevels: firstValue(request.headers[headers.prefixLevels]),
  lastEventId: firstValue(request.headers[headers.lastEventId]),
});

/** Creates a signal that is aborted when the caller disconnects before its answer is complete. */
const createDisconnectSignal = (response: ServerResponse): AbortSignal => {
  const controller = new AbortController();
  response.on("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
};

const internalError = (cause: unknown): RequestFailureError =>
  requestError(
    "Internal router error.",
    { status: 500, code: "internal_error", outcome: outcomes.outcomeUnknown },
    cause,
  );

const asRequestError = (error: unknown): RequestFailureError =>
  error instanceof RequestError ? error : internalError(error);

const failureResponse = (error: unknown): Response => {
  const failure = asRequestError(error);
  return new Response(errorBody(failure), { status: failure.failure.status, headers: errorHeaders(failure) });
};

const notFound = (): RequestFailureError =>
  requestError("Unknown route.", { status: 404, code: "unknown_route", outcome: outcomes.notRun });

const answerIdentity = ({ requestId, request }: CompletionAnswer): AnswerIdentity => ({
  kind: request.kind,
  requestId,
  model: request.adapter === undefined ? request.model : `${request.model}:${request.adapter}`,
  created: Math.floor(Date.now() / 1000),
});

const answerHeaders = (answer: {
  readonly requestId: string;
  readonly configurationVersion: number;
  readonly upstream: string;
}): Record<string, string> => ({
  [headers.requestId]: answer.requestId,
  [headers.configurationVersion]: String(answer.configurationVersion),
  [headers.upstream]: answer.upstream,
});

/** Formats an answer as SSE text, one string for each batch of frames that arrived together. */
const formatEvents = async function* (answer: CompletionAnswer): AsyncGenerator<string, void, void> {
  const writer = createChunkWriter(answerIdentity(answer), answer.request.includeUsage);
  try {
    for await (const batch of answer.batches) {
      const delivered = { tokens: batch.firstOffset, textlessPieces: batch.precedingTextlessPieces };
      let text = "";
      for (const frame of batch.frames) {
        const isFirst = delivered.tokens === 0 && delivered.textlessPieces === 0;
        if (frame.text === "") {
          delivered.textlessPieces += 1;
        } else {
          delivered.tokens += 1;
          delivered.textlessPieces = 0;
        }
        text += writer.write(frame, answer.eventId(batch, delivered), isFirst);
      }
      if (text !== "") yield text;
    }
    yield streamEndMarker;
  } catch (error) {
    yield streamErrorEvent(asRequestError(error));
  }
};

/** Creates a body that reads from the engine only as fast as the caller reads, without buffering ahead. */
const streamBody = (events: AsyncGenerator<string, void, void>): ReadableStream<Uint8Array> =>
  new ReadableStream<Uint8Array>(
    {
      pull: async (controller) => {
        const next = await events.next();
        if (next.done === true) controller.close();
        else controller.enqueue(textEncoder.encode(next.value));
      },
      cancel: async () => {
        await events.return();
      },
    },
    { highWaterMark: 0 },
  );

const streamedResponse = (answer: CompletionAnswer): Response =>
  new Response(streamBody(formatEvents(answer)), {
    headers: {
      ...answerHeaders(answer),
      "content-type": "text/event-stream; charset=utf-8",
      "cache-control": "no-cache",
    },
  });

const wholeResponse = async (answer: CompletionAnswer): Promise<Response> => {
  const frames: AnswerFrame[] = [];
  for await (const batch of answer.batches) frames.push(...batch.frames);
  const usage = frames.findLast((frame) => frame.usage !== undefined)?.usage;
  return new Response(completionBody(answerIdentity(answer), frames), {
    headers: {
      ...jsonType,
      ...answerHeaders(answer),
      ...(usage === undefined ? {} : { [headers.cachedTokens]: String(usage.cachedTokens) }),
    },
  });
};

type Route = (request: IncomingMessage, response: ServerResponse) => Promise<Response>;

/** The bodies of the requests in progress. */
const receivedBodies = new WeakMap<IncomingMessage, ReceivedBody>();

const bodyOf = (request: IncomingMessage): Buffer => receivedBodies.get(request)?.bytes ?? emptyBody;

const completionRoute =
  (frontEnd: FrontEnd, kind: CompletionRequest["kind"]): Route =>
  async (request, response) => {
    const signal = createDisconnectSignal(response);
    const body = bodyOf(request).toString("utf8");
    const answer = await frontEnd.complete(kind, readCallerHeaders(request), body, signal);
    return answer.request.stream ? streamedResponse(answer) : await wholeResponse(answer);
  };

const serviceCallRoute =
  (frontEnd: FrontEnd): Route =>
  async (request, response) => {
    const signal = createDisconnectSignal(response);
    const [, service, path = "/"] = serviceRoute.exec(request.url ?? "") ?? [];
    if (service === undefined) throw notFound();
    const body = bodyOf(request);
    const call = {
      service: decodeURIComponent(service),
      method: request.method ?? "GET",
      path,
      contentType: request.headers["content-type"],
      body: body.length === 0 ? undefined : body,
    };
    const result = await frontEnd.callService(call, readCallerHeaders(request), signal);
    const { answer } = result;
    return new Response(new Uint8Array(answer.body), {
      status: answer.status,
      headers: {
        ...answerHeaders(result),
        ...(answer.contentType === undefined ? {} : { "content-type": answer.contentType }),
      },
    });
  };

const modelsRoute =
  (frontEnd: FrontEnd): Route =>
  (request) => {
    const data = frontEnd
      .listModels(readCallerHeaders(request))
      .map((id) => ({ id, object: "model", created: 0, owned_by: "pomelocleat" }));
    return Promise.resolve(Response.json({ object: "list", data }));
  };

const operatorRoute =
  (frontEnd: FrontEnd, view: OperatorView): Route =>
  (request) =>
    Promise.resolve(Response.json(frontEnd.readOperatorView(view, request.headers.authorization)));

const handle = (route: Route) => async (event: H3Event) => {
  const node = event.runtime?.node;
  if (node?.res === undefined) return failureResponse(internalError(undefined));
  try {
    return await route(node.req as IncomingMessage, node.res as ServerResponse);
  } catch (error) {
    return failureResponse(error);
  }
};

const createApp = (frontEnd: FrontEnd): H3 => {
  const app = new H3();
  app.get("/healthz", () => new Response("ok\n"));
  app.get("/readyz", () =>
    frontEnd.isReady() ? new Response("ready\n") : new Response("not ready\n", { status: 503 }),
  );
  app.get("/v1/models", handle(modelsRoute(frontEnd)));
  app.post("/v1/chat/completions", handle(completionRoute(frontEnd, "chat")));
  app.post("/v1/completions", handle(completionRoute(frontEnd, "text")));
  app.all("/services/**", handle(serviceCallRoute(frontEnd)));
  app.get("/operator/version", handle(operatorRoute(frontEnd, "version")));
  app.get("/operator/dump", handle(operatorRoute(frontEnd, "dump")));
  app.get("/operator/engines", handle(operatorRoute(frontEnd, "engines")));
  app.all("/**", () => failureResponse(notFound()));
  return app;
};

const listen = (server: Server, address: string, port: number): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, resolve);
  });

const countConnections = (server: Server): Promise<number> =>
  new Promise((resolve) => server.getConnections((_error, count) => resolve(count)));

/**
 * Waits until callers have closed all connections and no new one has been opened for `quietPeriod`, so that
 * the port is not closed while a connection is being opened.
 *
 * @param lastConnectionAt - When the newest connection was opened, milliseconds on the monotonic clock.
 * @param timeout - The longest wait, milliseconds.
 */
const waitUntilQuiet = async (
  server: Server,
  lastConnectionAt: () => number,
  timeout: number,
): Promise<void> => {
  const startedAt = performance.now();
  const isQuiet = async (): Promise<boolean> => {
    const since = Math.max(startedAt, lastConnectionAt());
    return performance.now() - since >= quietPeriod && (await countConnections(server)) === 0;
  };
  while (performance.now() < startedAt + timeout && !(await isQuiet())) await sleep(connectionPollInterval);
};

/** The address that the server listens on, and what callers may use. */
export interface CallerServerOptions {
  /** An IP address. */
  readonly address: string;
  /** 0: any free port. */
  readonly port: number;
  /** How long an idle connection stays open, milliseconds; announced to callers in the `keep-alive` header. */
  readonly keepAlive: number;
  readonly intake: RequestIntake;
  /** Connections of callers and operators at once. */
  readonly maxConnections: number;
  readonly metrics: Metrics;
}

/** The routes that need an organisation's key, so that it can be checked before the body is kept. */
const keyedRoute = /^\/(v1|services)\//;

/** @returns Memory that a byte of the body takes while its request is in progress, bytes. */
const expansionOf = ({ url = "" }: IncomingMessage): number =>
  url.startsWith("/v1/") ? completionExpansion : 1;

const writeRefusal = (response: ServerResponse, intake: RequestIntake, error: unknown): void => {
  const failure = asRequestError(error);
  const body = Buffer.from(errorBody(failure));
  response.writeHead(failure.failure.status, {
    ...errorHeaders(failure),
    "content-length": body.length,
    // The unread rest of a refused body must not be parsed as the next request.
    ...(response.req.complete ? {} : { connection: "close" }),
  });
  intake.endRefusal(response, body);
};

/** Receives the body of a request before it is handled. @returns Whether it can be handled; else it was refused. */
const receiveBody = async (
  frontEnd: FrontEnd,
  intake: RequestIntake,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<boolean> => {
  let body: ReceivedBody | undefined;
  response.once("close", () => body?.release());
  try {
    const owner = keyedRoute.test(request.url ?? "") ? frontEnd.admitHead(readCallerHeaders(request)) : "";
    const terms = { owner, limit: maximumBodyBytes, expansion: expansionOf(request) };
    body = await intake.receive(request, response, terms);
    receivedBodies.set(request, body);
    if (response.destroyed) body.release();
    return !response.destroyed;
  } catch (error) {
    if (response.headersSent || response.destroyed) breakOff(response);
    else writeRefusal(response, intake, error);
    return false;
  }
};

/** Starts the server; resolves once it listens. */
export const startCallerServer = async (
  frontEnd: FrontEnd,
  { address, port, keepAlive, intake, maxConnections, metrics }: CallerServerOptions,
): Promise<CallerServer> => {
  const nodeHandler = toNodeHandler(createApp(frontEnd));
  const idle = Math.max(timeouts.idle, keepAlive + 2 * keepAliveMargin);
  const connections = createConnectionTable({
    server: "callers",
    maximum: () => maxConnections,
    timeouts: () => ({ head: timeouts.head, idle }),
    metrics,
  });
  observeConnections(metrics, [connections]);
  let isKeepAliveDisabled = false;
  let lastConnectionAt = 0;
  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (isKeepAliveDisabled) response.shouldKeepAlive = false;
    connections.noteRequest(request, response);
    if (hasBody(request) && !(await receiveBody(frontEnd, intake, request, response))) return;
    await nodeHandler(request, response);
  };
  const onRequest = (request: IncomingMessage, response: ServerResponse): void =>
    runInBackground("serveCaller", () => serve(request, response));
  // The connection table closes what is late. Long prompts and answers take long: requests are limited by the deadlines
  // of their class, not by the server.
  const server = createServer(
    { headersTimeout: 0, requestTimeout: 0, keepAliveTimeout: keepAlive },
    onRequest,
  );
  server.on("checkContinue", onRequest);
  server.on("connection", (socket) => {
    lastConnectionAt = performance.now();
    connections.add(socket);
  });
  await listen(server, address, port);
  const boundAddress = server.address() as AddressInfo;
  const disableKeepAlive = (): void => {
    isKeepAliveDisabled = true;
  };
  const closeServer = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
      server.closeIdleConnections();
    });
  const close = async (): Promise<void> => {
    disableKeepAlive();
    await waitUntilQuiet(server, () => lastConnectionAt, keepAlive + keepAliveMargin);
    await closeServer();
  };
  return {
    url: `http://${address}:${boundAddress.port}`,
    disableKeepAlive,
    close,
    [Symbol.asyncDispose]: async () => {
      await connections[Symbol.asyncDispose]();
      server.closeAllConnections();
      await closeServer();
    },
  };
};
