import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { expect } from "earl";
import type { ExplorationResult } from "./explore.ts";
import { explore } from "./explore.ts";
import { createLeaseModel } from "./leaseModel.ts";
import { createReaderModel } from "./readerModel.ts";

const report = (context: TestContext, { states, counterexample }: ExplorationResult): void => {
  context.diagnostic(`${states} states; ${counterexample?.join(", ") ?? "no violation"}`);
};

describe("the model of readers over epochs of the store", () => {
  it("finds no proof of an old version after a newer one was acknowledged in the same epoch", (context) => {
    const found = explore(createReaderModel("epochs"));
    report(context, found);
    expect(found.counterexample).toEqual(undefined);
  });

  it("finds a proof of an old version if positions are offsets alone", (context) => {
    const found = explore(createReaderModel("offsets"));
    report(context, found);
    expect(found.counterexample === undefined).toEqual(false);
  });
});

describe("the model of the lease over epochs of the store", () => {
  it("finds neither two holders nor a decreasing fence", (context) => {
    const found = explore(createLeaseModel({ fences: "epochs", waitsForPreviousEpoch: true }));
    report(context, found);
    expect(found.counterexample).toEqual(undefined);
  });

  for (const fences of ["offsets", "largest"] as const) {
    it(`finds a decreasing fence if fences are computed by ${fences}`, (context) => {
      const found = explore(createLeaseModel({ fences, waitsForPreviousEpoch: true }));
      report(context, found);
      expect(found.counterexample?.at(-1)?.startsWith("an order under fence")).toEqual(true);
    });
  }

  it("finds two holders if routers do not wait for leases of the previous epoch to expire", (context) => {
    const found = explore(createLeaseModel({ fences: "epochs", waitsForPreviousEpoch: false }));
    report(context, found);
    expect(found.counterexample?.at(-1)).toEqual("two routers hold the lease");
  });
});
