/** Claims as records of the log service. */
import { z } from "zod";
import { longestRecordedAnswer } from "./constants.ts";
import type { RecordedAnswer, RecordedOutcome } from "./types.ts";

const common = { key: z.string(), holder: z.string() };

const claimRecordSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("claim"),
    ...common,
    fingerprint: z.string(),
    /** Milliseconds within which the holder expects to have ended. */
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

/** @returns The record; undefined for what is none. */
export const decodeClaimRecord = (data: string): ClaimRecord | undefined => {
  try {
    return claimRecordSchema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
};

/** Writes a record. */
export const encodeClaimRecord = (record: ClaimRecord): string => JSON.stringify(record);

/** Makes the record of an outcome; an answer that is too long is left out. */
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
  ...(answer === undefined || answer.body.length > longestRecordedAnswer
    ? {}
    : {
        status: answer.status,
        ...(answer.contentType === undefined ? {} : { contentType: answer.contentType }),
        body: answer.body.toString("base64"),
      }),
});

/** Reads the outcome from its record. */
export const outcomeOf = (record: ClaimRecord & { readonly kind: "complete" }): RecordedOutcome => {
  const { summary, status, contentType, body } = record;
  const answer =
    status === undefined ? undefined : { status, contentType, body: Buffer.from(body ?? "", "base64") };
  return { summary, answer };
};
