/**
 * Resume tokens: the `id` of each event of a stream. With the last one, a caller can resume the stream at any router
 * after its connection or its router has failed. A token contains everything that a router needs to find the answer.
 *
 * The fields that are constant during an attempt are signed once. The position is appended without a signature, since
 * a forged position only shows the caller another part of its own answer.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import type { AnswerPosition } from "./FrontEnd.ts";

/** The signed fields: where an answer is generated, and for which request. */
export interface ResumeTarget {
  /** Part of the signature but not of the token, so that no other organisation can use the token. */
  readonly organisation: string;
  /** Digest of the request. */
  readonly digest: string;
  readonly idempotent: boolean;
  readonly engineId: string;
  readonly incarnation: string;
  readonly attempt: string;
  /** Tokens of the whole answer before the start of the attempt. */
  readonly attemptOffset: number;
  /** Seconds since 1970. */
  readonly expiresAt: number;
}

/** The contents of a valid token. */
export interface ResumePoint extends ResumeTarget, AnswerPosition {}

/** Why a token was not accepted. */
export type ResumeTokenFault = "malformed" | "forged" | "expired";

/** Creates and verifies tokens with the secret that all routers share. */
export interface ResumeTokens {
  /** @returns The signed part, which the tokens of all events of an attempt share. */
  readonly sign: (target: ResumeTarget) => string;
  /**
   * Verifies and decodes a token.
   *
   * @param organisation - The organisation that presents the token.
   * @param now - Seconds since 1970.
   */
  readonly read: (token: string, organisation: string, now: number) => ResumePoint | ResumeTokenFault;
}

const version = "1";
const separator = ",";
const signedFieldCount = 8;
const signatureLength = 22;
const purpose = "pomelocleat resume token";
const wholeNumberPattern = /^\d{1,10}$/;

/**
 * Creates the token of one event.
 *
 * @param signed - The result of `ResumeTokens.sign`.
 */
export const formatResumeToken = (signed: string, { tokens, textlessPieces }: AnswerPosition): string =>
  `${signed},${tokens},${textlessPieces}`;

const signedFields = (target: ResumeTarget): string =>
  [
    version,
    String(target.expiresAt),
    target.idempotent ? "1" : "0",
    String(target.attemptOffset),
    target.digest,
    target.attempt,
    target.engineId,
    target.incarnation,
  ]
    .map(encodeURIComponent)
    .join(separator);

/**
 * Creates the functions.
 *
 * @param secret - The secret that all routers share.
 */
export const createResumeTokens = (secret: string): ResumeTokens => {
  const key = createHmac("sha256", secret).update(purpose).digest();

  const signatureOf = (fields: string, organisation: string): string =>
    createHmac("sha256", key)
      .update(`${encodeURIComponent(organisation)}${separator}${fields}`)
      .digest("base64url")
      .slice(0, signatureLength);

  const sign = (target: ResumeTarget): string => {
    const fields = signedFields(target);
    return `${fields}${separator}${signatureOf(fields, target.organisation)}`;
  };

  const isSignatureValid = (signature: string, fields: string, organisation: string): boolean => {
    const expected = Buffer.from(signatureOf(fields, organisation));
    const given = Buffer.from(signature);
    return given.length === expected.length && timingSafeEqual(given, expected);
  };

  const read = (token: string, organisation: string, now: number): ResumePoint | ResumeTokenFault => {
    const parts = token.split(separator);
    const [signature = "", tokens = "", textlessPieces = ""] = parts.slice(signedFieldCount);
    if (
      parts.length !== signedFieldCount + 3 ||
      !wholeNumberPattern.test(tokens) ||
      !wholeNumberPattern.test(textlessPieces)
    ) {
      return "malformed";
    }
    if (!isSignatureValid(signature, parts.slice(0, signedFieldCount).join(separator), organisation))
      return "forged";
    const [, expiresAt, idempotent, attemptOffset, ...names] = parts.map(decodeURIComponent);
    const [digest = "", attempt = "", engineId = "", incarnation = ""] = names;
    if (Number(expiresAt) < now) return "expired";
    return {
      organisation,
      digest,
      idempotent: idempotent === "1",
      engineId,
      incarnation,
      attempt,
      attemptOffset: Number(attemptOffset),
      expiresAt: Number(expiresAt),
      tokens: Number(tokens),
      textlessPieces: Number(textlessPieces),
    };
  };

  return { sign, read };
};
