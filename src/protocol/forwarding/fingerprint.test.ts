import { describe, it } from "node:test";
import { expect } from "earl";
import { fingerprintOf } from "./fingerprint.ts";
import type { FingerprintedFields } from "./fingerprint.ts";

const asked: FingerprintedFields = {
  method: "POST",
  host: "model.example",
  target: "/tag/2f",
  key: "key-one",
  body: Buffer.from("is it current?"),
};

describe("the fingerprint of a request", () => {
  it("is the same whenever the same is asked, whatever the id", () => {
    expect(fingerprintOf({ ...asked, body: Buffer.from("is it current?") })).toEqual(fingerprintOf(asked));
    expect(fingerprintOf(asked).length).toEqual(16);
  });

  it("is another one for another method, host, path, caller or body", () => {
    const others: readonly Partial<FingerprintedFields>[] = [
      { method: "PUT" },
      { host: "desk.example" },
      { target: "/tag/2f?again" },
      { key: "key-two" },
      { key: undefined },
      { body: Buffer.from("is it current!") },
      // Where one text ends and the next begins counts.
      { host: "model.example/tag", target: "/2f" },
      { key: "key-oneis it current?", body: Buffer.alloc(0) },
    ];
    const all = [asked, ...others.map((fields) => ({ ...asked, ...fields }))].map(fingerprintOf);
    expect(new Set(all).size).toEqual(all.length);
  });
});
