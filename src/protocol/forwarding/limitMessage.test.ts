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
    unnamed: fc.option(record(span), { nil: undefined }),
    isAsked: fc.boolean(),
    patience: count,
  }),
  record({
    kind: fc.constant("answer" as const),
    number: count,
    verdict: fc.constantFrom<LimitVerdict>("granted", "refused", "elsewhere", "unlimited"),
    wait: count,
    remainingPercent: fc.nat({ max: 100 }),
  }),
);

describe("messages to and from the keepers of limits", () => {
  it("are read as they were written", () => {
    fc.assert(
      fc.property(message, (written) => {
        expect(decodeLimitMessage(encodeLimitMessage(written))).toEqual(written);
      }),
      { seed: 7, numRuns: 300 },
    );
  });

  it("are nothing once cut off or lengthened, wherever", () => {
    fc.assert(
      fc.property(message, fc.nat(), (written, point) => {
        const datagram = encodeLimitMessage(written);
        expect(decodeLimitMessage(datagram.subarray(0, point % datagram.length))).toEqual(undefined);
        expect(decodeLimitMessage(Buffer.concat([datagram, Buffer.from([0])]))).toEqual(undefined);
      }),
      { seed: 7, numRuns: 300 },
    );
  });
});
