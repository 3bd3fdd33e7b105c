import { describe, it } from "node:test";
import { expect } from "earl";
import { createHeldReads } from "./heldReads.ts";

const held = { askedAt: 1_000, answeredAt: 1_361, wait: 360, isEmpty: true };

describe("held reads", () => {
  it("prove that nothing was written until the store stopped holding them", () => {
    expect(createHeldReads("test").knownUntil(held)).toEqual(1_355);
  });

  // The answer may have been decided long before it arrived.
  it("prove no more than that time if the answer arrives late", () => {
    expect(createHeldReads("test").knownUntil({ ...held, answeredAt: 9_000 })).toEqual(1_355);
  });

  it("count from when they were sent if they found something, or were not held", () => {
    const { knownUntil } = createHeldReads("test");
    expect(knownUntil({ ...held, isEmpty: false })).toEqual(1_000);
    expect(knownUntil({ ...held, wait: 0 })).toEqual(1_000);
  });

  it("count from when they were sent, from the first on that the store held too short", () => {
    const { knownUntil } = createHeldReads("test");
    expect(knownUntil({ ...held, answeredAt: 1_200 })).toEqual(1_000);
    expect(knownUntil(held)).toEqual(1_000);
  });
});
