import { describe, it } from "node:test";
import { expect } from "earl";
import { laterPosition, StorePosition } from "./StorePosition.ts";

describe("StorePosition", () => {
  it("compares positions of one epoch by their offsets", () => {
    const position = new StorePosition(2, 5);
    expect(position.isBefore(position.advancedBy(1))).toEqual(true);
    expect(position.isBefore(position)).toEqual(false);
    expect(position.advancedBy(3).offsetIn(2)).toEqual(8);
  });

  it("throws when compared across epochs or by an operator", () => {
    const position = new StorePosition(2, 5);
    const other = new StorePosition(3, 1);
    expect(() => position.isBefore(other)).toThrow("offset 1 of epoch 3 is not valid in epoch 2");
    expect(() => position.offsetIn(3)).toThrow("offset 5 of epoch 2 is not valid in epoch 3");
    expect(() => position < other).toThrow("cannot be compared");
    expect(() => Number(position)).toThrow("cannot be compared");
  });

  it("treats a newer epoch as later, whatever the offsets", () => {
    const old = new StorePosition(2, 50);
    const recent = new StorePosition(3, 1);
    expect(laterPosition(old, recent)).toEqual(recent);
    expect(laterPosition(recent, old)).toEqual(recent);
    expect(laterPosition(recent, recent.advancedBy(2)).offsetIn(3)).toEqual(3);
  });
});
