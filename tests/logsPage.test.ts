import { readdirSync, readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { expect } from "earl";

const sources = readdirSync("src", { recursive: true, encoding: "utf8" }).filter(
  (file) => file.endsWith(".ts") && !file.endsWith(".test.ts"),
);

/** @returns The event names that a call of the logger may write: the string literals before its fields. */
const findEventNames = (call: string): readonly string[] =>
  [
    ...call
      .split("{", 1)
      .join()
      .matchAll(/"(\w+)"/g),
  ].map(([, event = ""]) => event);

/** @returns Each log line whose event name is a literal in the sources, as `part event`. */
const findWrittenLines = (): ReadonlySet<string> => {
  const found = new Set<string>();
  for (const file of sources) {
    const text = readFileSync(`src/${file}`, "utf8");
    const part = /createLogger\("(\w+)"\)/.exec(text)?.[1];
    if (part === undefined) continue;
    for (const [, call = ""] of text.matchAll(/writeLog\(([^;]*);/g)) {
      for (const event of findEventNames(call)) found.add(`${part} ${event}`);
    }
  }
  return found;
};

/** Lines whose event name is computed: the outcomes of requests. */
const computedLines = ["served", "failed_there", "failed", "stream_broken", "stream_left"].map(
  (outcome) => `requests ${outcome}`,
);

const readListedLines = (): ReadonlySet<string> => {
  const rows = readFileSync("docs/LOGS.md", "utf8").matchAll(/^\| `(\w+)` \| `(\w+)` \|/gm);
  return new Set([...rows].map(([, part = "", event = ""]) => `${part} ${event}`));
};

describe("docs/LOGS.md", () => {
  it("lists exactly the log lines that the sources write", () => {
    const expected = [...findWrittenLines(), ...computedLines].sort();
    expect([...readListedLines()].sort()).toEqual(expected);
  });
});
