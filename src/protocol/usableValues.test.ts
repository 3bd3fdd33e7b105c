import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { sharedTraitsOf } from "../coordination/crashes/requestTraits.ts";
import { decodeCrashMessage, encodeCrashMessage } from "./forwarding/crashMessage.ts";
import { fitsMessage, shortenText } from "./usableValues.ts";

describe("values in messages between routers", () => {
  it("are shortened to texts that fit, and stay as they are where they do", () => {
    fc.assert(
      fc.property(fc.string({ unit: "binary", maxLength: 400 }), (text) => {
        const shortened = shortenText(text);
        expect(fitsMessage(shortened)).toEqual(true);
        if (fitsMessage(text)) expect(shortened).toEqual(text);
      }),
      { seed: 88, numRuns: 2_000 },
    );
  });

  it("encode traits of prompts whose parts and models callers gave long names: announcing one ended the router", () => {
    const name = "x".repeat(300);
    const traits = sharedTraitsOf({
      caller: "c",
      sharedParts: [name, `${name}y`],
      model: name,
      tokens: 1_000,
    });
    const message = { kind: "held", number: 1, traits } as const;
    expect(decodeCrashMessage(encodeCrashMessage(message))).toEqual(message);
    expect(new Set(traits.map(({ fingerprint }) => fingerprint)).size).toEqual(6);
  });
});
