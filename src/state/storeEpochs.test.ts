import { describe, it } from "node:test";
import { expect } from "earl";
import { createStoreEpochs } from "./storeEpochs.ts";

const createTracker = () => {
  const epochs = createStoreEpochs();
  const changes: string[] = [];
  epochs.subscribe(({ from, to }) => changes.push(`${from} to ${to}`));
  return { epochs, changes };
};

describe("createStoreEpochs", () => {
  it("does not report the first epoch as a change", () => {
    const { epochs, changes } = createTracker();
    expect(epochs.observe(7)).toEqual(7);
    expect(epochs.current()).toEqual(7);
    expect(changes).toEqual([]);
  });

  it("reports each rise once, also by more than one", () => {
    const { epochs, changes } = createTracker();
    [1, 2, 2, 5].forEach(epochs.observe);
    expect(changes).toEqual(["1 to 2", "2 to 5"]);
  });

  it("returns the epoch of a late response without lowering the current one", () => {
    const { epochs, changes } = createTracker();
    [1, 3].forEach(epochs.observe);
    expect(epochs.observe(2)).toEqual(2);
    expect(epochs.current()).toEqual(3);
    expect(changes).toEqual(["1 to 3"]);
  });

  it("keeps the epoch after a response that names none", () => {
    const { epochs, changes } = createTracker();
    epochs.observe(4);
    expect(epochs.observe(undefined)).toEqual(4);
    expect(changes).toEqual([]);
  });

  it("reports a rise when a store names its first epoch after responses without one", () => {
    const { epochs, changes } = createTracker();
    epochs.observe(undefined);
    epochs.observe(1);
    expect(changes).toEqual(["0 to 1"]);
  });
});
