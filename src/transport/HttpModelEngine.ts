/** A model engine over HTTP, in the OpenAI form with the few headers that docs/STAND-INS.md describes. */
import type { Dispatcher } from "undici";
import { createParser } from "eventsource-parser";
import type { z } from "zod";
import { headers } from "../protocol/constants.ts";
import type { UpstreamError } from "../protocol/errors.ts";
import { UpstreamError as UpstreamErrorClass, upstreamError } from "../protocol/errors.ts";
import { ModelEngine } from "../protocol/ModelEngine.ts";
import type {
  AnswerFrame,
  CacheEventPage,
  EngineAnswer,
  EngineCall,
  EngineLoad,
  EngineOrder,
} from "../protocol/types.ts";
import { cacheEventPageSchema, doneMarker, engineBody, loadSchema, readChunk } from "./engineWire.ts";
import { connectionFailure, parseJson, statusFailure } from "./httpFailures.ts";

const jsonType = { "content-type": "application/json" } as const;
const controlTimeout = 2_000;

/** What of a call an answer depends on. */
interface Expected {
  readonly attempt: string;
  readonly stallTimeout: number;
}

/** What has been read of a stream and not been handed on. */
interface ReadState {
  frames: AnswerFrame[];
  /** The end mark has come. */
  done: boolean;
}

const createStreamParser = (attempt: string, read: ReadState) =>
  createParser({
    onEvent: ({ data }) => {
      if (read.done) throw upstreamError("the stream goes on after its end mark", "malformed", "streaming");
      if (data === doneMarker) read.done = true;
      else read.frames.push(readChunk(data, attempt));
    },
  });

/** Types what ended a stream before its time. */
const streamFailure = (cause: unknown, signal: AbortSignal): UpstreamError => {
  if (cause instanceof UpstreamErrorClass) return cause;
  if (signal.aborted) return upstreamError("the attempt was cancelled", "cancelled", "streaming", cause);
  return connectionFailure(cause, "streaming");
};

/** Reads a stream's pieces; those that came in one read are handed on together. */
const readFrames = async function* (
  answer: Dispatcher.ResponseData,
  { attempt, stallTimeout }: Expected,
  signal: AbortSignal,
): AsyncGenerator<readonly AnswerFrame[], void, void> {
  const read: ReadState = { frames: [], done: false };
  const parser = createStreamParser(attempt, read);
  const stall = setTimeout(() => {
    answer.body.destroy(upstreamError("the engine fell silent", "stalled", "streaming"));
  }, stallTimeout);
  const decoder = new TextDecoder();
  try {
    for await (const bytes of answer.body) {
      stall.refresh();
      parser.feed(decoder.decode(bytes as Buffer, { stream: true }));
      if (read.frames.length === 0) continue;
      const { frames } = read;
      read.frames = [];
      yield frames;
      // The caller's own slowness is no silence of the engine.
      stall.refresh();
    }
  } catch (cause) {
    const failure = streamFailure(cause, signal);
    // After the end mark the answer is whole, however its connection ends.
    if (!read.done || failure.fault === "malformed") throw failure;
  } finally {
    clearTimeout(stall);
    answer.body.on("error", () => undefined).destroy();
  }
  if (!read.done) throw upstreamError("the stream ended before its end mark", "closed_early", "streaming");
};

/** One engine at one URL. The connection pool is shared by all engines of the process. */
export class HttpModelEngine extends ModelEngine {
  private readonly url: string;
  private readonly pool: Dispatcher;

  /**
   * @param url - `http://IP:PORT`.
   * @param pool - An undici `Agent` without any retrying or redirecting interceptor.
   */
  constructor(url: string, pool: Dispatcher) {
    super();
    this.url = url;
    this.pool = pool;
  }

