/** A caller that keeps one connection to a router open for its requests, and reads answers at a steady rate. */
import type { Socket } from "node:net";
import { Agent, request as httpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { caller } from "./callers.ts";
import type { Router } from "./deployment.ts";

/** How a request on a kept connection ended. */
export interface ChannelResult {
  readonly id: string;
  readonly status: number;
  readonly isComplete: boolean;
  /** Whether the connection had served a request before. */
  readonly isKept: boolean;
  /** Bytes of the body that were read. */
  readonly bytes: number;
  readonly milliseconds: number;
  /** The longest time without a byte, milliseconds. */
  readonly longestGap: number;
  readonly error: string;
}

/** A request on a kept connection. */
export interface ChannelRequest {
  readonly id: string;
  readonly path: string;
  readonly method: string;
  /** Milliseconds. */
  readonly deadline: number;
}

/** A caller with a connection of its own. */
export interface Channel extends Disposable {
  readonly send: (request: ChannelRequest) => Promise<ChannelResult>;
}

const millisecondsPerSecond = 1_000;

/**
 * Creates a caller without a connection yet.
 *
 * @param rate - Bytes that it reads a second.
 */
export const createChannel = (router: Router, rate: number): Channel => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const used = new WeakSet<Socket>();

  const send = ({ id, path, method, deadline }: ChannelRequest): Promise<ChannelResult> =>
    new Promise((resolve) => {
      const startedAt = performance.now();
      let status = 0;
      let bytes = 0;
      let isKept = false;
      let longestGap = 0;
      let readAt = startedAt;
      const end = (isComplete: boolean, error: string): void => {
        const milliseconds = Math.round(performance.now() - startedAt);
        resolve({ id, status, isComplete, isKept, bytes, milliseconds, longestGap, error });
      };
      const outgoing = httpRequest(
        {
          host: router.host,
          port: router.port,
          method,
          path,
          agent,
          headers: {
            host: caller.host,
            "x-attempt-id": id,
            "x-deadline-ms": String(deadline),
            authorization: `Bearer ${caller.key}`,
          },
        },
        (response) => {
          status = response.statusCode ?? 0;
          const readOn = async (length: number): Promise<void> => {
            response.pause();
            await sleep((length / rate) * millisecondsPerSecond);
            response.resume();
          };
          response.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            longestGap = Math.max(longestGap, Math.round(performance.now() - readAt));
            readAt = performance.now();
            void readOn(chunk.length);
          });
          response.on("end", () => end(response.complete, ""));
          response.on("error", (error: NodeJS.ErrnoException) => end(false, error.code ?? error.message));
        },
      );
      outgoing.on("socket", (socket) => {
        isKept = used.has(socket);
        used.add(socket);
      });
      outgoing.on("error", (error: NodeJS.ErrnoException) => end(false, error.code ?? error.message));
      outgoing.end();
    });

  return {
    send,
    [Symbol.dispose]: () => agent.destroy(),
  };
};

/** Describes a result for the record. */
export const describeChannelResult = (result: ChannelResult): string => {
  const { id, status, isComplete, isKept, bytes, milliseconds, longestGap, error } = result;
  const ending = isComplete ? "complete" : `incomplete ${error}`;
  const connection = isKept ? "kept connection" : "new connection";
  return `${id} status ${status} ${ending}, ${bytes} bytes in ${milliseconds} ms, longest gap ${longestGap} ms, ${connection}`;
};
