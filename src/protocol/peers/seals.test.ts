import { expect } from "earl";
import { describe, it } from "node:test";
import { create } from "@bufbuild/protobuf";
import { clockTolerance } from "./constants.ts";
import { PeerError } from "./errors.ts";
import type { PeerFault } from "./errors.ts";
import { SealedQuestionSchema } from "./generated/pomelocleat/peers/v1/peers_pb.ts";
import { verifyMessageProof, createSeals, createMessageProof } from "./seals.ts";

const secret = "a-secret-that-all-routers-share-0123456789";
const payload = new Uint8Array([1, 2, 3]);

const faultOf = (action: () => unknown): PeerFault | undefined => {
  try {
    action();
    return undefined;
  } catch (error) {
    return error instanceof PeerError ? error.fault : undefined;
  }
};

describe("seals", () => {
  const at = (time: number, known = secret) => createSeals(known, () => time);

  it("open what a process with the same secret sealed", () => {
    const question = at(0).sealQuestion(payload);
    expect(at(0).openQuestion(question)).toEqual(payload);
    const answer = at(0).sealAnswer(question, payload);
    expect(at(0).openAnswer(question, answer)).toEqual(payload);
  });

  it("refuse a stranger's question, a changed one, and one sent again", () => {
    const question = at(0).sealQuestion(payload);
    const changed = create(SealedQuestionSchema, { ...question, payload: new Uint8Array([1, 2, 4]) });
    const later = create(SealedQuestionSchema, { ...question, askedAt: 1 });
    const receiver = at(0);
    receiver.openQuestion(question);
    const faults = [
      faultOf(() => at(0, "another-secret").openQuestion(question)),
      faultOf(() => at(0).openQuestion(changed)),
      faultOf(() => at(0).openQuestion(later)),
      faultOf(() => at(0).openQuestion(create(SealedQuestionSchema))),
      faultOf(() => receiver.openQuestion(question)),
    ];
    expect(faults).toEqual(["forged", "forged", "forged", "forged", "replayed"]);
  });

  it("refuse a question from another time, for as long as its nonce could be forgotten", () => {
    const question = at(0).sealQuestion(payload);
    expect(faultOf(() => at(clockTolerance + 1).openQuestion(question))).toEqual("clock");
    expect(faultOf(() => at(-clockTolerance - 1).openQuestion(question))).toEqual("clock");
    expect(faultOf(() => at(clockTolerance).openQuestion(question))).toEqual(undefined);
  });

  it("refuse an answer of a stranger, and one to another question", () => {
    const question = at(0).sealQuestion(payload);
    const other = at(0).sealQuestion(payload);
    const answer = at(0).sealAnswer(question, payload);
    expect(faultOf(() => at(0).openAnswer(other, answer))).toEqual("forged");
    expect(faultOf(() => at(0, "another-secret").openAnswer(question, answer))).toEqual("forged");
  });

  it("refuse a message of another stream, changed, or out of order", () => {
    const key = at(0).streamKey(new Uint8Array([1]));
    const otherKey = at(0).streamKey(new Uint8Array([2]));
    const proof = createMessageProof(key, 1, payload);
    expect(faultOf(() => verifyMessageProof(key, 1, payload, proof))).toEqual(undefined);
    expect(faultOf(() => verifyMessageProof(otherKey, 1, payload, proof))).toEqual("forged");
    expect(faultOf(() => verifyMessageProof(key, 0, payload, proof))).toEqual("forged");
    expect(faultOf(() => verifyMessageProof(key, 1, new Uint8Array([3, 2, 1]), proof))).toEqual("forged");
  });
});
