import { describe, it } from "node:test";
import { expect } from "earl";
import { replaceSection } from "./page.ts";

describe("replaceSection", () => {
  it("adds a section at the end, and replaces it alone the next time", () => {
    const first = replaceSection("# Page\n", "a", "one");
    expect(first).toEqual("# Page\n\n<!-- begin a -->\none\n<!-- end a -->\n");
    const both = replaceSection(`${first}\nkept\n`, "b", "other");
    expect(replaceSection(both, "a", "two")).toEqual(both.replace("one", "two"));
  });
});
