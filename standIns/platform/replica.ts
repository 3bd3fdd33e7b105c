/**
 * A stand-in for a replica of the platform: answers requests as an engine or a plain service, accepts orders, and
 * misbehaves on the wire on request. Malformed answers are written to the socket as raw HTTP/1.1, since a server
 * library would prevent them.
 */
import { once } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { gzipSync } from "node:zlib";
import type { AdmittedStream, EngineLoad, EngineLoadSettings } from "./engineLoad.ts";
import { createEngineLoad } from "./engineLoad.ts";
import type { ReplicaRoom, RoomSettings } from "./replicaRoom.ts";
import { createReplicaRoom } from "./replicaRoom.ts";
import type { RawStream } from "./rawStreams.ts";
import { brokenStreams, createRawStream, writeRawStream } from "./rawStreams.ts";

/**
 * How the next request is answered.
 *
 * - `well`: completely and correctly.
 * - `shed`: refused with status 503 as not executed.
 * - `fail`: executed, and answered with status 500.
 * - `unavailable`: executed, and answered with status 503.
 * - `reset`: executed, and the connection closed without an answer.
 * - `cut`: executed, and the connection closed in the middle of the answer's body.
 * - `extra`: answered completely, followed by a second answer on the same connection.
 * - `crossed`: the answer carries another request's id.
 * - `unframed`: the answer has no length and ends when the connection closes.
 * - `broken`: the answer has no length, and the connection is reset in the middle of it.
 * - `early`: answered before the request's body has been read; the connection stays open and the body is read.
 * - `unsealed`: the answer has neither the request's id nor the replica's seal.
 * - `encoded`: the answer's body is compressed, though nobody asked for that.
 * - `hang`: executed, and never answered.
 * - `endless`: executed, and answered with status 500 and a body without end.
 * - `deny`: refused with status 421.
 * - A name of {@link brokenStreams}: a stream that is written as described there.
 */
export type NamedBehaviour =
  | keyof typeof brokenStreams
  | "well"
  | "shed"
  | "fail"
  | "unavailable"
  | "reset"
  | "cut"
  | "extra"
  | "crossed"
  | "unframed"
  | "broken"
  | "early"
  | "unsealed"
  | "encoded"
  | "hang"
  | "endless"
  | "deny";

/** How the next request is answered; a {@link RawStream} only answers requests to engines. */
export type Behaviour = NamedBehaviour | RawStream;

/** A request that was executed. */
export interface ExecutedRequest {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** When its execution began, milliseconds on this process's monotonic clock. */
  readonly at: number;
  /** The weights version on which it began; 0 at a plain service. */
  readonly weightsVersion: number;
  /** True once the connection has closed before the answer was complete. */
  wasCut: boolean;
}

/** A request that arrived, whether it was executed or refused. */
export interface Arrival extends Pick<ExecutedRequest, "headers" | "at"> {
  /** When it was shed, milliseconds on this process's monotonic clock; `undefined` if it was not shed. */
  refusedAt: number | undefined;
  /** `Retry-After` of the answer that shed it; empty if the answer had none. */
  retryAfter: string | undefined;
}

/** An order that was accepted. */
export interface ReceivedOrder {
  /** When it was accepted, milliseconds on this process's monotonic clock. */
  readonly at: number;
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fence: number;
  readonly expectedRev: number | undefined;
}

/** Headers by which a replica reports its state, by lower-case name. */
export type ReportHeaders = Readonly<Record<string, string>>;

/** Identity and behaviour of a replica. */
export interface ReplicaSettings {
  readonly id: string;
  /** The model and weights version of an engine; left out for a plain service. */
  readonly model?: { readonly name: string; readonly version: number };
  /** Number of events in a stream, and the pause between two of them in milliseconds. */
  readonly events?: { readonly count: number; readonly pause: number };
  /** Duration of a plain request, milliseconds. */
  readonly serviceTime?: number;
  /** Time until the head of a stream, milliseconds. */
  readonly firstEventDelay?: number;
  /** Time to load weights, milliseconds. */
  readonly loadTime?: number;
  /** Age of the weights that its status names, milliseconds. */
  readonly reportLag?: number;
  /** How an engine computes prompts and uses memory; without it, all streams begin at once. */
  readonly load?: EngineLoadSettings;
  /** Places for requests; without it, there is no limit. */
  readonly room?: RoomSettings;
  /** Every order is refused as if another one were in progress. */
  readonly refusesOrders?: boolean;
  /** Decides which requests crash the process: shortly after their execution began, or in the middle of their stream. */
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
  /** Loads weights at once, as if ordered by somebody else. */
  readonly loadWeights: (version: number) => void;
  /** Sets the behaviours of the next requests, in order; the requests after them are answered with `well`. */
  readonly setBehaviours: (...behaviours: readonly Behaviour[]) => void;
  /** Sets the limit that all following answers report; `undefined` removes it. */
  readonly setReportedLimit: (text: string | (() => string | undefined) | undefined) => void;
  /** Sets the headers of all following answers, whatever their status. */
  readonly setReportHeaders: (headers: ReportHeaders | ((behaviour: Behaviour) => ReportHeaders)) => void;
  /** Its places, and whether it is brittle. */
  readonly room: Pick<ReplicaRoom, "setBrittle" | "falls">;
  /** The load of an engine that has one. */
  readonly load: EngineLoad | undefined;
  /** Simulates a killed process: resets all connections and closes the port. */
  readonly crash: () => void;
  readonly hasCrashed: () => boolean;
}

