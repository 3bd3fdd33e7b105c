/** HTTP client for the platform's services and the routers' operator routes, with typed failures. */
import type { z } from "zod";
import { platformError } from "../protocol/errors.ts";
import type { PlatformError } from "../protocol/errors.ts";
import { createGuardedAgent } from "./connectionGuard.ts";

/** Milliseconds. */
const connectTimeout = 1_000;

/** Maximum number of connections to one platform service. */
const maximumConnections = 8;

/** Longer answers are rejected. */
const maximumAnswerBytes = 64 * 1024 * 1024;

/** The URL of a platform service, and how it is called. */
export interface PlatformHttpSettings {
  /** `http://IP:PORT`, with or without a path prefix. */
  readonly url: string;
  /** Longest wait for a whole answer, milliseconds. */
  readonly timeout: number;
  /** Headers of each call. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Called with the headers of each answer before its status is checked. */
  readonly onAnswer?: (headers: AnswerHeaders) => void;
}

/** The headers of an answer; their names are in lower case. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** One call to a platform service. */
export interface PlatformCall<Schema extends z.ZodType> {
  readonly method: "GET" | "POST";
  /** Path and query, appended to the service's URL. */
  readonly path: string;
  readonly body?: string | Buffer;
  /** The schema of the answer's JSON. */
  readonly answer: Schema;
  /** How long the service was asked to wait for data, milliseconds; added to the timeout. */
  readonly longPollTimeout?: number;
  /** Aborts the call. */
  readonly signal?: AbortSignal | undefined;
}

/** A call whose answer is not parsed, and for which some error statuses may be valid answers. */
export interface RawPlatformCall extends Omit<PlatformCall<z.ZodType>, "answer"> {
  /** Statuses besides 2xx that are not treated as failures. */
  readonly acceptedStatuses?: readonly number[];
}

/** An answer with its unparsed body. */
export interface RawPlatformAnswer {
  readonly status: number;
  readonly bytes: Buffer;
  readonly headers: AnswerHeaders;
}

/** An answer with its `ETag`, with which the next call can ask whether it has changed. */
export interface TaggedAnswer<T> {
  readonly value: T;
  readonly tag: string | undefined;
}

/** Client of one platform service, with a connection pool. */
export interface PlatformHttpClient extends AsyncDisposable {
  /**
   * Makes one conditional call, never retried. Throws `PlatformError`.
   *
   * @param tag - The `ETag` of the value that the caller already has.
   * @returns `undefined` if that value is still current.
   */
  callIfChanged<Schema extends z.ZodType>(
    call: PlatformCall<Schema>,
    tag: string | undefined,
  ): Promise<TaggedAnswer<z.output<Schema>> | undefined>;
  /** Makes one call, never retried. Throws `PlatformError`. */
  call<Schema extends z.ZodType>(call: PlatformCall<Schema>): Promise<z.output<Schema>>;
  /** Makes one call, never retried, without parsing its answer. Throws `PlatformError`. */
  callRaw(call: RawPlatformCall): Promise<RawPlatformAnswer>;
}

/**
 * Creates a signal that aborts a call after a timeout or with another signal. `AbortSignal.any` is not used: a timeout
 * signal that nothing else refers to can be garbage-collected before it fires.
 */
const createCallLimit = (milliseconds: number, signal: AbortSignal | undefined) => {
  const controller = new AbortController();
  const abort = (): void => controller.abort();
  const timer = setTimeout(abort, milliseconds);
  signal?.addEventListener("abort", abort);
  if (signal?.aborted === true) abort();
  return {
    signal: controller.signal,
    [Symbol.dispose]: (): void => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", abort);
    },
  };
};

/** True if the connection could not be opened, so that no byte of the request was sent. */
const failedToConnect = (error: unknown): boolean => {
  if (!(error instanceof Error)) return false;
  if (error instanceof AggregateError) return error.errors.every(failedToConnect);
  if ("syscall" in error && error.syscall === "connect") return true;
  return "code" in error && error.code === "UND_ERR_CONNECT_TIMEOUT";
};

