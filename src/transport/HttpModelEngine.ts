/** HTTP client of a model engine: OpenAI's API with some more headers, described in docs/STAND-INS.md. */
import type { Dispatcher } from "undici";
import { createParser } from "eventsource-parser";
import type { z } from "zod";
import { headers } from "../protocol/constants.ts";
import type { UpstreamError } from "../protocol/errors.ts";
import { UpstreamError as UpstreamErrorClass, upstreamError } from "../protocol/errors.ts";
import { collectBody } from "../protocol/forwarding/collectBody.ts";
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
/** Timeout of a cancellation, milliseconds. */
const controlTimeout = 2_000;

/** Longest event of a stream, with the comments before it, bytes. A stream without events could go on for ever. */
const maxFrameBytes = 262_144;

/** The fields of a call that are needed to read its answer. */
interface ExpectedAnswer {
  readonly attempt: string;
  readonly stallTimeout: number;
}

/** Frames of a stream that were parsed and not yet yielded, and whether the stream is complete. */
interface StreamState {
  frames: AnswerFrame[];
  /** `[DONE]` has been received. */
  done: boolean;
}

const createStreamParser = (attempt: string, state: StreamState) =>
  createParser({
    onEvent: ({ data }) => {
      if (state.done) throw upstreamError("the stream continues after [DONE]", "malformed", "streaming");
      if (data === doneMarker) state.done = true;
      else state.frames.push(readChunk(data, attempt));
    },
  });

/** Classifies the error that ended a stream early. */
const streamFailure = (cause: unknown, signal: AbortSignal): UpstreamError => {
  if (cause instanceof UpstreamErrorClass) return cause;
  if (signal.aborted) return upstreamError("the attempt was cancelled", "cancelled", "streaming", cause);
  return connectionFailure(cause, "streaming");
};

/** Reads the frames of a stream; those that arrive in one read are yielded together. */
const readFrames = async function* (
  answer: Dispatcher.ResponseData,
  { attempt, stallTimeout }: ExpectedAnswer,
  signal: AbortSignal,
): AsyncGenerator<readonly AnswerFrame[], void, void> {
  const state: StreamState = { frames: [], done: false };
  const parser = createStreamParser(attempt, state);
  const stallTimer = setTimeout(() => {
    answer.body.destroy(
      upstreamError("the engine sent nothing within the stall timeout", "stalled", "streaming"),
    );
  }, stallTimeout);
  const decoder = new TextDecoder();
  let sinceFrame = 0;
  try {
    for await (const bytes of answer.body) {
      stallTimer.refresh();
      parser.feed(decoder.decode(bytes as Buffer, { stream: true }));
      sinceFrame += (bytes as Buffer).length;
      if (state.frames.length === 0 && sinceFrame > maxFrameBytes)
        throw upstreamError("an event of the stream does not end", "endless", "streaming");
      if (state.frames.length === 0) continue;
      sinceFrame = 0;
      const { frames } = state;
      state.frames = [];
      yield frames;
      // After a slow caller has taken the frames, the engine gets the whole stall timeout again.
      stallTimer.refresh();
    }
  } catch (cause) {
    const failure = streamFailure(cause, signal);
    // After [DONE] the answer is complete, even if the connection then fails.
    if (!state.done || failure.fault === "malformed") throw failure;
  } finally {
    clearTimeout(stallTimer);
    answer.body.on("error", () => undefined).destroy();
  }
  if (!state.done) throw upstreamError("the stream ended before [DONE]", "closed_early", "streaming");
};

/** Client of the engine at one URL. All engines of a process share the connection pool. */
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
    await this.requestText("POST", path, undefined, AbortSignal.timeout(controlTimeout));
  }

  override async readLoad(signal: AbortSignal): Promise<EngineLoad> {
    return this.readJson("/load", loadSchema, signal);
  }

  override async readCacheEvents(fromSequence: number, signal: AbortSignal): Promise<CacheEventPage> {
    return this.readJson(`/cache-events?from=${fromSequence}`, cacheEventPageSchema, signal);
  }

  override async order(order: EngineOrder, signal: AbortSignal): Promise<void> {
    await this.requestText("POST", "/orders", JSON.stringify(order), signal);
  }

  private async readJson<T>(path: string, schema: z.ZodType<T>, signal: AbortSignal): Promise<T> {
    const parsed = schema.safeParse(parseJson(await this.requestText("GET", path, undefined, signal)));
    if (parsed.success) return parsed.data;
    throw upstreamError(`the answer to ${path} is malformed`, "malformed", "sent", parsed.error);
  }

  private async requestText(
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
    expected: ExpectedAnswer,
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
    return (await collectBody(answer.body as AsyncIterable<Buffer>)).toString();
  } catch (cause) {
    if (cause instanceof UpstreamErrorClass) throw cause;
    throw connectionFailure(cause, "sent");
  }
};
