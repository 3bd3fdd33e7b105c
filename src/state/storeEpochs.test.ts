import { describe, it } from "node:test";
import { expect } from "earl";
import { createStoreEpochs } from "./storeEpochs.ts";

const createTrial = () => {
  const epochs = createStoreEpochs();
  const changes: string[] = [];
  epochs.subscribe(({ from, to }) => changes.push(`${from} to ${to}`));
  return { epochs, changes };
};

describe("the epochs of the store", () => {
  it("are no change with the first answer", () => {
    const { epochs, changes } = createTrial();
    expect(epochs.observe(7)).toEqual(7);
    expect(epochs.current()).toEqual(7);
    expect(changes).toEqual([]);
  });

  it("rise once, by one or by more", () => {
    const { epochs, changes } = createTrial();
    [1, 2, 2, 5].forEach(epochs.observe);
    expect(changes).toEqual(["1 to 2", "2 to 5"]);
  });

  it("don't fall with an answer of an earlier epoch, whose epoch is returned", () => {
    const { epochs, changes } = createTrial();
    [1, 3].forEach(epochs.observe);
    expect(epochs.observe(2)).toEqual(2);
    expect(epochs.current()).toEqual(3);
    expect(changes).toEqual(["1 to 3"]);
  });

  it("stay as they are with an answer that names none", () => {
    const { epochs, changes } = createTrial();
    epochs.observe(4);
    expect(epochs.observe(undefined)).toEqual(4);
    expect(changes).toEqual([]);
  });

  it("rise where a store names its first epoch after answers without one", () => {
    const { epochs, changes } = createTrial();
    epochs.observe(undefined);
    epochs.observe(1);
    expect(changes).toEqual(["0 to 1"]);
  });
});
