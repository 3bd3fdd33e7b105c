import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { toNetworkAddress } from "../networkAddress.ts";
import { decodeOwnerMessage } from "./ownerMessage.ts";
import { decodeRouterMessage } from "./peerMessage.ts";
import type { ProofMessage } from "./proofMessage.ts";
import { decodeProofMessage, encodeProofMessage } from "./proofMessage.ts";
import { isSmallOperatorRecord, isSmallReplicaRecord } from "./recordMessage.ts";
import { configurationOf, engineEntry } from "../../../tests/support/forwardingFixture.ts";
import { positionAt } from "../../../tests/support/positions.ts";

const count = fc.nat({ max: 2 ** 45 });
const text = fc.string({ maxLength: 40 });
const networkAddress = fc
  .tuple(fc.ipV4(), fc.integer({ min: 1, max: 65_535 }))
  .map(([host, port]) => toNetworkAddress(`${host}:${port}`));
const position = count.map((offset) => positionAt(offset));

/** Decoded objects have a prototype, and earl compares prototypes. */
const plain = { noNullPrototype: true } as const;

const weightsRecord = fc.record(
  {
    position,
    key: text,
    value: fc.record(
      {
        kind: fc.constant("weights" as const),
        target: fc.record({ model: text, version: count }, plain),
      },
      plain,
    ),
  },
  plain,
);

const replicaRecord = fc.record(
  {
    position,
    key: text,
    value: fc.option(
      fc.record(
        {
          id: text,
          registeredAs: text,
          bornAt: fc.option(count, { nil: undefined }),
          service: text,
          address: networkAddress,
          dataCentre: text,
          isDraining: fc.boolean(),
          slots: count,
          weights: fc.array(fc.tuple(text, count), { maxLength: 3 }).map((entries) => new Map(entries)),
        },
        plain,
      ),
      { nil: undefined },
    ),
  },
  plain,
);

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

  it("decodes positions and records, also if they are cut short", () => {
    const records = fc.tuple(
      fc.array(weightsRecord, { maxLength: 3 }),
      fc.array(replicaRecord, { maxLength: 3 }),
    );
    fc.assert(
      fc.property(count, position, position, records, (number, first, second, [ofOperator, ofReplicas]) => {
        expect([ofOperator.every(isSmallOperatorRecord), ofReplicas.every(isSmallReplicaRecord)]).toEqual([
          true,
          true,
        ]);
        const messages: readonly ProofMessage[] = [
          { kind: "question", number, known: { operator: first, replicas: second } },
          {
            kind: "answer",
            number,
            operator: { position: first, age: 1, records: ofOperator },
            replicas: { position: second, age: 2, records: ofReplicas },
          },
        ];
        for (const message of messages) {
          const datagram = encodeProofMessage(message);
          expect(decodeProofMessage(datagram)).toEqual(message);
          for (let end = 0; end < datagram.length; end += 1)
            expect(decodeProofMessage(datagram.subarray(0, end))).toEqual(undefined);
        }
      }),
      { seed: 2, numRuns: 60 },
    );
  });

  // Guards against records that would exceed a datagram or be decoded to other values.
  it("considers configurations, long texts, and numbers that can't be encoded as too large", () => {
    const configuration = { kind: "configuration", configuration: configurationOf(1) } as const;
    const weights = (version: number) => ({ kind: "weights", target: { model: "m", version } }) as const;
    const common = { position: positionAt(1), key: "key" };
    const values = [configuration, weights(1.5), weights(-1), undefined];
    expect(values.map((value) => isSmallOperatorRecord({ ...common, value }))).toEqual(
      values.map(() => false),
    );
    const entries = [{ dataCentre: "a".repeat(256) }, { bornAt: -1 }, { weights: new Map([["m", 0.5]]) }];
    const small = entries.map((fields) =>
      isSmallReplicaRecord({ ...common, value: { ...engineEntry("a"), ...fields } }),
    );
    expect(small).toEqual([false, false, false]);
  });
});
