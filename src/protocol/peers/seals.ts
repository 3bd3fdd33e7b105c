/**
 * Message authentication between routers. A proof is an HMAC-SHA-256 of the payload under a key derived from the
 * shared secret. It also covers a timestamp and a nonce in questions, the question's nonce in answers, and the
 * sequence number in messages of a stream. Sealing a payload means adding a proof: proofs protect authenticity and
 * integrity, and nothing is encrypted.
 */
import { create } from "@bufbuild/protobuf";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { clockTolerance } from "./constants.ts";
import { peerError } from "./errors.ts";
import { SealedAnswerSchema, SealedQuestionSchema } from "./generated/pomelocleat/peers/v1/peers_pb.ts";
import type { SealedAnswer, SealedQuestion } from "./generated/pomelocleat/peers/v1/peers_pb.ts";

const nonceLength = 16;

/** Proofs are truncated to this length, bytes (128 bits). */
const proofLength = 16;

/** Nonces that are kept to detect replays; while that many are kept, further questions are refused. */
const maximumNonces = 100_000;

/** Seals what a process sends, and opens (verifies) what it receives. Opening throws `PeerError`. */
export interface Seals {
  readonly sealQuestion: (payload: Uint8Array) => SealedQuestion;
  readonly openQuestion: (sealed: SealedQuestion) => Uint8Array;
  readonly sealAnswer: (question: SealedQuestion, payload: Uint8Array) => SealedAnswer;
  readonly openAnswer: (question: SealedQuestion, sealed: SealedAnswer) => Uint8Array;
  /** @returns The key for the messages of a session's stream. */
  readonly streamKey: (session: Uint8Array) => Uint8Array;
}

const computeHmac = (key: Uint8Array, label: string, ...parts: readonly Uint8Array[]): Uint8Array => {
  const hmac = createHmac("sha256", key).update(label);
  for (const part of parts) hmac.update(part);
  return hmac.digest().subarray(0, proofLength);
};

const verifyProof = (expected: Uint8Array, given: Uint8Array): void => {
  if (given.length === expected.length && timingSafeEqual(expected, given)) return;
  throw peerError("The proof does not match the shared secret.", "forged");
};

/** Encodes a number as a 64-bit float, big-endian. */
const encodeNumber = (value: number): Uint8Array => {
  const bytes = new Uint8Array(8);
  new DataView(bytes.buffer).setFloat64(0, value);
  return bytes;
};

/**
 * Creates a function that records a nonce. It returns false for a nonce that it has recorded before, or if it holds
 * too many. Nonces are kept for as long as a question with their timestamp could still be accepted.
 */
const createNonceRecorder = (wallClock: () => number): ((nonce: Uint8Array) => boolean) => {
  const seen = new Map<string, number>();

  const removeExpired = (now: number): void => {
    for (const [nonce, seenAt] of seen) {
      if (now - seenAt <= 2 * clockTolerance) return;
      seen.delete(nonce);
    }
  };

  return (nonce) => {
    const now = wallClock();
    removeExpired(now);
    const key = Buffer.from(nonce).toString("latin1");
    if (seen.has(key) || seen.size >= maximumNonces) return false;
    seen.set(key, now);
    return true;
  };
};

/**
 * Creates the functions that seal and open.
 *
 * @param secret - The secret that all routers share.
 * @param wallClock - Returns milliseconds since 1970.
 */
export const createSeals = (secret: string, wallClock: () => number): Seals => {
  const key = computeHmac(Buffer.from(secret), "pomelocleat peers 1");
  const recordNonce = createNonceRecorder(wallClock);

  const questionProof = ({ nonce, askedAt, payload }: SealedQuestion): Uint8Array =>
    computeHmac(key, "question", nonce, encodeNumber(askedAt), payload);

  const answerProof = ({ nonce }: SealedQuestion, payload: Uint8Array): Uint8Array =>
    computeHmac(key, "answer", nonce, payload);

  return {
    sealQuestion: (payload) => {
      const sealed = create(SealedQuestionSchema, {
        payload,
        askedAt: wallClock(),
        nonce: randomBytes(nonceLength),
      });
      sealed.proof = questionProof(sealed);
      return sealed;
    },
    openQuestion: (sealed) => {
      if (sealed.nonce.length !== nonceLength) throw peerError("The nonce has a wrong length.", "forged");
      verifyProof(questionProof(sealed), sealed.proof);
      if (Math.abs(wallClock() - sealed.askedAt) > clockTolerance) {
        throw peerError("The question's time is too far from this process's clock.", "clock");
      }
      if (!recordNonce(sealed.nonce)) throw peerError("The question was received before.", "replayed");
      return sealed.payload;
    },
    sealAnswer: (question, payload) =>
      create(SealedAnswerSchema, { payload, proof: answerProof(question, payload) }),
    openAnswer: (question, { payload, proof }) => {
      verifyProof(answerProof(question, payload), proof);
      return payload;
    },
    streamKey: (session) => computeHmac(key, "stream", session),
  };
};

/**
 * Creates the proof of a message of a stream.
 *
 * @param key - The result of `Seals.streamKey`.
 * @param sequence - The message's number in the stream, from 0.
 */
export const createMessageProof = (key: Uint8Array, sequence: number, payload: Uint8Array): Uint8Array =>
  computeHmac(key, "message", encodeNumber(sequence), payload);

/** Verifies the proof of a message of a stream; throws `PeerError`. */
export const verifyMessageProof = (
  key: Uint8Array,
  sequence: number,
  payload: Uint8Array,
  proof: Uint8Array,
): void => verifyProof(createMessageProof(key, sequence, payload), proof);
