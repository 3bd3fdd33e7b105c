import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { decodeBackoffMessage, encodeBackoffMessage } from "./backoffMessage.ts";
import { replicaKeyOf } from "./peerMessage.ts";

describe("the message about backoff", () => {
  it("carries any number of replicas", () => {
    for (const ids of [[], ["a"], ["a", "b", "c"]]) {
      const keys = ids.map(replicaKeyOf);
      expect(decodeBackoffMessage(encodeBackoffMessage(keys))).toEqual(keys);
    }
  });

  it("is none where bytes are cut off, added or of another kind", () => {
    const whole = encodeBackoffMessage([replicaKeyOf("a")]);
    expect(decodeBackoffMessage(whole.subarray(0, 4))).toEqual(undefined);
    expect(decodeBackoffMessage(Buffer.concat([whole, Buffer.of(1)]))).toEqual(undefined);
    expect(decodeBackoffMessage(Buffer.alloc(0))).toEqual(undefined);
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 60 }), (bytes) => {
        decodeBackoffMessage(Buffer.from([0x61, ...bytes]));
      }),
    );
  });
});
