/** The HTTP server of every stand-in: routing, fault injection and the control routes for faults and state. */
import { once, setMaxListeners } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { z } from "zod";
import { headers as headerNames, outcomes } from "../src/protocol/constants.ts";
import { cutError, RefusalError, refusal } from "./errors.ts";
import type { CommonFaults } from "./types.ts";
import { pause, pollUntil } from "./waiting.ts";

/** One request with its complete body, and its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Decoded values of the `:name` segments in the route's path. */
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  readonly body: Buffer;
}

/** The answer to a request; an iterable body is streamed chunk by chunk. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | AsyncIterable<string>;
}

/** Answers a request; throws a {@link RefusalError} to refuse it or a {@link cutError} to cut its connection. */
export type Handler = (exchange: Exchange) => Answer | Promise<Answer>;

/** The handler of one method and path. */
export interface Route {
  readonly method: string;
  /** For example `/streams/:name/records`. */
  readonly path: string;
  readonly handler: Handler;
  /** True for a route that is polled: the fault `loseAnswers` does not apply to it. */
  readonly polled?: boolean;
}

/** A listening server. */
export interface StandInServer<Faults extends CommonFaults> extends AsyncDisposable {
  readonly url: string;
  readonly faults: Faults;
  /** Aborted when the stand-in is disposed of. */
  readonly closed: AbortSignal;
  /** Cuts every connection except that of one request. */
  readonly cutConnections: (except?: IncomingMessage) => void;
}

/** Creates an answer with a JSON body. */
export const jsonAnswer = (
  value: unknown,
  status = 200,
  headers: Readonly<Record<string, string>> = {},
): Answer => ({
  status,
  headers: { "content-type": "application/json", ...headers },
  body: JSON.stringify(value),
});

/** Returns a header's value, the first one if it occurs several times. */
export const readHeader = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

/** Parses and validates a JSON body; throws a `RefusalError` with status 400 if it is invalid. */
export const parseBody = <Value>(schema: z.ZodType<Value>, body: Buffer): Value => {
  let parsed: unknown;
  try {
    parsed = JSON.parse(body.toString("utf8"));
  } catch {
    throw refusal(400, "invalid_json", true);
  }
  const result = schema.safeParse(parsed);
  if (!result.success) throw refusal(400, "invalid_request", true);
  return result.data;
};

const matchPath = (pattern: string, path: string): Record<string, string> | undefined => {
  const wanted = pattern.split("/");
  const given = path.split("/");
  if (wanted.length !== given.length) return undefined;
  const parameters: Record<string, string> = {};
  for (const [index, segment] of wanted.entries()) {
    const value = given[index] ?? "";
    if (segment.startsWith(":")) parameters[segment.slice(1)] = decodeURIComponent(value);
    else if (segment !== value) return undefined;
  }
  return parameters;
};

const refusalAnswer = (error: RefusalError): Answer => {
  const outcome: Record<string, string> = error.notRun ? { [headerNames.outcome]: outcomes.notRun } : {};
  return jsonAnswer({ error: { code: error.code, message: error.message } }, error.status, outcome);
};

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts);
};

const runHandler = async (handler: Handler, exchange: Exchange): Promise<Answer> => {
  try {
    return await handler(exchange);
  } catch (error) {
    if (error instanceof RefusalError) return refusalAnswer(error);
    throw error;
  }
};

/** The routes by which a test reads and controls the stand-in; faults do not apply to them. */
const controlRoutes = <Faults extends CommonFaults>(
  faults: Faults,
  schema: z.ZodType<Faults>,
  state: () => unknown,
): readonly Route[] => [
  { method: "GET", path: "/stand-in/faults", handler: () => jsonAnswer(faults) },
  { method: "GET", path: "/stand-in/state", handler: () => jsonAnswer(state()) },
  {
    method: "POST",
    path: "/stand-in/faults",
    handler: ({ body }) => {
      const merged = schema.safeParse({ ...faults, ...parseBody(z.looseObject({}), body) });
      if (!merged.success) throw refusal(400, "invalid_fault");
      return jsonAnswer(Object.assign(faults, merged.data));
    },
  },
];

