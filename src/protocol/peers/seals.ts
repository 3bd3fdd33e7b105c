/**
 * Proofs that something comes from a process that knows the shared secret: HMAC-SHA-256 over what is sent, with
 * a time and a nonce for questions, the question's nonce for answers, and the place in the stream for
 * messages. They prove origin and wholeness; they hide nothing.
 */
import { create } from "@bufbuild/protobuf";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { clockTolerance } from "./constants.ts";
import { peerError } from "./errors.ts";
import { SealedAnswerSchema, SealedQuestionSchema } from "./generated/pomelocleat/peers/v1/peers_pb.ts";
import type { SealedAnswer, SealedQuestion } from "./generated/pomelocleat/peers/v1/peers_pb.ts";

const nonceLength = 16;

/** Bytes of a proof that travel; 128 bits. */
const proofLength = 16;

/** Nonces remembered; more within the tolerance of clocks are refused. */
const maximumNonces = 100_000;

/** Seals and opens what one process sends and receives. Opening throws `PeerError`. */
export interface Seals {
  readonly sealQuestion: (payload: Uint8Array) => SealedQuestion;
  readonly openQuestion: (sealed: SealedQuestion) => Uint8Array;
  readonly sealAnswer: (question: SealedQuestion, payload: Uint8Array) => SealedAnswer;
  readonly openAnswer: (question: SealedQuestion, sealed: SealedAnswer) => Uint8Array;
  /** @returns The key of a session's stream. */
  readonly streamKey: (session: Uint8Array) => Uint8Array;
}

const mac = (key: Uint8Array, label: string, ...parts: readonly Uint8Array[]): Uint8Array => {
  const hmac = createHmac("sha256", key).update(label);
  for (const part of parts) hmac.update(part);
  return hmac.digest().subarray(0, proofLength);
};

const check = (expected: Uint8Array, given: Uint8Array): void => {
  if (given.length === expected.length && timingSafeEqual(expected, given)) return;
  throw peerError("The proof does not fit the shared secret.", "forged");
};

/** A number as eight bytes. */
const encodeNumber = (value: number): Uint8Array => {
  const bytes = new Uint8Array(8);
  new DataView(bytes.buffer).setFloat64(0, value);
  return bytes;
};

/** Remembers nonces for as long as a question that bears them could be accepted. */
const createNonceMemory = (wall: () => number): ((nonce: Uint8Array) => boolean) => {
  const seen = new Map<string, number>();

  const forget = (now: number): void => {
    for (const [nonce, seenAt] of seen) {
      if (now - seenAt <= 2 * clockTolerance) return;
      seen.delete(nonce);
    }
  };

  return (nonce) => {
    const now = wall();
    forget(now);
    const key = Buffer.from(nonce).toString("latin1");
    if (seen.has(key) || seen.size >= maximumNonces) return false;
    seen.set(key, now);
    return true;
  };
};

/**
 * Makes a process's seals.
 *
 * @param secret - Known to all routers.
 * @param wall - Milliseconds since 1970.
 */
export const createSeals = (secret: string, wall: () => number): Seals => {
  const key = mac(Buffer.from(secret), "pomelocleat peers 1");
  const isNew = createNonceMemory(wall);

  const questionProof = ({ nonce, askedAt, payload }: SealedQuestion): Uint8Array =>
    mac(key, "question", nonce, encodeNumber(askedAt), payload);

  const answerProof = ({ nonce }: SealedQuestion, payload: Uint8Array): Uint8Array =>
    mac(key, "answer", nonce, payload);

  return {
    sealQuestion: (payload) => {
      const sealed = create(SealedQuestionSchema, {
        payload,
        askedAt: wall(),
        nonce: randomBytes(nonceLength),
      });
      sealed.proof = questionProof(sealed);
      return sealed;
    },
    openQuestion: (sealed) => {
      if (sealed.nonce.length !== nonceLength) throw peerError("The nonce has a wrong length.", "forged");
      check(questionProof(sealed), sealed.proof);
      if (Math.abs(wall() - sealed.askedAt) > clockTolerance) {
        throw peerError("The question's time is too far from this process's clock.", "clock");
      }
      if (!isNew(sealed.nonce)) throw peerError("The question was received before.", "replayed");
      return sealed.payload;
    },
    sealAnswer: (question, payload) =>
      create(SealedAnswerSchema, { payload, proof: answerProof(question, payload) }),
    openAnswer: (question, { payload, proof }) => {
      check(answerProof(question, payload), proof);
      return payload;
    },
    streamKey: (session) => mac(key, "stream", session),
  };
};

/**
 * Proves a message of a stream.
 *
 * @param sequence - Its place in the stream, from 0.
 */
export const createMessageProof = (key: Uint8Array, sequence: number, payload: Uint8Array): Uint8Array =>
  mac(key, "message", encodeNumber(sequence), payload);

/** Checks a message of a stream; throws `PeerError`. */
export const verifyMessageProof = (
  key: Uint8Array,
  sequence: number,
  payload: Uint8Array,
  proof: Uint8Array,
): void => check(createMessageProof(key, sequence, payload), proof);
