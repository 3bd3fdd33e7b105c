import { describe, it } from "node:test";
import { expect } from "earl";
import { summariseCrashes } from "./crashSummary.ts";
import { readLogLines } from "./logLines.ts";

const at = (second: number): string => new Date(1_764_806_400_000 + second * 1_000).toISOString();

const crashed = (second: number, router: string, replica: string, fields: Record<string, unknown>): string =>
  JSON.stringify({ at: at(second), part: "replicas", event: "crashed", router, replica, ...fields });

describe("the crashes in the logs of routers", () => {
  it("are summed over routers for each trait in flight, each replica once", () => {
    const { lines } = readLogLines(
      [
        crashed(3, "r2", "a", { requests: "f1 f2", traits: "part:p part:q", begun: 1 }),
        crashed(3, "r1", "a", { requests: "f3", traits: "part:p", begun: 0 }),
        crashed(1, "r1", "b", { requests: "f4", traits: "part:p", begun: 0 }),
        JSON.stringify({ at: at(2), part: "replicas", event: "ejected", router: "r1", replica: "c" }),
      ].join("\n"),
    );
    const { crashes, begun, traits } = summariseCrashes(lines);
    expect([crashes, begun]).toEqual([2, 1]);
    expect(traits[0]).toEqual({ trait: "part:p", replicas: 2, routers: 2, first: at(1), last: at(3) });
    expect(traits.slice(1).map(({ trait, replicas }) => [trait, replicas])).toEqual([
      ["part:q", 1],
      ["content:f1", 1],
      ["content:f2", 1],
      ["content:f3", 1],
      ["content:f4", 1],
    ]);
  });

  it("of engines count each incarnation", () => {
    const line = (incarnation: string): string =>
      JSON.stringify({ at: at(1), part: "engines", event: "crashed", router: "r", engine: "e", incarnation });
    expect(summariseCrashes(readLogLines([line("1"), line("2")].join("\n")).lines).crashes).toEqual(2);
  });
});
