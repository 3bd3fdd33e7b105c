import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { decodeBackoffMessage, encodeBackoffMessage } from "./backoffMessage.ts";
import { replicaKeyOf } from "./peerMessage.ts";

describe("backoffMessage", () => {
  it("round-trips any number of replicas", () => {
    for (const ids of [[], ["a"], ["a", "b", "c"]]) {
      const keys = ids.map(replicaKeyOf);
      expect(decodeBackoffMessage(encodeBackoffMessage(keys))).toEqual(keys);
    }
  });

  it("rejects truncated, extended and unrelated datagrams without throwing", () => {
    const datagram = encodeBackoffMessage([replicaKeyOf("a")]);
    expect(decodeBackoffMessage(datagram.subarray(0, 4))).toEqual(undefined);
    expect(decodeBackoffMessage(Buffer.concat([datagram, Buffer.of(1)]))).toEqual(undefined);
    expect(decodeBackoffMessage(Buffer.alloc(0))).toEqual(undefined);
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 60 }), (bytes) => {
        decodeBackoffMessage(Buffer.from([0x61, ...bytes]));
      }),
    );
  });
});