/** Address, routes and faults of a stand-in's server. */
export interface StandInServerOptions<Faults extends CommonFaults> {
  readonly host: string;
  readonly port: number;
  /** Given if the stand-in reads the switches too; created with all of them off if left out. */
  readonly faults?: Faults;
  readonly faultsSchema: z.ZodType<Faults>;
  readonly routes: readonly Route[];
  /** Handles requests that match no route; without it they get a 404. */
  readonly fallback?: Handler;
  readonly state: () => unknown;
}

/** Starts a stand-in's server and waits until it listens. */
export const startServer = async <Faults extends CommonFaults>(
  options: StandInServerOptions<Faults>,
): Promise<StandInServer<Faults>> => {
  const faults = options.faults ?? options.faultsSchema.parse({});
  const closing = new AbortController();
  setMaxListeners(0, closing.signal);
  const sockets = new Set<Socket>();
  const routes = [...options.routes, ...controlRoutes(faults, options.faultsSchema, options.state)];
  const notFound: Handler = () => {
    throw refusal(404, "not_found", true);
  };

  const waitWhileFrozen = (): Promise<void> => pollUntil(() => !faults.freeze, closing.signal);

  const checkOutage = (): void => {
    if (faults.outage) throw cutError("The stand-in has an outage.");
  };

  const send = async (answer: Answer, response: ServerResponse): Promise<void> => {
    response.writeHead(answer.status, answer.headers);
    if (typeof answer.body === "string") {
      response.end(answer.body);
      return;
    }
    response.flushHeaders();
    for await (const chunk of answer.body) {
      await waitWhileFrozen();
      if (response.destroyed) return;
      response.write(chunk);
    }
    response.end();
  };

  const serve = async (route: Route, exchange: Exchange): Promise<void> => {
    const { response } = exchange;
    if (exchange.target.startsWith("/stand-in/")) {
      await send(await runHandler(route.handler, exchange), response);
      return;
    }
    checkOutage();
    await waitWhileFrozen();
    await pause(faults.latencyMilliseconds, closing.signal);
    const answer = await runHandler(route.handler, exchange);
    await waitWhileFrozen();
    checkOutage();
    if (faults.loseAnswers > 0 && route.polled !== true) {
      faults.loseAnswers -= 1;
      throw cutError("The stand-in loses this answer.");
    }
    await send(answer, response);
  };

  const receive = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const method = request.method ?? "GET";
    const target = request.url ?? "/";
    const url = new URL(target, "http://stand-in");
    const body = await readBody(request);
    const exchange = { request, response, method, target, query: url.searchParams, body };
    for (const route of routes) {
      const parameters = route.method === method ? matchPath(route.path, url.pathname) : undefined;
      if (parameters !== undefined) {
        await serve(route, { ...exchange, parameters });
        return;
      }
    }
    const fallback: Route = { method, path: url.pathname, handler: options.fallback ?? notFound };
    await serve(fallback, { ...exchange, parameters: {} });
  };

  const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    // Any other failure cuts the connection, as a crash of the upstream would.
    receive(request, response).catch(() => request.socket.destroy());
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  server.listen(options.port, options.host);
  await once(server, "listening");
  const { address, port } = server.address() as AddressInfo;

  const cutConnections = (except?: IncomingMessage): void => {
    for (const socket of sockets) if (socket !== except?.socket) socket.destroy();
  };

  return {
    url: `http://${address}:${String(port)}`,
    faults,
    closed: closing.signal,
    cutConnections,
    [Symbol.asyncDispose]: async () => {
      if (closing.signal.aborted) return;
      closing.abort();
      cutConnections();
      server.close();
      await once(server, "close");
    },
  };
};
