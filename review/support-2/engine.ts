/** A model engine that streams events, and may send a second answer late, as a faulty one does. */
import { once } from "node:events";
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Identity and pace of an engine. */
export interface EngineSettings {
  readonly id: string;
  /** Events of a stream. */
  readonly events: number;
  /** Between two events, milliseconds. */
  readonly pause: number;
  /** Called for each run. */
  readonly onRun: (id: string) => void;
  /**
   * @param previous - The id of the request that was answered before on the same connection.
   * @returns Whether a second answer to it is sent now, where the next one is expected.
   */
  readonly sendsSecondAnswer?: (previous: string) => boolean;
}

/** A running engine. */
export interface Engine extends Disposable {
  readonly id: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly connections: () => number;
}

const version = 1;

const report = JSON.stringify({
  stage: "colocated",
  models: [{ name: "m", version, adapters: [] }],
  busy: false,
  sequence: 0,
  waiting: 0,
  running: 0,
  kvUsed: 0,
  kvTotal: 200_000,
  handles: 0,
});

const eventText = (id: string, number: number): string => `id: ${number}\ndata: ${id} ${number}\n\n`;

const headOf = (engine: string, id: string) => ({
  "x-attempt-id": id,
  "x-replica-seal": `${engine}.${id}`,
  "x-weight-versions": String(version),
  "content-type": "text/event-stream",
});

/** Writes a whole answer to a connection, beside the server that manages it. */
const writeSecondAnswer = async (
  socket: Socket,
  id: string,
  { id: engine, events, pause }: EngineSettings,
): Promise<void> => {
  const head = Object.entries(headOf(engine, id)).map(([name, value]) => `${name}: ${value}`);
  socket.write(["HTTP/1.1 200 OK", ...head, "transfer-encoding: chunked", "", ""].join("\r\n"));
  for (let number = 1; number <= events && !socket.destroyed; number += 1) {
    const text = eventText(id, number);
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
    await sleep(pause);
  }
  socket.write("0\r\n\r\n");
};

const isMisdirected = (headers: IncomingHttpHeaders, id: string): boolean => {
  const replica = headers["x-expect-replica"];
  const expected = headers["x-expect-version"];
  return (
    (replica !== undefined && replica !== id) || (expected !== undefined && Number(expected) !== version)
  );
};

const readBody = async (request: IncomingMessage): Promise<void> => {
  request.resume();
  if (!request.complete) await once(request, "end");
};

/** Starts an engine on a free loopback port. */
export const startEngine = async (settings: EngineSettings): Promise<Engine> => {
  const { id: engine, events, pause, onRun, sendsSecondAnswer = () => false } = settings;
  const answered = new Map<Socket, string>();

  const stream = async (id: string, response: ServerResponse): Promise<void> => {
    response.writeHead(200, headOf(engine, id));
    for (let number = 1; number <= events; number += 1) {
      if (response.destroyed) return;
      response.write(eventText(id, number));
      await sleep(pause);
    }
    response.end();
  };

  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { headers, socket, url = "" } = request;
    await readBody(request);
    if (url === "/-/report") {
      response.writeHead(200, { "content-type": "application/json" }).end(report);
      return;
    }
    if (isMisdirected(headers, engine)) {
      response.writeHead(421, { "x-replica-id": engine, "content-length": 0 }).end();
      return;
    }
    const id = String(headers["x-attempt-id"]);
    onRun(id);
    const previous = answered.get(socket);
    if (previous !== undefined && sendsSecondAnswer(previous))
      await writeSecondAnswer(socket, previous, settings);
    answered.set(socket, id);
    await stream(id, response);
  };

  const server = createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  const sockets = new Set<Socket>();
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.setNoDelay();
    socket.on("close", () => {
      sockets.delete(socket);
      answered.delete(socket);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    id: engine,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    connections: () => sockets.size,
    [Symbol.dispose]: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
