/** A plain replica whose answers have a given length. */
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Identity and answers of a plain replica. */
export interface DeskSettings {
  readonly id: string;
  /** Called for each run. */
  readonly onRun: (id: string) => void;
  /** Time until an answer, milliseconds; none by default. */
  readonly serviceTime?: number;
}

/** A running plain replica. */
export interface Desk extends Disposable {
  readonly id: string;
  /** `IP:PORT`. */
  readonly address: string;
}

/** The query parameter with the length of the answer, bytes. */
const lengthParameter = "bytes";

/** @returns The path of a request whose answer has a given length. */
export const pathOfLength = (route: string, bytes: number): string =>
  `/${route}/records?${lengthParameter}=${bytes}`;

const serve = async (
  { id: desk, onRun, serviceTime = 0 }: DeskSettings,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  request.resume();
  if (!request.complete) await once(request, "end");
  const { headers, url = "" } = request;
  const replica = headers["x-expect-replica"];
  if (replica !== undefined && replica !== desk) {
    response.writeHead(421, { "x-replica-id": desk, "content-length": 0 }).end();
    return;
  }
  const id = String(headers["x-attempt-id"]);
  onRun(id);
  if (serviceTime > 0) await sleep(serviceTime);
  const bytes = Number(new URL(url, "http://desk").searchParams.get(lengthParameter));
  response.writeHead(200, {
    "x-attempt-id": id,
    "x-replica-seal": `${desk}.${id}`,
    "content-length": bytes,
  });
  response.end(Buffer.alloc(bytes, "a"));
};

/** Starts a plain replica on a free loopback port. */
export const startDesk = async (settings: DeskSettings): Promise<Desk> => {
  const server = createServer((request, response) => {
    serve(settings, request, response).catch(() => response.destroy());
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    id: settings.id,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    [Symbol.dispose]: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