  override async complete(call: EngineCall, signal: AbortSignal): Promise<EngineAnswer> {
    const path = call.request.kind === "chat" ? "/v1/chat/completions" : "/v1/completions";
    const requestHeaders = {
      ...jsonType,
      [headers.attempt]: call.attempt,
      [headers.organisation]: call.organisation,
      [headers.priority]: String(call.priority),
      ...(call.idempotencyKey === undefined ? {} : { [headers.idempotencyKey]: call.idempotencyKey }),
    };
    return this.stream(path, requestHeaders, engineBody(call), call, signal);
  }

  override async resume(
    attempt: string,
    fromToken: number,
    stallTimeout: number,
    signal: AbortSignal,
  ): Promise<EngineAnswer> {
    const path = `/v1/attempts/${encodeURIComponent(attempt)}/resume?from=${fromToken}`;
    return this.stream(path, {}, "", { attempt, stallTimeout }, signal);
  }

  override async cancel(attempt: string): Promise<void> {
    const path = `/v1/attempts/${encodeURIComponent(attempt)}/cancel`;
    await this.exchange("POST", path, undefined, AbortSignal.timeout(controlTimeout));
  }

  override async readLoad(signal: AbortSignal): Promise<EngineLoad> {
    return this.readJson("/load", loadSchema, signal);
  }

  override async readCacheEvents(fromSequence: number, signal: AbortSignal): Promise<CacheEventPage> {
    return this.readJson(`/cache-events?from=${fromSequence}`, cacheEventPageSchema, signal);
  }

  override async order(order: EngineOrder, signal: AbortSignal): Promise<void> {
    await this.exchange("POST", "/orders", JSON.stringify(order), signal);
  }

  private async readJson<T>(path: string, schema: z.ZodType<T>, signal: AbortSignal): Promise<T> {
    const parsed = schema.safeParse(parseJson(await this.exchange("GET", path, undefined, signal)));
    if (parsed.success) return parsed.data;
    throw upstreamError(`the answer to ${path} is malformed`, "malformed", "sent", parsed.error);
  }

  private async exchange(
    method: "GET" | "POST",
    path: string,
    body: string | undefined,
    signal: AbortSignal,
  ): Promise<string> {
    const answer = await this.send(method, path, body === undefined ? {} : jsonType, body, 0, signal);
    const text = await readText(answer);
    if (answer.statusCode >= 300) throw statusFailure(answer.statusCode, answer.headers, text);
    return text;
  }

  private async stream(
    path: string,
    requestHeaders: Readonly<Record<string, string>>,
    body: string,
    expected: Expected,
    signal: AbortSignal,
  ): Promise<EngineAnswer> {
    const answer = await this.send("POST", path, requestHeaders, body, 0, signal);
    if (answer.statusCode !== 200) {
      throw statusFailure(answer.statusCode, answer.headers, await readText(answer));
    }
    const echoed = answer.headers[headers.attempt];
    if (echoed !== expected.attempt) {
      answer.body.on("error", () => undefined).destroy();
      throw upstreamError("the answer belongs to another attempt", "crossed", "sent");
    }
    return {
      attempt: expected.attempt,
      incarnation: String(answer.headers[headers.incarnation] ?? ""),
      weightsVersion: String(answer.headers[headers.weightsVersion] ?? ""),
      frames: readFrames(answer, expected, signal),
    };
  }

  private async send(
    method: "GET" | "POST",
    path: string,
    requestHeaders: Readonly<Record<string, string>>,
    body: string | undefined,
    headersTimeout: number,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    try {
      return await this.pool.request({
        origin: this.url,
        method,
        path,
        headers: requestHeaders,
        body: body ?? null,
        headersTimeout,
        bodyTimeout: 0,
        signal,
      });
    } catch (cause) {
      if (signal.aborted) throw cancelled(cause);
      throw connectionFailure(cause, "sent");
    }
  }
}

const cancelled = (cause: unknown): UpstreamError =>
  upstreamError("the attempt was cancelled", "cancelled", "sent", cause);

const readText = async (answer: Dispatcher.ResponseData): Promise<string> => {
  try {
    return await answer.body.text();
  } catch (cause) {
    throw connectionFailure(cause, "sent");
  }
};
