/** A replica that answers with bytes that never end. It is written to the socket as raw HTTP/1.1. */
import { once } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

interface EndlessAnswer {
  /** @param fields - The header lines that identify the answer. */
  readonly head: (fields: string) => string;
  /** Repeated until the connection closes. */
  readonly endless: string;
}

const filler = "x".repeat(16_384);

const okHead =
  (lines: string) =>
  (fields: string): string =>
    `HTTP/1.1 200 OK\r\n${fields}${lines}\r\n`;

const withStatus =
  (status: string) =>
  (fields: string): string =>
    `HTTP/1.1 ${status}\r\n${fields}${status.startsWith("500") ? "" : "x-not-executed: 1\r\n"}\r\n`;

const eventStream = okHead("content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");

const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** What never ends, by where it stands in the answer. */
export const endlessAnswers = {
  headers: { head: (fields) => `HTTP/1.1 200 OK\r\n${fields}`, endless: `x-filler: ${filler}\r\n` },
  headerLine: { head: (fields) => `HTTP/1.1 200 OK\r\n${fields}x-filler: `, endless: filler },
  informationalHeads: {
    head: () => "",
    endless: "HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n".repeat(100),
  },
  misdirectedBody: { head: withStatus("421 Misdirected Request"), endless: filler },
  unavailableBody: { head: withStatus("503 Service Unavailable"), endless: filler },
  errorBody: { head: withStatus("500 Internal Server Error"), endless: filler },
  chunkExtension: { head: (fields) => `${eventStream(fields)}5;a=`, endless: filler },
  chunkExtensions: { head: eventStream, endless: `1;${"e".repeat(8_000)}\r\n:\r\n` },
  trailers: {
    head: (fields) => `${eventStream(fields)}${chunkOf(": comment\n\n")}0\r\n`,
    endless: `x-filler: ${filler}\r\n`,
  },
  event: { head: (fields) => `${eventStream(fields)}${chunkOf("id: 1\ndata: ")}`, endless: chunkOf(filler) },
  comments: { head: eventStream, endless: chunkOf(`: ${filler}\n\n`) },
  body: { head: okHead("content-type: application/json\r\n"), endless: filler },
} as const satisfies Readonly<Record<string, EndlessAnswer>>;

export type EndlessPlace = keyof typeof endlessAnswers;

/** One connection on which a request arrived. */
export interface EndlessConnection {
  /** Milliseconds on the monotonic clock; `closedAt` is infinite while it is open. */
  readonly openedAt: number;
  closedAt: number;
  bytes: number;
}

export interface EndlessReplica extends AsyncDisposable {
  readonly id: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly connections: readonly EndlessConnection[];
}

/** Pause between two writes, milliseconds: the writer shares its process with the reader. */
const writePause = 2;

const identifyingHeader = /^x-attempt-id: *(\S+)/im;

const writeEndlessly = async (
  socket: Socket,
  connection: EndlessConnection,
  answer: EndlessAnswer,
  fields: string,
): Promise<void> => {
  socket.write(answer.head(fields));
  while (!socket.destroyed) {
    if (!socket.write(answer.endless))
      await Promise.race([once(socket, "drain"), once(socket, "close")]).catch(() => undefined);
    connection.bytes = socket.bytesWritten;
    await sleep(writePause);
  }
};

/** Starts a replica whose every answer is endless. */
export const startEndlessReplica = async (id: string, place: EndlessPlace): Promise<EndlessReplica> => {
  const connections: EndlessConnection[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    let received = "";
    const connection = { openedAt: performance.now(), closedAt: Number.POSITIVE_INFINITY, bytes: 0 };
    socket.on("error", () => undefined);
    socket.on("close", () => {
      connection.closedAt = performance.now();
    });
    socket.on("data", (data) => {
      const isFirst = received === "";
      received += data.toString("latin1");
      const attempt = identifyingHeader.exec(received)?.[1];
      if (!isFirst || attempt === undefined) return;
      connections.push(connection);
      const fields = `x-attempt-id: ${attempt}\r\nx-replica-seal: ${id}.${attempt}\r\n`;
      void writeEndlessly(socket, connection, endlessAnswers[place], fields);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    id,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    connections,
    [Symbol.asyncDispose]: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
      return Promise.resolve();
    },
  };
};
