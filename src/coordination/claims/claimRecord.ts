/** Encoding of claims as records of the log service. */
import { z } from "zod";
import { maxRecordedAnswerSize } from "./constants.ts";
import type { RecordedAnswer, RecordedOutcome } from "./types.ts";

const common = { key: z.string(), holder: z.string() };

const claimRecordSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("claim"),
    ...common,
    fingerprint: z.string(),
    /** Milliseconds within which the holder expects the request to end. */
    expected: z.number().min(0),
  }),
  z.object({ kind: z.literal("release"), ...common }),
  z.object({ kind: z.literal("abandon"), ...common }),
  z.object({
    kind: z.literal("complete"),
    ...common,
    summary: z.string(),
    status: z.number().int().optional(),
    contentType: z.string().optional(),
    /** Base64. */
    body: z.string().optional(),
  }),
]);

/** One record of a claims stream. */
export type ClaimRecord = z.output<typeof claimRecordSchema>;

/** @returns The decoded record; undefined if the data is not a claim record. */
export const decodeClaimRecord = (data: string): ClaimRecord | undefined => {
  try {
    return claimRecordSchema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
};

export const encodeClaimRecord = (record: ClaimRecord): string => JSON.stringify(record);

/** Creates the record of an outcome; an answer longer than the limit is omitted. */
export const createOutcomeRecord = (
  key: string,
  holder: string,
  summary: string,
  answer: RecordedAnswer | undefined,
): ClaimRecord => ({
  kind: "complete",
  key,
  holder,
  summary,
  ...(answer === undefined || answer.body.length > maxRecordedAnswerSize
    ? {}
    : {
        status: answer.status,
        ...(answer.contentType === undefined ? {} : { contentType: answer.contentType }),
        body: answer.body.toString("base64"),
      }),
});

/** Reads the outcome from a `complete` record. */
export const readOutcome = (record: ClaimRecord & { readonly kind: "complete" }): RecordedOutcome => {
  const { summary, status, contentType, body } = record;
  const answer =
    status === undefined ? undefined : { status, contentType, body: Buffer.from(body ?? "", "base64") };
  return { summary, answer };
};
