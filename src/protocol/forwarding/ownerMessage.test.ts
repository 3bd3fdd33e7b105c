import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import type { OwnerMessage } from "./ownerMessage.ts";
import { decodeOwnerMessage, encodeOwnerMessage } from "./ownerMessage.ts";
import { decodeRouterMessage } from "./peerMessage.ts";

/** Records with the usual object prototype, as the decoder returns them. */
const record = <T extends object>(model: { [K in keyof T]: fc.Arbitrary<T[K]> }): fc.Arbitrary<T> =>
  fc.record<T>(model, { noNullPrototype: true });

const count = fc.nat({ max: 2 ** 40 });
const key = fc.nat({ max: 2 ** 31 - 1 });
const name = fc.string({ maxLength: 20 });
const promptTokens = fc.array(count, { maxLength: 10 });
const holders = fc.array(record({ part: count, replica: key, isReady: fc.boolean() }), { maxLength: 5 });

const limit = fc.option(record({ perThousandSeconds: count, askedAge: count, receivedAge: count }), {
  nil: undefined,
});

const organisations = fc.array(record({ key: fc.nat({ max: 2 ** 32 - 1 }), promptTokens: count }), {
  maxLength: 4,
});

const message: fc.Arbitrary<OwnerMessage> = fc.oneof(
  record({
    kind: fc.constant("work" as const),
    name,
    incarnation: name,
    sequence: count,
    reports: fc.array(
      record({
        replica: key,
        requests: count,
        promptTokens,
        organisations,
        reservedTokens: count,
        computedTokens: count,
        prefilledTokens: count,
        isUnreachable: fc.boolean(),
        isBackingOff: fc.boolean(),
        limit,
      }),
      { maxLength: 4 },
    ),
    holders,
  }),
  record({
    kind: fc.constant("ask" as const),
    name,
    number: count,
    replicas: fc.array(key, { maxLength: 8 }),
    parts: fc.array(count, { maxLength: 8 }),
    organisation: fc.nat({ max: 2 ** 32 - 1 }),
  }),
  record({
    kind: fc.constant("answer" as const),
    number: count,
    reports: fc.array(
      record({
        replica: key,
        requests: count,
        promptTokens,
        organisations,
        reservedTokens: count,
        prefillRate: fc.nat({ max: 4_000 }).map((sixteenths) => sixteenths / 16),
        ejectedFor: count,
        limit,
      }),
      { maxLength: 4 },
    ),
    usedParts: fc.array(count, { maxLength: 8 }),
    holders,
  }),
);

describe("ownerMessage", () => {
  it("decodes what it encodes, and is not mistaken for a router message", () => {
    fc.assert(
      fc.property(message, (original) => {
        const datagram = encodeOwnerMessage(original);
        expect(decodeOwnerMessage(datagram)).toEqual(original);
        expect(decodeRouterMessage(datagram)).toEqual(undefined);
      }),
      { seed: 1 },
    );
  });

  it("reports work without speeds in the same bytes as before speeds were learned, so that no link gets busier", () => {
    const report = {
      replica: 1,
      requests: 3,
      promptTokens: [0, 12_000],
      organisations: [],
      reservedTokens: 0,
      computedTokens: 1_000_000,
      isUnreachable: false,
      isBackingOff: false,
      limit: undefined,
    };
    const encode = (prefilledTokens: number): string =>
      encodeOwnerMessage({
        kind: "work",
        name: "router-1",
        incarnation: "process-1",
        sequence: 7,
        reports: [{ ...report, prefilledTokens }],
        holders: [],
      }).toString("hex");
    expect(encode(0)).toEqual(
      "2108726f757465722d310970726f636573732d310701000000000001060200e05dc0843d000000",
    );
    expect(encode(3_000_000).length / 2 - encode(0).length / 2).toEqual(4);
  });

  it("rejects truncated, extended and unrelated datagrams", () => {
    fc.assert(
      fc.property(message, fc.nat(), (original, cut) => {
        const datagram = encodeOwnerMessage(original);
        expect(decodeOwnerMessage(datagram.subarray(0, cut % datagram.length))).toEqual(undefined);
        expect(decodeOwnerMessage(Buffer.concat([datagram, Buffer.from([0])]))).toEqual(undefined);
      }),
      { seed: 2 },
    );
    expect(decodeOwnerMessage(Buffer.from("hello"))).toEqual(undefined);
  });

  it("never throws on arbitrary bytes", () => {
    fc.assert(
      fc.property(
        fc.uint8Array({ maxLength: 60 }),
        fc.constantFrom(0x21, 0x22, 0x23),
        (bytes, messageType) => {
          decodeOwnerMessage(Buffer.concat([Buffer.from([messageType]), bytes]));
        },
      ),
      { seed: 3 },
    );
  });
});
