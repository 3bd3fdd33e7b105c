/** The HTTP server for callers and operators: OpenAI's routes, plain services, health and operator views. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { H3, toNodeHandler } from "h3/node";
import type { H3Event } from "h3/node";
import { headers, outcomes } from "../protocol/constants.ts";
import { RequestError, requestError } from "../protocol/errors.ts";
import type { RequestError as RequestFailureError } from "../protocol/errors.ts";
import type { CallerHeaders, CompletionAnswer, FrontEnd, OperatorView } from "../protocol/FrontEnd.ts";
import type { AnswerFrame, CompletionRequest } from "../protocol/types.ts";
import type { AnswerIdentity } from "./callerAnswers.ts";
import {
  createChunkWriter,
  errorBody,
  errorHeaders,
  streamEnd,
  streamFailure,
  wholeAnswer,
} from "./callerAnswers.ts";
import { readRequestBody } from "./requestBody.ts";

const jsonType = { "content-type": "application/json" } as const;
const serviceRoute = /^\/services\/([^/]+)(\/.*)?$/;
const connectionPollInterval = 20;
/** The port stays open until no connection has come for this long, milliseconds. */
const quietTime = 500;
/** An idle connection ends this much later than callers are told, milliseconds. */
const keepAliveMargin = 1_000;
const textEncoder = new TextEncoder();

/** A server that is listening. */
export interface CallerServer extends AsyncDisposable {
  /** `http://IP:PORT`. */
  readonly url: string;
  /** From now on each answer is the last of its connection; callers still get answers. */
  readonly disableKeepAlive: () => void;
  /**
   * Resolves when all connections have ended. Idle ones are left until the time is over for which callers
   * were told that they may be used again, and the port is open until callers have gone elsewhere: no request
   * must meet a connection that is being closed.
   */
  readonly close: () => Promise<void>;
}

const first = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

const callerHeaders = (request: IncomingMessage): CallerHeaders => ({
  authorization: request.headers.authorization,
  requestClass: first(request.headers[headers.requestClass]),
  idempotent: first(request.headers[headers.idempotent]),
  idempotencyKey: first(request.headers[headers.idempotencyKey]),
  prefixLevels: first(request.headers[headers.prefixLevels]),
  lastEventId: first(request.headers[headers.lastEventId]),
});

/** A signal that is aborted when the caller goes away before its answer has ended. */
const callerSignal = (response: ServerResponse): AbortSignal => {
  const controller = new AbortController();
  response.on("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
};

const internalError = (cause: unknown): RequestFailureError =>
  requestError(
    "The router failed.",
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
  requestError("There is no such route.", { status: 404, code: "unknown_route", outcome: outcomes.notRun });

const identityOf = ({ requestId, request }: CompletionAnswer): AnswerIdentity => ({
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

/** SSE text, one item for each batch that arrived together. */
const streamTexts = async function* (answer: CompletionAnswer): AsyncGenerator<string, void, void> {
  const writer = createChunkWriter(identityOf(answer), answer.request.includeUsage);
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
    yield streamEnd;
  } catch (error) {
    yield streamFailure(asRequestError(error));
  }
};

/** A body that is read from the engine only as fast as the caller takes it. */
const streamBody = (texts: AsyncGenerator<string, void, void>): ReadableStream<Uint8Array> =>
  new ReadableStream<Uint8Array>(
    {
      pull: async (controller) => {
        const next = await texts.next();
        if (next.done === true) controller.close();
        else controller.enqueue(textEncoder.encode(next.value));
      },
      cancel: async () => {
        await texts.return();
      },
    },
    { highWaterMark: 0 },
  );

const streamedResponse = (answer: CompletionAnswer): Response =>
  new Response(streamBody(streamTexts(answer)), {
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
  return new Response(wholeAnswer(identityOf(answer), frames), {
    headers: {
      ...jsonType,
      ...answerHeaders(answer),
      ...(usage === undefined ? {} : { [headers.cachedTokens]: String(usage.cachedTokens) }),
    },
  });
};

type Route = (request: IncomingMessage, response: ServerResponse) => Promise<Response>;

const completionRoute =
  (frontEnd: FrontEnd, kind: CompletionRequest["kind"]): Route =>
  async (request, response) => {
    const signal = callerSignal(response);
    const body = (await readRequestBody(request)).toString("utf8");
    const answer = await frontEnd.complete(kind, callerHeaders(request), body, signal);
    return answer.request.stream ? streamedResponse(answer) : await wholeResponse(answer);
  };

const serviceCallRoute =
  (frontEnd: FrontEnd): Route =>
  async (request, response) => {
    const signal = callerSignal(response);
    const [, service, path = "/"] = serviceRoute.exec(request.url ?? "") ?? [];
    if (service === undefined) throw notFound();
    const body = await readRequestBody(request);
    const call = {
      service: decodeURIComponent(service),
      method: request.method ?? "GET",
      path,
      contentType: request.headers["content-type"],
      body: body.length === 0 ? undefined : body,
    };
    const result = await frontEnd.callService(call, callerHeaders(request), signal);
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
      .listModels(callerHeaders(request))
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
 * Waits until all connections have ended by themselves and no new one has come for a while, so that closing
 * the port meets none that is just being made.
 *
 * @param lastConnection - When the newest one came, milliseconds on the monotonic clock.
 * @param limit - The longest wait, milliseconds.
 */
const awaitQuiet = async (server: Server, lastConnection: () => number, limit: number): Promise<void> => {
  const startedAt = performance.now();
  const isQuiet = async (): Promise<boolean> => {
    const since = Math.max(startedAt, lastConnection());
    return performance.now() - since >= quietTime && (await countConnections(server)) === 0;
  };
  while (performance.now() < startedAt + limit && !(await isQuiet())) await sleep(connectionPollInterval);
};

/** Where the server listens and how it treats connections. */
export interface CallerServerOptions {
  /** An IP number. */
  readonly address: string;
  /** 0 takes any free one. */
  readonly port: number;
  /** How long an idle connection stays open, milliseconds; callers are told. */
  readonly keepAlive: number;
}

/** Starts the server. */
export const startCallerServer = async (
  frontEnd: FrontEnd,
  { address, port, keepAlive }: CallerServerOptions,
): Promise<CallerServer> => {
  const nodeHandler = toNodeHandler(createApp(frontEnd));
  let isEnding = false;
  let lastConnection = 0;
  const server = createServer((request, response) => {
    if (isEnding) response.shouldKeepAlive = false;
    void nodeHandler(request, response);
  });
  server.on("connection", () => (lastConnection = performance.now()));
  // Long prompts and long answers: class deadlines bound a request, not the server's clock.
  server.requestTimeout = 0;
  server.keepAliveTimeout = keepAlive;
  await listen(server, address, port);
  const bound = server.address() as AddressInfo;
  const endConnections = (): void => {
    isEnding = true;
  };
  const closeNow = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
      server.closeIdleConnections();
    });
  const close = async (): Promise<void> => {
    endConnections();
    await awaitQuiet(server, () => lastConnection, keepAlive + keepAliveMargin);
    await closeNow();
  };
  return {
    url: `http://${address}:${bound.port}`,
    disableKeepAlive: endConnections,
    close,
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections();
      await closeNow();
    },
  };
};
