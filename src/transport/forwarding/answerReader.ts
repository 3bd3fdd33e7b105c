/** Reads one answer of a replica from undici's callbacks: first the head, then a body that is read on demand. */
import type { Dispatcher } from "undici";
import { upstreamError } from "../../protocol/errors.ts";
import type { UpstreamError } from "../../protocol/errors.ts";
import { connectionFailure } from "../httpFailures.ts";

/** An answer as it was received: status, undecoded headers, and the body as a stream. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: AsyncIterable<Buffer>;
}

/** Unread chunks at which reading from the connection is paused. */
const maxBufferedChunks = 16;

export interface AnswerReader {
  /** Receives undici's callbacks for the request. */
  readonly handler: Dispatcher.DispatchHandler;
  /** Resolves when the head has arrived; rejects with `UpstreamError`. */
  readonly answer: Promise<RawAnswer>;
}

/**
 * Creates the reader for the answer to one request.
 *
 * @param maySend - Called right before the first byte of the request is written; if it returns false, the request fails
 * as not sent.
 * @param signal - Cancels the request and closes its connection.
 */
export const createAnswerReader = (maySend: () => boolean, signal: AbortSignal): AnswerReader => {
  const chunks: Buffer[] = [];
  let controller: Dispatcher.DispatchController | undefined;
  let isSent = false;
  let hasReceivedHead = false;
  let hasEnded = false;
  let failure: UpstreamError | undefined;
  let wake: () => void = () => undefined;
  let settle: { readonly resolve: (answer: RawAnswer) => void; readonly reject: (error: Error) => void };
  const answer = new Promise<RawAnswer>((resolve, reject) => {
    settle = { resolve, reject };
  });
  // Prevents an unhandled rejection if the caller has gone before it awaits the answer.
  answer.catch(() => undefined);

  const progress = () => (hasReceivedHead ? "streaming" : isSent ? "sent" : "not_sent");

  const fail = (error: UpstreamError): void => {
    if (hasEnded) return;
    hasEnded = true;
    failure = error;
    signal.removeEventListener("abort", cancel);
    settle.reject(error);
    wake();
  };

  const cancel = (): void => {
    const error = upstreamError("cancelled", "cancelled", progress());
    fail(error);
    controller?.abort(error);
  };
  signal.addEventListener("abort", cancel);
  if (signal.aborted) cancel();

  const nextChunk = async (): Promise<Buffer | undefined> => {
    for (;;) {
      const chunk = chunks.shift();
      if (chunk !== undefined) {
        if (chunks.length < maxBufferedChunks) controller?.resume();
        return chunk;
      }
      if (failure !== undefined) throw failure;
      if (hasEnded) return undefined;
      await new Promise<void>((resolve) => {
        wake = resolve;
      });
    }
  };

  /** Not a generator: the return of a generator would wait for the next chunk, which may never arrive. */
  const bodyIterator: AsyncIterator<Buffer, undefined> = {
    next: async () => {
      const chunk = await nextChunk();
      return chunk === undefined ? { done: true, value: undefined } : { done: false, value: chunk };
    },
    return: () => {
      // A reader that stops early needs neither the rest of the answer nor the work that produces it.
      if (!hasEnded) cancel();
      return Promise.resolve({ done: true, value: undefined });
    },
  };

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: (requestController) => {
      controller = requestController;
      if (hasEnded) {
        requestController.abort(failure ?? upstreamError("cancelled", "cancelled", "not_sent"));
        return;
      }
      if (maySend()) {
        isSent = true;
        return;
      }
      const error = upstreamError("the request may no longer be sent", "cancelled", "not_sent");
      fail(error);
      requestController.abort(error);
    },
    onResponseStart: (_, status, headers) => {
      if (status < 200 || hasEnded) return;
      hasReceivedHead = true;
      settle.resolve({ status, headers, body: { [Symbol.asyncIterator]: () => bodyIterator } });
    },
    onResponseData: (responseController, chunk) => {
      // The client may deliver an empty chunk when it is resumed. Queued, it would pause and resume the answer for ever.
      if (chunk.length === 0) return;
      chunks.push(chunk);
      if (chunks.length >= maxBufferedChunks) responseController.pause();
      wake();
    },
    onResponseEnd: () => {
      hasEnded = true;
      signal.removeEventListener("abort", cancel);
      wake();
    },
    onResponseError: (_, error) => fail(connectionFailure(error, progress())),
  };
  return { handler, answer };
};
