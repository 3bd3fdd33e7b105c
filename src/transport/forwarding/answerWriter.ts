/** Writes answers and refusals to callers. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { outcomes } from "../../protocol/constants.ts";
import { RequestError } from "../../protocol/errors.ts";
import type { ForwardedAnswer } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { RequestIntake } from "../requestIntake.ts";
import type { CallerBuffer, CallerBuffers } from "./callerBuffers.ts";

export interface AnswerWriterDependencies {
  readonly intake: Pick<RequestIntake, "endRefusal">;
  readonly buffers: Pick<CallerBuffers, "track">;
  /** True if answers carry `connection: close`. */
  readonly shouldCloseConnections: () => boolean;
  /** Headers of all answers, alternating names and values. */
  readonly commonHeaders: readonly string[];
}

export interface AnswerWriter {
  /** @returns Resolves when the last byte has been handed to the connection; rejects where the body breaks off. */
  readonly writeAnswer: (response: ServerResponse, answer: ForwardedAnswer) => Promise<void>;
  /** Writes the answer that an error leads to; the response's head must not have been sent. */
  readonly writeError: (response: ServerResponse, error: unknown) => void;
}

const writeLog = createLogger("callers");

/** Removes the upstream's `content-length`, which may not match the body that is written. */
const withoutContentLength = (headers: readonly string[]): string[] => {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? "";
    if (name.toLowerCase() !== "content-length") kept.push(name, headers[index + 1] ?? "");
  }
  return kept;
};

/** Creates a writer for the answers of one server. */
export const createAnswerWriter = ({
  intake,
  buffers,
  shouldCloseConnections,
  commonHeaders,
}: AnswerWriterDependencies): AnswerWriter => {
  const writeError = (response: ServerResponse, error: unknown): void => {
    const failure =
      error instanceof RequestError
        ? error.failure
        : { status: 500, code: "internal_error", outcome: outcomes.outcomeUnknown };
    if (!(error instanceof RequestError)) writeLog("internal_error", { reason: String(error) });
    const body = Buffer.from(JSON.stringify({ error: { ...failure, message: (error as Error).message } }));
    const { retryAfterSeconds } = failure as { readonly retryAfterSeconds?: number };
    response.writeHead(failure.status, [
      ...["content-type", "application/json", "content-length", String(body.length)],
      ...(retryAfterSeconds === undefined ? [] : ["retry-after", retryAfterSeconds.toFixed(2)]),
      // The unread rest of a refused body must not be parsed as the next request.
      ...(response.req.complete && !shouldCloseConnections() ? [] : ["connection", "close"]),
      ...commonHeaders,
    ]);
    intake.endRefusal(response, body);
  };

  const writeStream = async (
    response: ServerResponse,
    body: AsyncIterable<Buffer>,
    buffer: CallerBuffer,
  ): Promise<void> => {
    for await (const chunk of body) {
      if (chunk.length === 0) continue;
      buffer.noteWritten(chunk.length);
      if (!response.write(chunk) && !response.destroyed) await once(response, "drain").catch(() => undefined);
      await buffer.mayContinue();
      if (response.destroyed) return;
    }
    response.end();
  };

  const writeAnswer = async (response: ServerResponse, answer: ForwardedAnswer): Promise<void> => {
    const { body } = answer;
    const headers = [...withoutContentLength(answer.headers), ...commonHeaders];
    if (Buffer.isBuffer(body)) headers.push("content-length", String(body.length));
    if (shouldCloseConnections()) headers.push("connection", "close");
    response.writeHead(answer.status, headers);
    const buffer = buffers.track(response);
    if (Buffer.isBuffer(body)) {
      buffer.noteWritten(body.length);
      response.end(body);
      return;
    }
    response.flushHeaders();
    await writeStream(response, body, buffer);
  };

  return { writeAnswer, writeError };
};
