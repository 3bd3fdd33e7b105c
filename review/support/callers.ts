/** Callers that speak HTTP/1.1 as the platform's consumers do. */
import { request as httpRequest } from "node:http";
import type { Agent, IncomingHttpHeaders } from "node:http";

/** What a caller got. */
export interface Answer {
  /** 0 if the connection ended without an answer. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  readonly isComplete: boolean;
  readonly milliseconds: number;
  readonly error: string;
}

/** One attempt of a caller. */
export interface Attempt {
  readonly address: string;
  readonly port: number;
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly key: string;
  /** Milliseconds that the caller waits. */
  readonly deadline: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Keeps the connection open for further requests; without it, each attempt has its own. */
  readonly agent?: Agent;
}

/** Sends an attempt; never rejects. */
export const send = (attempt: Attempt): Promise<Answer> =>
  new Promise((resolve) => {
    const sentAt = performance.now();
    const chunks: Buffer[] = [];
    const end = (status: number, headers: IncomingHttpHeaders, isComplete: boolean, error = ""): void => {
      clearTimeout(timer);
      const body = Buffer.concat(chunks).toString();
      resolve({ status, headers, body, isComplete, milliseconds: performance.now() - sentAt, error });
    };
    const request = httpRequest(
      {
        host: attempt.address,
        port: attempt.port,
        method: attempt.method,
        path: attempt.path,
        agent: attempt.agent ?? false,
        headers: {
          host: attempt.host,
          "x-attempt-id": attempt.id,
          "x-deadline-ms": String(attempt.deadline),
          authorization: `Bearer ${attempt.key}`,
          ...attempt.headers,
        },
      },
      (response) => {
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("end", () => end(response.statusCode ?? 0, response.headers, response.complete));
        response.on("error", (error) =>
          end(response.statusCode ?? 0, response.headers, false, String(error)),
        );
      },
    );
    const timer = setTimeout(() => request.destroy(new Error("the deadline has passed")), attempt.deadline);
    request.on("error", (error) => end(0, {}, false, String(error)));
    request.end(attempt.body);
  });
