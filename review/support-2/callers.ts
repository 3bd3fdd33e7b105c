/** Callers that send requests to routers, each on a new connection. */
import { request as httpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Router } from "./deployment.ts";
import type { WriteRecord } from "./record.ts";

/** The API key of the deployment's only tenant, and the host of all routes. */
export const caller = { key: "key-one", host: "model.example" } as const;

/** A request of a caller. */
export interface CallerRequest {
  readonly id: string;
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** How long the caller waits, milliseconds. */
  readonly deadline: number;
  /** When the caller resets its connection, milliseconds after it has sent the request. */
  readonly leavesAfter?: number | undefined;
}

/** How a request ended for its caller. */
export interface CallerResult {
  readonly id: string;
  /** 0 without an answer. */
  readonly status: number;
  /** Whether the whole answer has arrived. */
  readonly isComplete: boolean;
  readonly hasLeft: boolean;
  readonly bytes: number;
  readonly milliseconds: number;
  /** The error that ended it. */
  readonly error: string;
}

/** A caller gives up this long after its deadline, milliseconds. */
const patience = 1_000;

/** How long a caller waits after a request that was not served, milliseconds. */
const pauseAfterFailure = 250;

/** Sends a request and waits for the end of its answer. */
export const send = (router: Router, request: CallerRequest): Promise<CallerResult> =>
  new Promise((resolve) => {
    const { id, path, method = "POST", headers = {}, body = "", deadline, leavesAfter } = request;
    const startedAt = performance.now();
    let status = 0;
    let bytes = 0;
    let hasLeft = false;
    let isEnded = false;
    const timers: NodeJS.Timeout[] = [];
    const end = (isComplete: boolean, error: string): void => {
      if (isEnded) return;
      isEnded = true;
      timers.forEach(clearTimeout);
      const milliseconds = Math.round(performance.now() - startedAt);
      resolve({ id, status, isComplete, hasLeft, bytes, milliseconds, error });
    };
    const outgoing = httpRequest(
      {
        host: router.host,
        port: router.port,
        method,
        path,
        agent: false,
        headers: {
          host: caller.host,
          "x-attempt-id": id,
          "x-deadline-ms": String(deadline),
          authorization: `Bearer ${caller.key}`,
          ...headers,
        },
      },
      (response) => {
        status = response.statusCode ?? 0;
        response.on("data", (chunk: Buffer) => {
          bytes += chunk.length;
        });
        response.on("end", () => end(response.complete, ""));
        response.on("error", (error: NodeJS.ErrnoException) => end(false, error.code ?? error.message));
      },
    );
    outgoing.on("error", (error: NodeJS.ErrnoException) => end(false, error.code ?? error.message));
    outgoing.end(body);
    // A socket that its process closes with unread bytes is reset.
    const leave = (): void => {
      hasLeft = true;
      outgoing.socket?.resetAndDestroy();
      end(false, "");
    };
    const giveUp = (): void => {
      outgoing.destroy();
      end(false, "no answer");
    };
    if (leavesAfter !== undefined) timers.push(setTimeout(leave, leavesAfter));
    timers.push(setTimeout(giveUp, deadline + patience));
  });

const describe = ({ id, status, isComplete, hasLeft, bytes, milliseconds, error }: CallerResult): string => {
  const ending = hasLeft ? "left" : isComplete ? "complete" : `incomplete ${error}`;
  return `${id} status ${status} ${ending}, ${bytes} bytes, ${milliseconds} ms`;
};

/** Whether a request was served. */
export const isServed = ({ status, isComplete }: CallerResult): boolean => status === 200 && isComplete;

/** Callers that send one request after another until they are stopped. */
export interface CallerGroup {
  readonly results: readonly CallerResult[];
  /** Resolves when the last requests have ended. */
  readonly stop: () => Promise<void>;
}

/**
 * Starts callers of one router.
 *
 * @param next - Creates the next request.
 */
export const startCallers = (
  router: Router,
  count: number,
  next: () => CallerRequest,
  write: WriteRecord,
): CallerGroup => {
  const results: CallerResult[] = [];
  let isStopped = false;
  const run = async (): Promise<void> => {
    while (!isStopped) {
      const result = await send(router, next());
      results.push(result);
      write(`${router.name} ${describe(result)}`);
      if (!isServed(result) && !result.hasLeft) await sleep(pauseAfterFailure);
    }
  };
  const tasks = Array.from({ length: count }, run);
  return {
    results,
    stop: async () => {
      isStopped = true;
      await Promise.all(tasks);
    },
  };
};

/** Sends requests at an even rate, and waits for all of them. */
export const sendEvenly = async (
  router: Router,
  count: number,
  interval: number,
  next: () => CallerRequest,
  write: WriteRecord,
): Promise<readonly CallerResult[]> => {
  const pending: Promise<CallerResult>[] = [];
  for (let index = 0; index < count; index += 1) {
    pending.push(send(router, next()));
    await sleep(interval);
  }
  const results = await Promise.all(pending);
  for (const result of results) write(`${router.name} ${describe(result)}`);
  return results;
};
