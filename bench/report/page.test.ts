import { describe, it } from "node:test";
import { expect } from "earl";
import { replaceSection } from "./page.ts";

describe("replaceSection", () => {
  it("appends a new section, and replaces only that section afterwards", () => {
    const first = replaceSection("# Page\n", "a", "one");
    expect(first).toEqual("# Page\n\n<!-- begin a -->\none\n<!-- end a -->\n");
    const both = replaceSection(`${first}\nkept\n`, "b", "other");
    expect(replaceSection(both, "a", "two")).toEqual(both.replace("one", "two"));
  });
});
