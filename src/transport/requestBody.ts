/** Reads a caller's request body within its size limit. */
import type { IncomingMessage } from "node:http";
import { maximumBodyBytes, outcomes } from "../protocol/constants.ts";
import { requestError } from "../protocol/errors.ts";

const tooLarge = () =>
  requestError(`The body is longer than ${maximumBodyBytes} bytes.`, {
    status: 413,
    code: "body_too_large",
    outcome: outcomes.notRun,
  });

const cutOff = (cause: unknown) =>
  requestError(
    "The body ended early.",
    { status: 400, code: "invalid_body", outcome: outcomes.notRun },
    cause,
  );

/** @returns The body; throws `RequestError` (413, or 400 if the caller's connection breaks). */
export const readRequestBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length;
      // The rest is read but not kept, so that the caller can read the answer.
      if (length <= maximumBodyBytes) chunks.push(chunk);
    }
  } catch (cause) {
    throw cutOff(cause);
  }
  if (length > maximumBodyBytes) throw tooLarge();
  return Buffer.concat(chunks);
};
