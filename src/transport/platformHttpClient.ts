/** JSON over HTTP towards the platform's services, and operators' calls, with typed failures. */
import { Agent } from "undici";
import type { z } from "zod";
import { platformError } from "../protocol/errors.ts";
import type { PlatformError } from "../protocol/errors.ts";

/** Longest connection attempt, milliseconds. */
const connectTimeout = 1_000;

/** Connections to one platform service. */
const maximumConnections = 8;

/** The longest accepted answer, bytes. */
const maximumAnswerBytes = 64 * 1024 * 1024;

/** Where a platform service is and how long it may take. */
export interface PlatformHttpSettings {
  /** `http://IP:PORT`, with or without a path prefix. */
  readonly url: string;
  /** Longest wait for a whole answer, milliseconds. */
  readonly timeout: number;
  /** Sent with each call. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Called with the headers of each answer before its status is looked at. */
  readonly onAnswer?: (headers: AnswerHeaders) => void;
}

/** Headers of an answer, their names in lower case. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** One call to a platform service. */
export interface PlatformCall<Schema extends z.ZodType> {
  readonly method: "GET" | "POST";
  /** Path and query, after the service's URL. */
  readonly path: string;
  readonly body?: string | Buffer;
  /** What the answer's JSON has to be. */
  readonly answer: Schema;
  /** Milliseconds that the service was asked to wait, on top of the timeout. */
  readonly longPollTimeout?: number;
  /** Cuts the call. */
  readonly signal?: AbortSignal | undefined;
}

/** A call whose answer is not JSON, or whose status says something. */
export interface RawPlatformCall extends Omit<PlatformCall<z.ZodType>, "answer"> {
  /** Statuses besides 2xx that are answers and no failures. */
  readonly acceptedStatuses?: readonly number[];
}

/** A whole answer as it came. */
export interface RawPlatformAnswer {
  readonly status: number;
  readonly bytes: Buffer;
  readonly headers: AnswerHeaders;
}

/** An answer with the tag by which it can be asked for again. */
export interface TaggedAnswer<T> {
  readonly value: T;
  readonly tag: string | undefined;
}

/** A connection pool to one platform service. */
export interface PlatformHttpClient extends AsyncDisposable {
  /**
   * Makes one call for something that the caller may have already. Throws `PlatformError`.
   *
   * @param tag - The tag of what the caller has.
   * @returns Undefined if that is still current.
   */
  callIfChanged<Schema extends z.ZodType>(
    call: PlatformCall<Schema>,
    tag: string | undefined,
  ): Promise<TaggedAnswer<z.output<Schema>> | undefined>;
  /** Makes one call, never repeated. Throws `PlatformError`. */
  call<Schema extends z.ZodType>(call: PlatformCall<Schema>): Promise<z.output<Schema>>;
  /** Makes one call, never repeated, and leaves its answer as it is. Throws `PlatformError`. */
  callRaw(call: RawPlatformCall): Promise<RawPlatformAnswer>;
}

/**
 * Ends a call after a time or with a signal. `AbortSignal.any` would do, but loses timeouts that the garbage collector
 * finds no other reference to.
 */
const limitCall = (milliseconds: number, signal: AbortSignal | undefined) => {
  const limit = new AbortController();
  const cut = (): void => limit.abort();
  const timer = setTimeout(cut, milliseconds);
  signal?.addEventListener("abort", cut);
  if (signal?.aborted === true) cut();
  return {
    signal: limit.signal,
    [Symbol.dispose]: (): void => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", cut);
    },
  };
};

/** Tells whether a failure came before any byte of the request left. */
const failedToConnect = (error: unknown): boolean => {
  if (!(error instanceof Error)) return false;
  if (error instanceof AggregateError) return error.errors.every(failedToConnect);
  if ("syscall" in error && error.syscall === "connect") return true;
  return "code" in error && error.code === "UND_ERR_CONNECT_TIMEOUT";
};

