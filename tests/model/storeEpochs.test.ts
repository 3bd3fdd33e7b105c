import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { expect } from "earl";
import type { Exploration } from "./explore.ts";
import { explore } from "./explore.ts";
import { createLeaseModel } from "./leaseModel.ts";
import { createReaderModel } from "./readerModel.ts";

const report = (context: TestContext, { states, counterexample }: Exploration): void => {
  context.diagnostic(`${states} states; ${counterexample?.join(", ") ?? "no violation"}`);
};

describe("the model of readers over epochs of the store", () => {
  it("finds no proof of a version while a newer one was acknowledged in the epoch", (context) => {
    const found = explore(createReaderModel("epochs"));
    report(context, found);
    expect(found.counterexample).toEqual(undefined);
  });

  it("finds one where positions are offsets alone", (context) => {
    const found = explore(createReaderModel("offsets"));
    report(context, found);
    expect(found.counterexample === undefined).toEqual(false);
  });
});

describe("the model of the lease over epochs of the store", () => {
  it("finds neither two holders nor a falling fence", (context) => {
    const found = explore(createLeaseModel({ fences: "epochs", waitsForEpoch: true }));
    report(context, found);
    expect(found.counterexample).toEqual(undefined);
  });

  for (const fences of ["offsets", "largest"] as const) {
    it(`finds a falling fence where fences are made by ${fences}`, (context) => {
      const found = explore(createLeaseModel({ fences, waitsForEpoch: true }));
      report(context, found);
      expect(found.counterexample?.at(-1)?.startsWith("an order under fence")).toEqual(true);
    });
  }

  it("finds two holders where nobody waits for the epoch before", (context) => {
    const found = explore(createLeaseModel({ fences: "epochs", waitsForEpoch: false }));
    report(context, found);
    expect(found.counterexample?.at(-1)).toEqual("two routers hold the lease");
  });
});
