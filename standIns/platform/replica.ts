/**
 * A replica of the platform: answers requests as an engine or a plain service, takes orders, and misbehaves on the
 * wire as it is told. It speaks raw HTTP/1.1, since most misbehaviour is what a server library would prevent.
 */
import { once } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/**
 * How the next request is answered.
 *
 * - `well`: whole, in order.
 * - `shed`: refused as not run.
 * - `fail`: the replica's own failure, status 500.
 * - `reset`: run, and the connection closed without an answer.
 * - `cut`: run, and closed in the middle of the answer's body.
 * - `extra`: answered whole, and a second answer follows on the same connection.
 * - `crossed`: the answer bears another request's id.
 * - `unframed`: the answer has no length and ends with its connection.
 * - `broken`: the answer has no length, and its connection is reset in the middle.
 * - `early`: the answer comes before the body has been read; the connection is kept, and the rest read on.
 * - `unsealed`: the answer bears no mark of a replica.
 * - `hang`: run, and never answered.
 */
export type Behaviour =
  | "well"
  | "shed"
  | "fail"
  | "reset"
  | "cut"
  | "extra"
  | "crossed"
  | "unframed"
  | "broken"
  | "early"
  | "unsealed"
  | "hang";

/** A request that was run. */
export interface ExecutedRequest {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** When it began, milliseconds on this process's monotonic clock. */
  readonly at: number;
  /** The weights that it began on; 0 at a plain service. */
  readonly weightsVersion: number;
  /** True once the caller's connection closed before the answer had ended. */
  wasCut: boolean;
}

/** A request that came, whether it was run or refused. */
export interface Arrival extends Pick<ExecutedRequest, "headers" | "at"> {
  /** When it was turned away, milliseconds on this process's monotonic clock; nothing if it was run. */
  refusedAt: number | undefined;
  /** `Retry-After` of that answer. */
  retryAfter: string | undefined;
}

/** An order as it arrived. */
export interface ReceivedOrder {
  /** When it was accepted, milliseconds on this process's monotonic clock. */
  readonly at: number;
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fence: number;
  readonly expectedRev: number | undefined;
}

/** Headers in which a replica reports about itself, by lower-case name. */
export type ReportHeaders = Readonly<Record<string, string>>;

/** What a replica is like. */
export interface ReplicaSettings {
  readonly id: string;
  /** Set for engines: their model and its version. */
  readonly model?: { readonly name: string; readonly version: number };
  /** Events of a stream, and the pause between two of them, milliseconds. */
  readonly events?: { readonly count: number; readonly pause: number };
  /** How long a plain request takes, milliseconds. */
  readonly serviceTime?: number;
  /** How long a load takes, milliseconds. */
  readonly loadTime?: number;
  /** Every order is answered as if another one were being carried out. */
  readonly refusesOrders?: boolean;
  /** Requests under which the process ends as soon as it has begun to run them, or in the middle of their stream. */
  readonly crashesOn?: (run: ExecutedRequest) => "never" | "begin" | "midway";
}

/** A running replica. */
export interface ReplicaStandIn extends AsyncDisposable {
  readonly id: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly runs: readonly ExecutedRequest[];
  readonly arrivals: readonly Arrival[];
  readonly orders: readonly ReceivedOrder[];
  readonly version: () => number;
  /** Behaviours of the next requests, first to last; then they are answered well. */
  readonly setBehaviours: (...behaviours: readonly Behaviour[]) => void;
  /** What all answers from now on name as the limit; nothing ends it. */
  readonly setReportedLimit: (text: string | (() => string | undefined) | undefined) => void;
  /** Headers of all answers from now on, whatever their status. */
  readonly setReportHeaders: (headers: ReportHeaders | ((behaviour: Behaviour) => ReportHeaders)) => void;
  /** Ends as a killed process does: all connections are reset, and the port is closed. */
  readonly crash: () => void;
  readonly hasCrashed: () => boolean;
}

/** Pauses between events from the beginning of a run until the crash that it causes. */
const crashPauses = 2;

const sealOf = (id: string, run: ExecutedRequest): string => `${id}.${run.id}`;

const readBody = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

const isStream = ({ headers }: ExecutedRequest): boolean => headers["x-model"] !== undefined;

const writeRaw = (response: ServerResponse, headers: readonly string[], body: string): void => {
  const head = ["HTTP/1.1 200 OK", ...headers, "", ""].join("\r\n");
  response.socket?.write(head + body);
};

const refuse = (response: ServerResponse, status: number, headers: Record<string, string> = {}): void => {
  response.writeHead(status, { "content-length": 0, ...headers });
  response.end();
};

