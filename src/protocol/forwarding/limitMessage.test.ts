import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import type { LimitMessage, LimitVerdict } from "./limitMessage.ts";
import { decodeLimitMessage, encodeLimitMessage } from "./limitMessage.ts";

const record = <T extends object>(model: { [K in keyof T]: fc.Arbitrary<T[K]> }): fc.Arbitrary<T> =>
  fc.record<T>(model, { noNullPrototype: true });

const count = fc.nat({ max: 2 ** 40 });
const name = fc.string({ maxLength: 20 });
const span = { askedAge: count, receivedAge: count };

const message: fc.Arbitrary<LimitMessage> = fc.oneof(
  record({
    kind: fc.constant("question" as const),
    number: count,
    organisation: name,
    amount: count,
    spent: count,
    returned: count,
  }),
  record({
    kind: fc.constant("replicaQuestion" as const),
    number: count,
    replica: name,
    reportedLimit: record({ perThousandSeconds: count, ...span }),
    limitRemovedAt: fc.option(record(span), { nil: undefined }),
    wantsGrant: fc.boolean(),
    timeout: count,
  }),
  record({
    kind: fc.constant("answer" as const),
    number: count,
    verdict: fc.constantFrom<LimitVerdict>("granted", "refused", "elsewhere", "unlimited"),
    wait: count,
    remainingPercent: fc.nat({ max: 100 }),
  }),
);

describe("limitMessage", () => {
  it("decodes what it encodes", () => {
    fc.assert(
      fc.property(message, (original) => {
        expect(decodeLimitMessage(encodeLimitMessage(original))).toEqual(original);
      }),
      { seed: 7, numRuns: 300 },
    );
  });

  it("rejects datagrams truncated at any byte or extended", () => {
    fc.assert(
      fc.property(message, fc.nat(), (original, cut) => {
        const datagram = encodeLimitMessage(original);
        expect(decodeLimitMessage(datagram.subarray(0, cut % datagram.length))).toEqual(undefined);
        expect(decodeLimitMessage(Buffer.concat([datagram, Buffer.from([0])]))).toEqual(undefined);
      }),
      { seed: 7, numRuns: 300 },
    );
  });
});
