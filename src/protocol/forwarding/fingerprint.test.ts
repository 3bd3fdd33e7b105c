import { describe, it } from "node:test";
import { expect } from "earl";
import { fingerprintOf } from "./fingerprint.ts";
import type { FingerprintedFields } from "./fingerprint.ts";

const request: FingerprintedFields = {
  method: "POST",
  host: "model.example",
  target: "/tag/2f",
  key: "key-one",
  body: Buffer.from("is it current?"),
};

describe("fingerprintOf", () => {
  it("returns the same fingerprint for equal requests", () => {
    expect(fingerprintOf({ ...request, body: Buffer.from("is it current?") })).toEqual(
      fingerprintOf(request),
    );
    expect(fingerprintOf(request).length).toEqual(16);
  });

  it("differs by method, host, target, caller key and body", () => {
    const others: readonly Partial<FingerprintedFields>[] = [
      { method: "PUT" },
      { host: "desk.example" },
      { target: "/tag/2f?again" },
      { key: "key-two" },
      { key: undefined },
      { body: Buffer.from("is it current!") },
      // The same bytes, split differently between the fields.
      { host: "model.example/tag", target: "/2f" },
      { key: "key-oneis it current?", body: Buffer.alloc(0) },
    ];
    const all = [request, ...others.map((fields) => ({ ...request, ...fields }))].map(fingerprintOf);
    expect(new Set(all).size).toEqual(all.length);
  });
});
