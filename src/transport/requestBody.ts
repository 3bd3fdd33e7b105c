/** Reads the body of a caller's request, up to a maximum size. */
import type { IncomingMessage } from "node:http";
import { maximumBodyBytes, outcomes } from "../protocol/constants.ts";
import { requestError } from "../protocol/errors.ts";

const tooLarge = () =>
  requestError(`The body is longer than ${maximumBodyBytes} bytes.`, {
    status: 413,
    code: "body_too_large",
    outcome: outcomes.notRun,
  });

const incomplete = (cause: unknown) =>
  requestError(
    "The connection broke before the whole body was received.",
    { status: 400, code: "invalid_body", outcome: outcomes.notRun },
    cause,
  );

/** @returns The body; throws `RequestError`: 413 if it is too long, 400 if the caller's connection breaks. */
export const readRequestBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length;
      // The rest is read and discarded, so that the caller can finish sending and read the error answer.
      if (length <= maximumBodyBytes) chunks.push(chunk);
    }
  } catch (cause) {
    throw incomplete(cause);
  }
  if (length > maximumBodyBytes) throw tooLarge();
  return Buffer.concat(chunks);
};
