import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { decodeOwnerMessage } from "./ownerMessage.ts";
import { decodeRouterMessage } from "./peerMessage.ts";
import { decodeProofMessage, encodeProofMessage } from "./proofMessage.ts";
import { positionAt } from "../../../tests/support/positions.ts";

const count = fc.nat({ max: 2 ** 45 });

describe("proofMessage", () => {
  it("decodes what it encodes, rejects other lengths, and is not mistaken for another message", () => {
    fc.assert(
      fc.property(fc.array(count, { minLength: 5, maxLength: 5 }), fc.boolean(), (numbers, isQuestion) => {
        const [number = 0, first = 0, firstAge = 0, second = 0, secondAge = 0] = numbers;
        const message = isQuestion
          ? ({ kind: "question", number } as const)
          : ({
              kind: "answer",
              number,
              operator: { position: positionAt(first), age: firstAge },
              replicas: { position: positionAt(second), age: secondAge },
            } as const);
        const datagram = encodeProofMessage(message);
        expect(decodeProofMessage(datagram)).toEqual(message);
        expect([decodeOwnerMessage(datagram), decodeRouterMessage(datagram)]).toEqual([undefined, undefined]);
        expect(decodeProofMessage(datagram.subarray(0, -1))).toEqual(undefined);
        expect(decodeProofMessage(Buffer.concat([datagram, Buffer.from([1])]))).toEqual(undefined);
      }),
      { seed: 1 },
    );
  });
});
