import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import type { CrashMessage } from "./crashMessage.ts";
import { traitKinds } from "./requestTrait.ts";
import { decodeCrashMessage, encodeCrashMessage } from "./crashMessage.ts";

const number = fc.nat({ max: Number.MAX_SAFE_INTEGER });
const text = fc.string({ maxLength: 40 });
const kind = fc.constantFrom(...traitKinds);
const suspect = fc.record(
  { kind, fingerprint: text, hasBegun: fc.boolean(), isProven: fc.boolean() },
  { noNullPrototype: true },
);
const trait = fc.record({ kind, name: text, fingerprint: text }, { noNullPrototype: true });

const crash = fc.record({ replica: text, suspects: fc.array(suspect) }, { noNullPrototype: true });

const message: fc.Arbitrary<CrashMessage> = fc.oneof(
  fc.record(
    { kind: fc.constant("crash" as const), number, crashes: fc.array(crash) },
    { noNullPrototype: true },
  ),
  fc.record(
    { kind: fc.constant("held" as const), number, traits: fc.array(trait) },
    { noNullPrototype: true },
  ),
  fc.record(
    { kind: fc.constant("answered" as const), number, fingerprints: fc.array(text) },
    { noNullPrototype: true },
  ),
  fc.record({ kind: fc.constant("query" as const), number }, { noNullPrototype: true }),
);

describe("crashMessage", () => {
  it("decodes what it encodes, and rejects truncated and extended datagrams", () => {
    fc.assert(
      fc.property(message, fc.nat(), (original, cut) => {
        const datagram = encodeCrashMessage(original);
        expect(decodeCrashMessage(datagram)).toEqual(original);
        expect(decodeCrashMessage(datagram.subarray(0, cut % datagram.length))).toEqual(undefined);
        expect(decodeCrashMessage(Buffer.concat([datagram, Buffer.from([0])]))).toEqual(undefined);
      }),
      { seed: 7, numRuns: 300 },
    );
  });

  it("never throws on arbitrary bytes", () => {
    fc.assert(
      fc.property(
        fc.uint8Array({ maxLength: 200 }),
        fc.constantFrom(0x53, 0x54, 0x55, 0x56),
        (bytes, messageType) => {
          decodeCrashMessage(Buffer.from([messageType, ...bytes]));
        },
      ),
      { seed: 7, numRuns: 500 },
    );
  });
});
