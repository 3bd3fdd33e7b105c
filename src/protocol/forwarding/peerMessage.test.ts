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
  work: fc.array(record({ replica: key, requests: small, promptTokens: fc.array(small, { maxLength: 10 }) })),
  weights: fc.array(record({ replica: key, model: text, version: count })),
  changing: fc.array(record({ replica: key, remaining: small })),
  leaving: fc.array(key),
  holders: fc.array(record({ part: fc.nat({ max: 2 ** 32 - 1 }), replica: key, isReady: fc.boolean() })),
  weightsTargets: fc.array(record({ model: text, version: count, age: small })),
  limited: fc.array(
    record({
      replica: key,
      word: record({ perThousandSeconds: count, askedAge: small, heardAge: small }),
    }),
  ),
  held: fc.nat({ max: 2 ** 32 - 1 }),
  storeEpoch: fc.nat({ max: 2 ** 32 - 1 }),
  recovering: fc.nat({ max: 2 ** 32 - 1 }),
  hasSteppedDown: fc.boolean(),
  isShuttingDown: fc.boolean(),
});

describe("messages between routers", () => {
  it("are read as they were written", () => {
    fc.assert(
      fc.property(message, (written) => {
        expect(decodeRouterMessage(encodeRouterMessage(written))).toEqual(written);
      }),
      { seed: 7, numRuns: 300 },
    );
  });

  it("are nothing once cut off or lengthened, wherever", () => {
    fc.assert(
      fc.property(message, fc.nat(), (written, point) => {
        const datagram = encodeRouterMessage(written);
        expect(decodeRouterMessage(datagram.subarray(0, point % datagram.length))).toEqual(undefined);
        expect(decodeRouterMessage(Buffer.concat([datagram, Buffer.from([0])]))).toEqual(undefined);
      }),
      { seed: 7, numRuns: 300 },
    );
  });

  it("never bring a reader down, whatever comes", () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 400 }), fc.boolean(), (bytes, looksRight) => {
        const datagram = Buffer.from(bytes);
        if (looksRight && datagram.length > 0) datagram[0] = 5;
        decodeRouterMessage(datagram);
      }),
      { seed: 7, numRuns: 2_000 },
    );
  });

  it("take 12 bytes or fewer for the work at one replica", () => {
    const empty: RouterMessage = {
      name: "router",
      incarnation: "first",
      dataCentre: "here",
      sentAt: 1,
      echo: 1,
      configuration: { version: 1, age: 1 },
      work: [],
      weights: [],
      changing: [],
      leaving: [],
      holders: [],
      weightsTargets: [],
      limited: [],
      held: 0,
      storeEpoch: 0,
      recovering: 0,
      hasSteppedDown: false,
      isShuttingDown: false,
    };
    const row = { replica: replicaKeyOf("engine-1"), requests: 3, promptTokens: [0, 12_000] };
    const rows = Array.from({ length: 100 }, () => row);
    const bytes = encodeRouterMessage({ ...empty, work: rows }).length - encodeRouterMessage(empty).length;
    expect(bytes / rows.length).toBeLessThanOrEqual(12);
  });
});
