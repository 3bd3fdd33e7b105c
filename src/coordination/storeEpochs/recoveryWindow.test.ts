import { describe, it } from "node:test";
import { expect } from "earl";
import { createStoreEpochs } from "../../state/storeEpochs.ts";
import { createManualClock } from "../manualClock.ts";
import { joinTimeout } from "./constants.ts";
import { createRecoveryWindow } from "./recoveryWindow.ts";

const create = () => {
  const clock = createManualClock(1_000);
  const epochs = createStoreEpochs();
  epochs.observe(1);
  const window = createRecoveryWindow(epochs, clock, { keyRevocation: 5_000 });
  return { clock, epochs, window };
};

describe("the recovery window after a return of the store", () => {
  it("keeps earlier proofs valid, and allows new ones after its end", () => {
    const { clock, epochs, window } = create();
    window.noteContact();
    clock.advanceTo(9_000);
    epochs.observe(2);
    expect([8_999, 9_000, 10_499, 10_500].map(window.allowsProof)).toEqual([true, false, false, true]);
    expect(window.remaining()).toEqual(1_500);
  });

  it("extends from the first of two returns to its full duration after the second", () => {
    const { clock, epochs, window } = create();
    window.noteContact();
    clock.advanceTo(9_000);
    epochs.observe(2);
    clock.advanceTo(10_000);
    epochs.observe(3);
    expect([8_999, 9_500, 11_499, 11_500].map(window.allowsProof)).toEqual([true, false, false, true]);
  });

  // Guards against two routers that extend one another's window forever.
  it("is not passed on by a router that knows of it from a peer", () => {
    const { window } = create();
    window.extend(800);
    window.noteContact();
    expect([1_000, 1_799, 1_800].map(window.allowsProof)).toEqual([false, false, true]);
    expect(window.remaining()).toEqual(0);
  });

  it("is not reopened by a peer that reaches the store long after the others", () => {
    const { clock, epochs, window } = create();
    window.noteContact();
    clock.advanceTo(9_000);
    epochs.observe(2);
    clock.advanceTo(60_000);
    window.extend(2_000);
    expect(window.allowsProof(59_000)).toEqual(true);
  });

  it("denies proofs to a starting router until a peer was in contact, but not beyond the timeout", () => {
    const { clock, window } = create();
    expect(window.allowsProof(1_000)).toEqual(false);
    clock.advanceTo(1_000 + joinTimeout);
    expect(window.allowsProof(1_000)).toEqual(true);
  });
});