/**
 * Converts a status other than 2xx to a failure. After a 4xx status the call had no effect; after a 5xx or 408
 * that is unknown.
 */
const statusFailure = (operation: string, status: number, changesState: boolean): PlatformError => {
  if (status === 429) return platformError(`${operation}: overloaded`, "overloaded", false);
  if (status === 410) return platformError(`${operation}: no longer available`, "expired", false);
  const refused = status >= 400 && status < 500 && status !== 408;
  const fault = refused ? "malformed" : "unreachable";
  return platformError(`${operation}: status ${status}`, fault, changesState && !refused);
};

const parseAnswer = <Schema extends z.ZodType>(
  operation: string,
  text: string,
  schema: Schema,
  changesState: boolean,
): z.output<Schema> => {
  try {
    return schema.parse(JSON.parse(text));
  } catch (error) {
    throw platformError(`${operation}: malformed answer`, "malformed", changesState, error);
  }
};

/**
 * Creates a client with its own connection pool.
 *
 * @returns The client; disposing it aborts calls in flight.
 */
export const createPlatformHttpClient = (settings: PlatformHttpSettings): PlatformHttpClient => {
  const { url, timeout, headers = {}, onAnswer } = settings;
  const base = url.replace(/\/+$/, "");
  const { origin, pathname } = new URL(base);
  const prefix = pathname.replace(/\/$/, "");
  const agent = createGuardedAgent({
    connections: maximumConnections,
    pipelining: 1,
    connectTimeout: Math.min(connectTimeout, timeout),
    maxResponseSize: maximumAnswerBytes,
  });

  const send = async (
    call: RawPlatformCall,
    operation: string,
    extraHeaders: Readonly<Record<string, string>> = {},
  ): Promise<RawPlatformAnswer & { readonly tag: string | undefined }> => {
    const changesState = call.method === "POST";
    using callLimit = createCallLimit(timeout + (call.longPollTimeout ?? 0), call.signal);
    try {
      const answer = await agent.request({
        origin,
        path: `${prefix}${call.path}`,
        method: call.method,
        headers: {
          ...headers,
          ...extraHeaders,
          ...(typeof call.body === "string" ? { "content-type": "application/json" } : {}),
        },
        body: call.body ?? null,
        signal: callLimit.signal,
      });
      onAnswer?.(answer.headers);
      const { etag } = answer.headers;
      const tag = typeof etag === "string" ? etag : undefined;
      const bytes = Buffer.from(await answer.body.arrayBuffer());
      return { status: answer.statusCode, bytes, headers: answer.headers, tag };
    } catch (error) {
      const mayHaveTakenEffect = changesState && !failedToConnect(error);
      throw platformError(`${operation}: no answer`, "unreachable", mayHaveTakenEffect, error);
    }
  };

  const callIfChanged: PlatformHttpClient["callIfChanged"] = async (call, knownTag) => {
    const operation = `${call.method} ${base}${call.path}`;
    const changesState = call.method === "POST";
    const { status, bytes, tag } = await send(
      call,
      operation,
      knownTag === undefined ? {} : { "if-none-match": knownTag },
    );
    if (status === 304 && knownTag !== undefined) return undefined;
    if (status < 200 || status > 299) throw statusFailure(operation, status, changesState);
    return { value: parseAnswer(operation, bytes.toString(), call.answer, changesState), tag };
  };

  return {
    callIfChanged,
    call: async (call) => {
      const answer = await callIfChanged(call, undefined);
      // `undefined` is returned only for a call with a tag.
      return answer?.value as z.output<typeof call.answer>;
    },
    callRaw: async (call) => {
      const operation = `${call.method} ${base}${call.path}`;
      const answer = await send(call, operation);
      const { status } = answer;
      const isAnswer = (status >= 200 && status <= 299) || call.acceptedStatuses?.includes(status) === true;
      if (!isAnswer) throw statusFailure(operation, status, call.method === "POST");
      return answer;
    },
    [Symbol.asyncDispose]: () => agent.destroy(),
  };
};