/** Time to load weights, milliseconds. */
const defaultLoadTime = 30;

/** Time from the start of an execution to the crash that it causes, as a number of event pauses. */
const eventPausesBeforeCrash = 2;

/** The header of a request whose events each carry this number of additional bytes. */
export const paddingHeader = "x-event-padding";

const sealOf = (id: string, run: ExecutedRequest): string => `${id}.${run.id}`;

const readBody = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

/** @returns The stream that a behaviour describes; `undefined` if it describes none. */
const rawStreamOf = (behaviour: Behaviour): RawStream | undefined => {
  if (typeof behaviour === "object") return behaviour;
  if (behaviour === "unframed") return createRawStream();
  return behaviour in brokenStreams ? brokenStreams[behaviour as keyof typeof brokenStreams] : undefined;
};

/** @returns The number of the first event that a request is due. */
const firstEventOf = ({ headers }: ExecutedRequest): number => Number(headers["last-event-id"] ?? 0) + 1;

const isStream = ({ headers }: ExecutedRequest): boolean => headers["x-model"] !== undefined;

const writeRaw = (response: ServerResponse, headers: readonly string[], body: string | Buffer): void => {
  const head = ["HTTP/1.1 200 OK", ...headers, "", ""].join("\r\n");
  response.socket?.write(head);
  response.socket?.write(body);
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

/**
 * Writes the events of a stream.
 *
 * @param limit - Number of complete events after which the connection is cut.
 */
const writeEvents = async (
  run: ExecutedRequest,
  response: ServerResponse,
  events: Required<ReplicaSettings>["events"],
  limit: number,
  stream: AdmittedStream | undefined,
): Promise<void> => {
  const first = firstEventOf(run);
  const padding = "x".repeat(Number(run.headers[paddingHeader] ?? 0));
  for (let number = first; number <= events.count; number += 1) {
    if (response.destroyed) return;
    if (number - first >= limit) {
      response.write(`id: ${number}\ndata: ha`);
      await sleep(events.pause);
      response.destroy();
      return;
    }
    await stream?.waitForMemory(() => response.destroyed);
    response.write(`id: ${number}\ndata: ${run.id} ${number}${padding}\n\n`);
    await sleep(events.pause);
  }
  response.end();
};

const answerPlain = (
  run: ExecutedRequest,
  response: ServerResponse,
  headers: Readonly<Record<string, string>>,
): void => {
  const body = bodyOf(run);
  response.writeHead(200, { ...headers, "content-length": Buffer.byteLength(body) });
  response.end(body);
};

/** Answers with a stream that is written as raw text. */
const sendRawStream = async (
  run: ExecutedRequest,
  response: ServerResponse,
  stream: RawStream,
  headers: Readonly<Record<string, string>>,
  events: Required<ReplicaSettings>["events"],
): Promise<void> => {
  const due = {
    first: firstEventOf(run),
    last: events.count,
    dataOf: (number: number): string => `${run.id} ${number}`,
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  if (response.socket !== null) await writeRawStream(response.socket, lines, stream, due, events.pause);
};

/** Answers a request whose body has not been read. */
const answerEarly = (replica: string, attempt: string, response: ServerResponse): void => {
  const body = "early";
  response.writeHead(200, {
    "x-attempt-id": attempt,
    "x-replica-seal": `${replica}.${attempt}`,
    "content-length": body.length,
  });
  response.end(body);
};

const endlessChunk = "x".repeat(16_384);

/** Writes a body until the connection closes. */
const sendEndlessBody = async (response: ServerResponse, headers: readonly string[]): Promise<void> => {
  const { socket } = response;
  if (socket === null) return;
  socket.write(["HTTP/1.1 500 Internal Server Error", ...headers, "", ""].join("\r\n"));
  while (!socket.destroyed) {
    if (socket.writableLength < endlessChunk.length) socket.write(endlessChunk);
    await sleep(1);
  }
};

const sendEncoded = (response: ServerResponse, mark: readonly string[], body: string): void => {
  const compressed = gzipSync(body);
  const length = `content-length: ${compressed.length}`;
  writeRaw(response, [...mark, "content-encoding: gzip", length], compressed);
};

/** Answers a plain request incorrectly, as the behaviour says. */
const sendMalformedAnswer = (
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
  else if (behaviour === "endless") void sendEndlessBody(response, mark);
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
  else if (behaviour === "encoded") sendEncoded(response, mark, body);
};

/** @returns A function that closes a server's port and resets its connections, as the end of its process would. */
const createConnectionReset = (server: Server): (() => void) => {
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

/** @returns Whether an order expects another number of accepted orders than the replica has. */
const isConflict = (order: Omit<ReceivedOrder, "at">, accepted: number): boolean =>
  order.expectedRev !== undefined && order.expectedRev !== accepted;

/** Refuses a request for another replica or weights version. @returns Whether it was refused. */
const refuseMisdirected = (
  headers: ExecutedRequest["headers"],
  own: { readonly id: string; readonly version: number; readonly isDenying: boolean },
  response: ServerResponse,
): boolean => {
  const replica = headers["x-expect-replica"];
  const version = headers["x-expect-version"];
  if (replica !== undefined && replica !== own.id) {
    refuse(response, 421, { "x-replica-id": own.id });
    return true;
  }
  if (!own.isDenying && (version === undefined || Number(version) === own.version)) return false;
  refuse(response, 421);
  return true;
};

const shed = (arrival: Arrival, response: ServerResponse): void => {
  arrival.refusedAt = performance.now();
  arrival.retryAfter = String(response.getHeader("retry-after") ?? "");
  refuse(response, 503, { "x-not-executed": "1" });
};

/** Creates the body of a replica's report. */
const createReport = ({
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

/** Manages the headers by which a replica reports its state. */
const createReportedHeaders = () => {
  let limitText: () => string | undefined = () => undefined;
  let reportHeaders: (behaviour: Behaviour) => ReportHeaders = () => ({});
  const setReportedLimit: ReplicaStandIn["setReportedLimit"] = (text) => {
    limitText = typeof text === "function" ? text : () => text;
  };
  const setReportHeaders: ReplicaStandIn["setReportHeaders"] = (headers) => {
    reportHeaders = typeof headers === "function" ? headers : () => headers;
  };
  return {
    setReportedLimit,
    setReportHeaders,
    addLimit: (response: ServerResponse): void => {
      const limit = limitText();
      if (limit !== undefined) response.setHeader("server-limit", limit);
    },
    addHeaders: (response: ServerResponse, behaviour: Behaviour): void => {
      for (const [name, value] of Object.entries(reportHeaders(behaviour))) response.setHeader(name, value);
    },
  };
};

/** @param reportLag - Milliseconds after which the status names loaded weights. */
const createLoadedWeights = (initial: number, reportLag: number) => {
  let version = initial;
  let reported = initial;
  return {
    version: () => version,
    reported: () => reported,
    load: (next: number): void => {
      version = next;
      if (reportLag === 0) reported = next;
      else setTimeout(() => (reported = next), reportLag);
    },
  };
};

/** Accepts orders to load weights, one at a time. */
const createOrders = (
  { refusesOrders = false, loadTime = defaultLoadTime }: ReplicaSettings,
  loadWeights: (version: number) => void,
) => {
  const accepted: ReceivedOrder[] = [];
  let isLoading = false;
  return {
    accepted: accepted as readonly ReceivedOrder[],
    isLoading: () => isLoading,
    handle: async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
      const order = JSON.parse(await readBody(request)) as Omit<ReceivedOrder, "at">;
      if (refusesOrders || isLoading || isConflict(order, accepted.length)) {
        refuse(response, 409);
        return;
      }
      accepted.push({ ...order, at: performance.now() });
      isLoading = true;
      refuse(response, 202);
      await sleep(loadTime);
      loadWeights(order.version);
      isLoading = false;
    },
  };
};

/** Starts a replica on a free loopback port. */
export const startReplicaStandIn = async (settings: ReplicaSettings): Promise<ReplicaStandIn> => {
  const { id, model, events = { count: 5, pause: 5 } } = settings;
  const { crashesOn = () => "never", serviceTime = 0, firstEventDelay = 0 } = settings;
  const runs: ExecutedRequest[] = [];
  const arrivals: Arrival[] = [];
  let behaviours: Behaviour[] = [];
  const weights = createLoadedWeights(model?.version ?? 0, settings.reportLag ?? 0);
  const reports = createReportedHeaders();
  const load = settings.load === undefined ? undefined : createEngineLoad(settings.load);
  const room = createReplicaRoom(settings.room, () => server.closeAllConnections());
  const orders = createOrders(settings, weights.load);
  let hasCrashed = false;

  const crash = (): void => {
    hasCrashed = true;
    resetAll();
  };

  const headersOf = (run: ExecutedRequest): Record<string, string> => ({
    "x-attempt-id": run.id,
    "x-replica-seal": sealOf(id, run),
    ...(model === undefined ? {} : { "x-weight-versions": String(weights.version()) }),
  });

  /** @param limit - Number of complete events after which the connection is cut. */
  const sendEvents = async (run: ExecutedRequest, response: ServerResponse, limit: number): Promise<void> => {
    const tokenCount = run.headers["x-token-count"];
    const stream = await load?.admit(typeof tokenCount === "string" ? tokenCount : undefined);
    try {
      response.writeHead(200, { ...headersOf(run), "content-type": "text/event-stream" });
      await writeEvents(run, response, events, limit, stream);
    } finally {
      stream?.release();
    }
  };

  const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { headers, method = "", url: target = "" } = request;
    const behaviour = behaviours.shift() ?? "well";
    const arrival: Arrival = { headers, at: performance.now(), refusedAt: undefined, retryAfter: undefined };
    arrivals.push(arrival);
    reports.addLimit(response);
    reports.addHeaders(response, behaviour);
    const brittleness = room.brittleness();
    if (brittleness !== undefined) response.setHeader("server-brittle", String(brittleness.rejections));
    const received = { id: String(headers["x-attempt-id"]), method, target, headers };
    if (behaviour === "early") {
      answerEarly(id, received.id, response);
      await readBody(request);
      return;
    }
    const body = await readBody(request);
    const isDenying = behaviour === "deny";
    if (refuseMisdirected(headers, { id, version: weights.version(), isDenying }, response)) return;
    if (behaviour === "shed" || orders.isLoading()) {
      shed(arrival, response);
      return;
    }
    const entry = await room.enter(response);
    if (entry === "full") shed(arrival, response);
    if (entry !== "entered") return;
    const begun = { at: performance.now(), weightsVersion: weights.version() };
    const executed: ExecutedRequest = { ...received, ...begun, body, wasCut: false };
    runs.push(executed);
    response.on("close", () => {
      executed.wasCut = !response.writableFinished;
    });
    if (behaviour === "hang") return;
    const crashPoint = crashesOn(executed);
    if (crashPoint !== "never") {
      if (crashPoint === "midway") void sendEvents(executed, response, Number.POSITIVE_INFINITY);
      await sleep(events.pause * eventPausesBeforeCrash);
      crash();
      return;
    }
    if (serviceTime > 0 && !isStream(executed)) await sleep(serviceTime);
    if (firstEventDelay > 0 && isStream(executed)) await sleep(firstEventDelay);
    const rawStream = isStream(executed) ? rawStreamOf(behaviour) : undefined;
    if (rawStream !== undefined)
      await sendRawStream(executed, response, rawStream, headersOf(executed), events);
    else if (behaviour === "fail") refuse(response, 500, headersOf(executed));
    else if (behaviour === "unavailable") refuse(response, 503, headersOf(executed));
    else if (isStream(executed) && behaviour === "cut") await sendEvents(executed, response, 2);
    else if (behaviour !== "well") sendMalformedAnswer(id, events.pause, executed, response, behaviour);
    else if (isStream(executed)) await sendEvents(executed, response, Number.POSITIVE_INFINITY);
    else answerPlain(executed, response, headersOf(executed));
  };

  const sendStatus = (response: ServerResponse): void => {
    const status = {
      version: weights.reported(),
      busy: orders.isLoading(),
      sequence: orders.accepted.length,
    };
    sendJson(response, createReport({ model, ...status }));
  };

  const server = createServer((request, response) => {
    if (request.url === "/-/report" || request.url === "/-/order") reports.addHeaders(response, "well");
    if (request.url === "/-/report") sendStatus(response);
    else if (request.url === "/-/order") void orders.handle(request, response);
    else void handleRequest(request, response);
  });
  server.on("connection", (socket) => {
    if (room.isFallen()) socket.resetAndDestroy();
  });
  const resetAll = createConnectionReset(server);
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
    orders: orders.accepted,
    version: weights.version,
    loadWeights: weights.load,
    room,
    load,
    setReportedLimit: reports.setReportedLimit,
    setReportHeaders: reports.setReportHeaders,
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
