/**
 * Receives the bodies of callers' requests into memory that is bounded over all of them, and refuses bodies so that
 * their callers can read the refusal: a connection that is closed with unread bytes is reset, and what was written
 * before that may be lost.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { outcomes } from "../protocol/constants.ts";
import type { RequestError } from "../protocol/errors.ts";
import { requestError } from "../protocol/errors.ts";
import { createCountedLog } from "../state/countedLog.ts";
import { createLogger } from "../state/log.ts";
import { metricNames } from "../state/constants.ts";
import type { BodyHold, BodyMemory, DropReason } from "../state/bodyMemory.ts";
import type { Metrics } from "../state/Metrics.ts";
import { noteGarbage } from "../state/bufferGarbage.ts";
import type { GrowingBytes } from "../protocol/growingBytes.ts";
import { createGrowingBytes } from "../protocol/growingBytes.ts";

/** Between two searches for bodies that arrive too slowly, milliseconds. */
const slowCheckInterval = 500;

/** Chunks from which on a body counts as fragmented if they are small on average. */
const manyChunks = 1_024;

/** Average size of a chunk below which a body of many chunks counts as fragmented, bytes. */
const smallChunkBytes = 128;

/** Chunks of a fragmented body that are handled in one turn of the event loop. */
const chunksPerTurn = 4_096;

/** Retry-After of a body that was refused for want of memory, seconds: by then stalled bodies have yielded. */
const memoryRetryAfter = 1;

/** What is read of a refused body, so that its caller can read the refusal. */
const lingerLimits = { milliseconds: 2_000, bytes: 8_388_608, chunks: 8_192 } as const;

/** Connections that may be read on after a refusal; of more, the oldest is closed. */
const maxLingering = 64;

const writeLog = createLogger("callers");

/** The body of a request. */
export interface ReceivedBody {
  /** Valid until it is released. */
  readonly bytes: Buffer;
  readonly release: () => void;
}

/** Whose body is received, and how large it may be. */
export interface BodyTerms {
  /** The organisation that sends it; empty for none. */
  readonly owner: string;
  /** Bytes. */
  readonly limit: number;
  /** Memory that each byte of the body takes while its request is in progress, bytes; 1 by default. */
  readonly expansion?: number;
}

export interface RequestIntake extends AsyncDisposable {
  /**
   * Receives the body of a request.
   *
   * @throws `RequestError` where the body is too large, too slow, incomplete, or finds no memory; it has not run.
   */
  readonly receive: (
    message: IncomingMessage,
    response: ServerResponse,
    terms: BodyTerms,
  ) => Promise<ReceivedBody>;
  /**
   * Ends a response whose head announces its length and the close of the connection, while the rest of the request's
   * body is read and discarded, within limits.
   */
  readonly endRefusal: (response: ServerResponse, body: Buffer) => void;
}

const bodyTooLarge = (): RequestError =>
  requestError("The body is too large.", { status: 413, code: "body_too_large", outcome: outcomes.notRun });

const bodyIncomplete = (cause?: unknown): RequestError =>
  requestError(
    "The connection broke before the whole body was received.",
    { status: 400, code: "invalid_body", outcome: outcomes.notRun },
    cause,
  );

const bodyTooSlow = (): RequestError =>
  requestError("The body arrived too slowly; the request has not run.", {
    status: 408,
    code: "body_too_slow",
    outcome: outcomes.notRun,
  });

const outOfMemory = (): RequestError =>
  requestError("Bodies of requests fill this router's memory; the request has not run.", {
    status: 503,
    code: "bodies_too_large",
    outcome: outcomes.notRun,
    retryAfterSeconds: memoryRetryAfter,
  });

const tooFragmented = (): RequestError =>
  requestError("Too many bodies arrive in very small chunks; the request has not run.", {
    status: 503,
    code: "bodies_too_fragmented",
    outcome: outcomes.notRun,
    retryAfterSeconds: memoryRetryAfter,
  });

const refusalOf: Readonly<Record<DropReason, () => RequestError>> = {
  memory: outOfMemory,
  fragmented: tooFragmented,
  slow: bodyTooSlow,
};

/** Whether a request has a body. */
export const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;

/** @returns The announced length of a body, bytes; `undefined` for a chunked one. */
const announcedLength = ({ headers }: IncomingMessage): number | undefined => {
  const length = headers["transfer-encoding"] === undefined ? headers["content-length"] : undefined;
  return length === undefined ? undefined : Number(length);
};