const sendJson = (response: ServerResponse, value: unknown): void => {
  response.writeHead(200, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
};

const bodyOf = (run: ExecutedRequest): string => JSON.stringify({ id: run.id, body: run.body });

/** Answers what has not been read; the id of the request is all that is needed. */
const answerEarly = (replica: string, attempt: string, response: ServerResponse): void => {
  const body = "early";
  response.writeHead(200, {
    "x-attempt-id": attempt,
    "x-replica-seal": `${replica}.${attempt}`,
    "content-length": body.length,
  });
  response.end(body);
};

/** Answers a plain request in a way that it should not be answered. */
const misbehave = (
  replica: string,
  pause: number,
  run: ExecutedRequest,
  response: ServerResponse,
  behaviour: Behaviour,
): void => {
  const body = bodyOf(run);
  const mark = [`x-attempt-id: ${run.id}`, `x-replica-seal: ${sealOf(replica, run)}`];
  const length = `content-length: ${Buffer.byteLength(body)}`;
  if (behaviour === "reset") response.destroy();
  else if (behaviour === "cut") {
    writeRaw(response, [...mark, length], body.slice(0, body.length / 2));
    setTimeout(() => response.destroy(), pause);
  } else if (behaviour === "extra") {
    writeRaw(response, [...mark, length], body);
    writeRaw(response, [...mark, length], body);
  } else if (behaviour === "crossed") {
    writeRaw(response, ["x-attempt-id: another", "x-replica-seal: another", length], body);
  } else if (behaviour === "unframed") {
    writeRaw(response, [...mark, "connection: close"], body);
    response.socket?.end();
  } else if (behaviour === "broken") {
    writeRaw(response, [...mark, "connection: close"], body.slice(0, body.length / 2));
    setTimeout(() => response.socket?.resetAndDestroy(), pause);
  } else if (behaviour === "unsealed") writeRaw(response, [length], body);
};

/** @returns What closes a server's port and resets its connections, as the end of its process does. */
const createReset = (server: Server): (() => void) => {
  const sockets = new Set<Socket>();
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  return () => {
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
  };
};

/** What an order comes with, checked against what a replica is doing. */
const isConflict = (order: Omit<ReceivedOrder, "at">, accepted: number): boolean =>
  order.expectedRev !== undefined && order.expectedRev !== accepted;

/** @returns Whether the request was for another replica or other weights, and was refused as such. */
const refuseMisdirected = (
  headers: ExecutedRequest["headers"],
  own: { readonly id: string; readonly version: number },
  response: ServerResponse,
): boolean => {
  const replica = headers["x-expect-replica"];
  const version = headers["x-expect-version"];
  if (replica !== undefined && replica !== own.id) {
    refuse(response, 421, { "x-replica-id": own.id });
    return true;
  }
  if (version === undefined || Number(version) === own.version) return false;
  refuse(response, 421);
  return true;
};

/** What an engine says of itself. */
const reportOf = ({
  model,
  version,
  ...fields
}: Pick<ReplicaSettings, "model"> & {
  readonly version: number;
  readonly busy: boolean;
  readonly sequence: number;
}) => ({
  stage: "colocated",
  models: model === undefined ? [] : [{ name: model.name, version, adapters: [] }],
  waiting: 0,
  running: 0,
  ...fields,
});

/** What a replica reports about itself in the heads of its answers. */
const createReports = () => {
  let limitText: () => string | undefined = () => undefined;
  let reported: (behaviour: Behaviour) => ReportHeaders = () => ({});
  const nameLimit: ReplicaStandIn["setReportedLimit"] = (text) => {
    limitText = typeof text === "function" ? text : () => text;
  };
  const report: ReplicaStandIn["setReportHeaders"] = (headers) => {
    reported = typeof headers === "function" ? headers : () => headers;
  };
  return {
    nameLimit,
    report,
    setLimit: (response: ServerResponse): void => {
      const limit = limitText();
      if (limit !== undefined) response.setHeader("server-limit", limit);
    },
    set: (response: ServerResponse, behaviour: Behaviour): void => {
      for (const [name, value] of Object.entries(reported(behaviour))) response.setHeader(name, value);
    },
  };
};

/** Starts a replica on a free port. */
export const startReplicaStandIn = async (settings: ReplicaSettings): Promise<ReplicaStandIn> => {
  const { id, model, events = { count: 5, pause: 5 }, loadTime = 30, refusesOrders = false } = settings;
  const { crashesOn = () => "never", serviceTime = 0 } = settings;
  const runs: ExecutedRequest[] = [];
  const arrivals: Arrival[] = [];
  const orders: ReceivedOrder[] = [];
  let behaviours: Behaviour[] = [];
  let version = model?.version ?? 0;
  const reports = createReports();
  let isLoading = false;
  let hasCrashed = false;

  const crash = (): void => {
    hasCrashed = true;
    resetAll();
  };

  const headersOf = (run: ExecutedRequest): Record<string, string> => ({
    "x-attempt-id": run.id,
    "x-replica-seal": sealOf(id, run),
    ...(model === undefined ? {} : { "x-weight-versions": String(version) }),
  });

  const streamEvents = async (
    run: ExecutedRequest,
    response: ServerResponse,
    stopAfter: number,
  ): Promise<void> => {
    response.writeHead(200, { ...headersOf(run), "content-type": "text/event-stream" });
    const first = Number(run.headers["last-event-id"] ?? 0) + 1;
    for (let number = first; number <= events.count; number += 1) {
      if (response.destroyed) return;
      if (number - first >= stopAfter) {
        response.write(`id: ${number}\ndata: ha`);
        await sleep(events.pause);
        response.destroy();
        return;
      }
      response.write(`id: ${number}\ndata: ${run.id} ${number}\n\n`);
      await sleep(events.pause);
    }
    response.end();
  };

  const answerPlain = (run: ExecutedRequest, response: ServerResponse): void => {
    const body = bodyOf(run);
    response.writeHead(200, { ...headersOf(run), "content-length": Buffer.byteLength(body) });
    response.end(body);
  };

  const run = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { headers, method = "", url: target = "" } = request;
    const behaviour = behaviours.shift() ?? "well";
    const arrival: Arrival = { headers, at: performance.now(), refusedAt: undefined, retryAfter: undefined };
    arrivals.push(arrival);
    reports.setLimit(response);
    reports.set(response, behaviour);
    const asked = { id: String(headers["x-attempt-id"]), method, target, headers };
    if (behaviour === "early") {
      answerEarly(id, asked.id, response);
      await readBody(request);
      return;
    }
    const body = await readBody(request);
    if (refuseMisdirected(headers, { id, version }, response)) return;
    if (behaviour === "shed" || isLoading) {
      arrival.refusedAt = performance.now();
      arrival.retryAfter = String(response.getHeader("retry-after") ?? "");
      refuse(response, 503, { "x-not-executed": "1" });
      return;
    }
    const at = performance.now();
    const made: ExecutedRequest = { ...asked, body, at, weightsVersion: version, wasCut: false };
    runs.push(made);
    response.on("close", () => {
      made.wasCut = !response.writableFinished;
    });
    if (behaviour === "hang") return;
    const crashing = crashesOn(made);
    if (crashing !== "never") {
      if (crashing === "midway") void streamEvents(made, response, Number.POSITIVE_INFINITY);
      await sleep(events.pause * crashPauses);
      crash();
      return;
    }
    if (serviceTime > 0 && !isStream(made)) await sleep(serviceTime);
    if (behaviour === "fail") refuse(response, 500, headersOf(made));
    else if (isStream(made) && behaviour === "cut") await streamEvents(made, response, 2);
    else if (behaviour !== "well") misbehave(id, events.pause, made, response, behaviour);
    else if (isStream(made)) await streamEvents(made, response, Number.POSITIVE_INFINITY);
    else answerPlain(made, response);
  };

  const takeOrder = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const order = JSON.parse(await readBody(request)) as Omit<ReceivedOrder, "at">;
    if (refusesOrders || isLoading || isConflict(order, orders.length)) {
      refuse(response, 409);
      return;
    }
    orders.push({ ...order, at: performance.now() });
    isLoading = true;
    refuse(response, 202);
    await sleep(loadTime);
    version = order.version;
    isLoading = false;
  };

  const server = createServer((request, response) => {
    if (request.url === "/-/report" || request.url === "/-/order") reports.set(response, "well");
    if (request.url === "/-/report")
      sendJson(response, reportOf({ model, version, busy: isLoading, sequence: orders.length }));
    else if (request.url === "/-/order") void takeOrder(request, response);
    else void run(request, response);
  });
  const resetAll = createReset(server);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    id,
    crash,
    hasCrashed: () => hasCrashed,
    address: `127.0.0.1:${port}`,
    runs,
    arrivals,
    orders,
    version: () => version,
    setReportedLimit: reports.nameLimit,
    setReportHeaders: reports.report,
    setBehaviours: (...next) => {
      behaviours = [...next];
    },
    [Symbol.asyncDispose]: () => {
      server.close();
      server.closeAllConnections();
      return Promise.resolve();
    },
  };
};
