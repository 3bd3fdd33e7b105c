/** One answer of a replica as undici delivers it: a head, then pieces that are taken when they are wanted. */
import type { Dispatcher } from "undici";
import { upstreamError } from "../../protocol/errors.ts";
import type { UpstreamError } from "../../protocol/errors.ts";
import { connectionFailure } from "../httpFailures.ts";

/** The head as it came. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: AsyncIterable<Buffer>;
}

/** Pieces that may wait to be taken before the connection is paused. */
const mostPiecesWaiting = 16;

/** See {@link createAnswerReader}. */
export interface AnswerReader {
  readonly handler: Dispatcher.DispatchHandler;
  /** Rejects with `UpstreamError`. */
  readonly answer: Promise<RawAnswer>;
}

/**
 * Creates the receiving end of one request.
 *
 * @param mayLeave - Asked right before the request's first byte is written.
 * @param signal - Ends the request and its connection.
 * @param isResetting - Whether the connection is ending by a reset at this moment.
 */
export const createAnswerReader = (
  mayLeave: () => boolean,
  signal: AbortSignal,
  isResetting: () => boolean,
): AnswerReader => {
  const waiting: Buffer[] = [];
  let controller: Dispatcher.DispatchController | undefined;
  let hasLeft = false;
  let hasHead = false;
  let isOver = false;
  let failure: UpstreamError | undefined;
  let wake: () => void = () => undefined;
  let settle: { readonly resolve: (answer: RawAnswer) => void; readonly reject: (error: Error) => void };
  const answer = new Promise<RawAnswer>((resolve, reject) => {
    settle = { resolve, reject };
  });
  // The caller may have gone before it looks at the answer.
  answer.catch(() => undefined);

  const progress = () => (hasHead ? "streaming" : hasLeft ? "sent" : "not_sent");

  const fail = (error: UpstreamError): void => {
    if (isOver) return;
    isOver = true;
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

  const nextPiece = async (): Promise<Buffer | undefined> => {
    for (;;) {
      const piece = waiting.shift();
      if (piece !== undefined) {
        if (waiting.length < mostPiecesWaiting) controller?.resume();
        return piece;
      }
      if (failure !== undefined) throw failure;
      if (isOver) return undefined;
      await new Promise<void>((resolve) => {
        wake = resolve;
      });
    }
  };

  const readBody = async function* (): AsyncGenerator<Buffer, void> {
    try {
      for (let piece = await nextPiece(); piece !== undefined; piece = await nextPiece()) yield piece;
    } finally {
      // Whoever stops reading early has no use for the rest, nor for the work that makes it.
      if (!isOver) cancel();
    }
  };

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: (started) => {
      controller = started;
      if (isOver) {
        started.abort(failure ?? upstreamError("cancelled", "cancelled", "not_sent"));
        return;
      }
      if (mayLeave()) {
        hasLeft = true;
        return;
      }
      const error = upstreamError("the request must not be sent any more", "cancelled", "not_sent");
      fail(error);
      started.abort(error);
    },
    onResponseStart: (_, status, headers) => {
      if (status < 200 || isOver) return;
      hasHead = true;
      settle.resolve({ status, headers, body: readBody() });
    },
    onResponseData: (paused, chunk) => {
      waiting.push(chunk);
      if (waiting.length >= mostPiecesWaiting) paused.pause();
      wake();
    },
    onResponseEnd: () => {
      if (isResetting()) {
        fail(upstreamError("the connection was reset", "closed_early", "streaming"));
        return;
      }
      isOver = true;
      signal.removeEventListener("abort", cancel);
      wake();
    },
    onResponseError: (_, error) => fail(connectionFailure(error, progress())),
  };
  return { handler, answer };
};
