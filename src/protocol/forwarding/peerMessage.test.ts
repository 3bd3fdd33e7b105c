import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import type { RouterMessage } from "./peerMessage.ts";
import { decodeRouterMessage, encodeRouterMessage, replicaKeyOf } from "./peerMessage.ts";

const count = fc.nat({ max: Number.MAX_SAFE_INTEGER });
const small = fc.nat({ max: 100_000 });
const key = fc.nat({ max: 2 ** 48 - 1 });
const text = fc.string({ maxLength: 40 });
const time = fc.double({ noNaN: true, noDefaultInfinity: true });

const record = <T>(fields: { [Key in keyof T]: fc.Arbitrary<T[Key]> }) =>
  fc.record(fields, { noNullPrototype: true });

const message: fc.Arbitrary<RouterMessage> = record<RouterMessage>({
  name: text,
  incarnation: text,
  dataCentre: text,
  sentAt: time,
  echo: fc.option(time, { nil: undefined }),
  configuration: fc.option(record({ version: count, age: count }), { nil: undefined }),
  work: fc.array(
    record({
      replica: key,
      requests: small,
      promptTokens: fc.array(small, { maxLength: 10 }),
      organisations: fc.array(record({ key: fc.nat({ max: 2 ** 32 - 1 }), promptTokens: small }), {
        maxLength: 4,
      }),
      reservedTokens: small,
      prefilledTokens: small,
    }),
  ),
  weights: fc.array(record({ replica: key, model: text, version: count })),
  changingReplicas: fc.array(record({ replica: key, remaining: small })),
  leaving: fc.array(key),
  holders: fc.array(record({ part: fc.nat({ max: 2 ** 32 - 1 }), replica: key, isReady: fc.boolean() })),
  weightsTargets: fc.array(record({ model: text, version: count, age: small })),
  reportedLimits: fc.array(
    record({
      replica: key,
      reportedLimit: record({ perThousandSeconds: count, askedAge: small, receivedAge: small }),
    }),
  ),
  quarantineDigest: fc.nat({ max: 2 ** 32 - 1 }),
  storeEpoch: fc.nat({ max: 2 ** 32 - 1 }),
  recoveryRemaining: fc.nat({ max: 2 ** 32 - 1 }),
  hasSteppedDown: fc.boolean(),
  isPartitioned: fc.boolean(),
  isShuttingDown: fc.boolean(),
});

describe("RouterMessage", () => {
  it("decodes what it encodes", () => {
    fc.assert(
      fc.property(message, (original) => {
        expect(decodeRouterMessage(encodeRouterMessage(original))).toEqual(original);
      }),
      { seed: 7, numRuns: 300 },
    );
  });

  it("rejects datagrams truncated at any byte or extended", () => {
    fc.assert(
      fc.property(message, fc.nat(), (original, cut) => {
        const datagram = encodeRouterMessage(original);
        expect(decodeRouterMessage(datagram.subarray(0, cut % datagram.length))).toEqual(undefined);
        expect(decodeRouterMessage(Buffer.concat([datagram, Buffer.from([0])]))).toEqual(undefined);
      }),
      { seed: 7, numRuns: 300 },
    );
  });

  it("never throws on arbitrary bytes", () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 400 }), fc.boolean(), (bytes, hasValidStart) => {
        const datagram = Buffer.from(bytes);
        if (hasValidStart && datagram.length > 0) datagram[0] = 5;
        decodeRouterMessage(datagram);
      }),
      { seed: 7, numRuns: 2_000 },
    );
  });

  it("takes at most 12 bytes for the work at one replica", () => {
    const empty: RouterMessage = {
      name: "router",
      incarnation: "first",
      dataCentre: "here",
      sentAt: 1,
      echo: 1,
      configuration: { version: 1, age: 1 },
      work: [],
      weights: [],
      changingReplicas: [],
      leaving: [],
      holders: [],
      weightsTargets: [],
      reportedLimits: [],
      quarantineDigest: 0,
      storeEpoch: 0,
      recoveryRemaining: 0,
      hasSteppedDown: false,
      isPartitioned: false,
      isShuttingDown: false,
    };
    const workAtReplica = {
      replica: replicaKeyOf("engine-1"),
      requests: 3,
      promptTokens: [0, 12_000],
      organisations: [],
      reservedTokens: 0,
      prefilledTokens: 0,
    };
    const work = Array.from({ length: 100 }, () => workAtReplica);
    const bytes = encodeRouterMessage({ ...empty, work }).length - encodeRouterMessage(empty).length;
    expect(bytes / work.length).toBeLessThanOrEqual(12);
  });
});