/** Handles at most so many chunks of a body in one turn of the event loop. */
const createTurnLimit = (message: IncomingMessage) => {
  let chunks = 0;
  const nextTurn = (): void => {
    chunks = 0;
    message.resume();
  };
  return {
    noteChunk: (): void => {
      chunks += 1;
      if (chunks !== chunksPerTurn) return;
      message.pause();
      setImmediate(nextTurn);
    },
  };
};

/** Appends the chunks of one body, and refuses those that don't fit. */
const createReception = (
  hold: BodyHold,
  contents: GrowingBytes,
  { limit, expansion = 1 }: Omit<BodyTerms, "owner">,
) => {
  let chunks = 0;

  const isFragmented = (): boolean => chunks >= manyChunks && contents.length() < chunks * smallChunkBytes;

  return {
    /** @throws `RequestError` where the chunk can't be kept. @returns Whether the body comes in very small chunks. */
    append: (chunk: Buffer): boolean => {
      chunks += 1;
      if (contents.length() + chunk.length > limit) throw bodyTooLarge();
      const fragmented = isFragmented();
      if (fragmented && !hold.admitFragments()) throw tooFragmented();
      const missing = contents.missingFor(chunk);
      if (missing > 0 && !hold.charge(missing * expansion)) throw outOfMemory();
      // The first chunk is kept as it is, the others are copied.
      if (contents.length() > 0) noteGarbage(chunk.length);
      contents.append(chunk);
      hold.noteReceived(chunk.length);
      return fragmented;
    },
  };
};

/** Starts the intake of a process; all of its servers for callers share it. */
export const createRequestIntake = (memory: BodyMemory, metrics: Metrics): RequestIntake => {
  const lingering = new Set<ServerResponse>();
  const logRefused = createCountedLog((fields) => writeLog("bodies_refused", fields));
  const timer = setInterval(() => memory.dropSlow(), slowCheckInterval);
  timer.unref();

  const refuse = (error: RequestError): RequestError => {
    const { code } = error.failure;
    metrics.count(metricNames.bodiesRefused, 1, { code });
    logRefused(code, { heldBytes: memory.heldBytes() });
    return error;
  };

  const receive = (message: IncomingMessage, terms: BodyTerms): Promise<ReceivedBody> =>
    new Promise((resolve, reject) => {
      const { limit } = terms;
      const contents = createGrowingBytes(Math.min(limit, announcedLength(message) ?? limit));
      const release = (): void => {
        contents.release();
        hold.release();
      };
      const stop = (): void => {
        message.off("data", take).off("end", finish).off("close", breakOff).off("error", breakOff);
      };
      const fail = (error: RequestError): void => {
        stop();
        release();
        reject(refuse(error));
      };
      const hold = memory.open(terms.owner, (reason) => fail(refusalOf[reason]()));
      const reception = createReception(hold, contents, terms);
      const turnLimit = createTurnLimit(message);
      const take = (chunk: Buffer): void => {
        try {
          if (reception.append(chunk)) turnLimit.noteChunk();
        } catch (error) {
          fail(error as RequestError);
        }
      };
      const finish = (): void => {
        stop();
        hold.complete();
        resolve({ bytes: contents.bytes(), release });
      };
      const breakOff = (cause?: Error): void => fail(bodyIncomplete(cause));
      message.on("data", take).on("end", finish).on("close", breakOff).on("error", breakOff);
    });

  const closeOldest = (): void => {
    const [oldest] = lingering;
    if (oldest === undefined) return;
    lingering.delete(oldest);
    oldest.destroy();
  };

  const linger = (response: ServerResponse): void => {
    const { req: message } = response;
    let bytes = 0;
    let chunks = 0;
    const stop = (): void => {
      clearTimeout(end);
      lingering.delete(response);
    };
    const close = (): void => {
      stop();
      response.destroy();
    };
    const end = setTimeout(close, lingerLimits.milliseconds);
    if (lingering.size >= maxLingering) closeOldest();
    lingering.add(response);
    message.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      chunks += 1;
      noteGarbage(chunk.length);
      if (bytes > lingerLimits.bytes || chunks > lingerLimits.chunks) close();
    });
    message.once("end", () => {
      stop();
      response.end();
    });
    message.once("error", close);
    response.once("close", stop);
    message.resume();
  };

  return {
    receive: async (message, response, terms) => {
      if ((announcedLength(message) ?? 0) > terms.limit) throw refuse(bodyTooLarge());
      if (message.headers.expect !== undefined) response.writeContinue();
      return receive(message, terms);
    },
    endRefusal: (response, body) => {
      if (response.req.complete || response.destroyed) {
        response.end(body);
        return;
      }
      response.write(body);
      linger(response);
    },
    [Symbol.asyncDispose]: () => {
      clearInterval(timer);
      for (const response of lingering) response.destroy();
      return Promise.resolve();
    },
  };
};