/**
 * Turns an answer other than 2xx into a failure. A 4xx status is a positive refusal; of a 5xx or a 408
 * nobody knows what happened before it.
 */
const statusFailure = (what: string, status: number, changesState: boolean): PlatformError => {
  if (status === 429) return platformError(`${what}: overloaded`, "overloaded", false);
  if (status === 410) return platformError(`${what}: no longer kept`, "expired", false);
  const refused = status >= 400 && status < 500 && status !== 408;
  const fault = refused ? "malformed" : "unreachable";
  return platformError(`${what}: status ${status}`, fault, changesState && !refused);
};

const parseAnswer = <Schema extends z.ZodType>(
  what: string,
  text: string,
  schema: Schema,
  changesState: boolean,
): z.output<Schema> => {
  try {
    return schema.parse(JSON.parse(text));
  } catch (error) {
    throw platformError(`${what}: malformed answer`, "malformed", changesState, error);
  }
};

/**
 * Opens a connection pool to a platform service.
 *
 * @returns The pool; disposing it cuts calls in flight.
 */
export const createPlatformHttpClient = (settings: PlatformHttpSettings): PlatformHttpClient => {
  const { url, timeout, headers = {}, onAnswer } = settings;
  const base = url.replace(/\/+$/, "");
  const { origin, pathname } = new URL(base);
  const prefix = pathname.replace(/\/$/, "");
  const agent = new Agent({
    connections: maximumConnections,
    pipelining: 1,
    connect: { timeout: Math.min(connectTimeout, timeout) },
    maxResponseSize: maximumAnswerBytes,
  });

  const send = async (
    call: RawPlatformCall,
    what: string,
    further: Readonly<Record<string, string>> = {},
  ): Promise<RawPlatformAnswer & { readonly tag: string | undefined }> => {
    const changesState = call.method === "POST";
    using limit = limitCall(timeout + (call.longPollTimeout ?? 0), call.signal);
    try {
      const answer = await agent.request({
        origin,
        path: `${prefix}${call.path}`,
        method: call.method,
        headers: {
          ...headers,
          ...further,
          ...(typeof call.body === "string" ? { "content-type": "application/json" } : {}),
        },
        body: call.body ?? null,
        signal: limit.signal,
      });
      onAnswer?.(answer.headers);
      const { etag } = answer.headers;
      const tag = typeof etag === "string" ? etag : undefined;
      const bytes = Buffer.from(await answer.body.arrayBuffer());
      return { status: answer.statusCode, bytes, headers: answer.headers, tag };
    } catch (error) {
      const mayHaveTakenEffect = changesState && !failedToConnect(error);
      throw platformError(`${what}: no answer`, "unreachable", mayHaveTakenEffect, error);
    }
  };

  const callIfChanged: PlatformHttpClient["callIfChanged"] = async (call, known) => {
    const what = `${call.method} ${base}${call.path}`;
    const changesState = call.method === "POST";
    const { status, bytes, tag } = await send(
      call,
      what,
      known === undefined ? {} : { "if-none-match": known },
    );
    if (status === 304 && known !== undefined) return undefined;
    if (status < 200 || status > 299) throw statusFailure(what, status, changesState);
    return { value: parseAnswer(what, bytes.toString(), call.answer, changesState), tag };
  };

  return {
    callIfChanged,
    call: async (call) => {
      const answer = await callIfChanged(call, undefined);
      // Without a tag there is always an answer.
      return answer?.value as z.output<typeof call.answer>;
    },
    callRaw: async (call) => {
      const what = `${call.method} ${base}${call.path}`;
      const answer = await send(call, what);
      const { status } = answer;
      const isAnswer = (status >= 200 && status <= 299) || call.acceptedStatuses?.includes(status) === true;
      if (!isAnswer) throw statusFailure(what, status, call.method === "POST");
      return answer;
    },
    [Symbol.asyncDispose]: () => agent.destroy(),
  };
};
