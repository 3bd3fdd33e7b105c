/**
 * Resume tokens: the `id` of each event of a stream, with which its caller can go on at any router after its
 * connection or its router has gone. They hold all that a router needs to find the answer again.
 *
 * What stays the same during an attempt is signed once; the position is appended unsigned, since a wrong one
 * shows its caller another part of the caller's own answer and nothing else.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import type { AnswerPosition } from "./FrontEnd.ts";

/** Where an answer is generated, and for which request. */
export interface ResumeGrant {
  /** Not in the token, but signed with it: a token is of no use to another organisation. */
  readonly organisation: string;
  /** Digest of what was asked. */
  readonly digest: string;
  readonly idempotent: boolean;
  readonly engineId: string;
  readonly incarnation: string;
  readonly attempt: string;
  /** Tokens of the whole answer that came before the attempt. */
  readonly attemptOffset: number;
  /** Seconds since 1970. */
  readonly expiresAt: number;
}

/** A token that has been read. */
export interface ResumePoint extends ResumeGrant, AnswerPosition {}

/** Why a token was not accepted. */
export type ResumeTokenFault = "malformed" | "forged" | "expired";

/** Signs and reads tokens with the secret of all routers. */
export interface ResumeTokens {
  /** @returns The part of the tokens that all events of an attempt have in common. */
  readonly sign: (grant: ResumeGrant) => string;
  /**
   * @param organisation - The organisation that brings the token.
   * @param now - Seconds since 1970.
   */
  readonly read: (token: string, organisation: string, now: number) => ResumePoint | ResumeTokenFault;
}

const version = "1";
const separator = ",";
const signedFieldCount = 8;
const signatureLength = 22;
const purpose = "pomelocleat resume token";
const wholeNumber = /^\d{1,10}$/;

/** @returns The token of an event. */
export const formatResumeToken = (
  signed: string,
  { tokens, textlessPieces: others }: AnswerPosition,
): string => `${signed},${tokens},${others}`;

const signedFields = (grant: ResumeGrant): string =>
  [
    version,
    String(grant.expiresAt),
    grant.idempotent ? "1" : "0",
    String(grant.attemptOffset),
    grant.digest,
    grant.attempt,
    grant.engineId,
    grant.incarnation,
  ]
    .map(encodeURIComponent)
    .join(separator);

/** Makes the functions. */
export const createResumeTokens = (secret: string): ResumeTokens => {
  const key = createHmac("sha256", secret).update(purpose).digest();

  const signatureOf = (fields: string, organisation: string): string =>
    createHmac("sha256", key)
      .update(`${encodeURIComponent(organisation)}${separator}${fields}`)
      .digest("base64url")
      .slice(0, signatureLength);

  const sign = (grant: ResumeGrant): string => {
    const fields = signedFields(grant);
    return `${fields}${separator}${signatureOf(fields, grant.organisation)}`;
  };

  const isSigned = (signature: string, fields: string, organisation: string): boolean => {
    const expected = Buffer.from(signatureOf(fields, organisation));
    const given = Buffer.from(signature);
    return given.length === expected.length && timingSafeEqual(given, expected);
  };

  const read = (token: string, organisation: string, now: number): ResumePoint | ResumeTokenFault => {
    const parts = token.split(separator);
    const [signature = "", tokens = "", others = ""] = parts.slice(signedFieldCount);
    if (parts.length !== signedFieldCount + 3 || !wholeNumber.test(tokens) || !wholeNumber.test(others)) {
      return "malformed";
    }
    if (!isSigned(signature, parts.slice(0, signedFieldCount).join(separator), organisation)) return "forged";
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
      textlessPieces: Number(others),
    };
  };

  return { sign, read };
};
