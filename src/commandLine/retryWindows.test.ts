import { describe, it } from "node:test";
import { expect } from "earl";
import { readLogLines } from "./logLines.ts";
import { summariseRetries } from "./retryWindows.ts";

const at = (second: number): string => new Date(1_764_806_400_000 + second * 1_000).toISOString();

const line = (second: number, router: string, fields: Readonly<Record<string, unknown>>): string =>
  JSON.stringify({ at: at(second), part: "requests", router, ...fields });

const granted = (second: number, router: string, service: string, request: string, requests: number) =>
  line(second, router, { event: "retry_granted", request, service, requests, retries: 1 });

const served = (second: number, router: string, request: string, sends: number): string =>
  line(second, router, { event: "served", request, sends });

const summaryOf = (lines: readonly string[]) => summariseRetries(readLogLines(lines.join("\n")).lines, 10);

describe("the retries in the logs of routers", () => {
  it("are summed over routers for the fullest window of each service", () => {
    const { windows } = summaryOf([
      granted(12, "a", "desk", "1", 20),
      granted(1, "a", "desk", "2", 10),
      granted(13, "b", "desk", "3", 30),
      granted(21.5, "a", "desk", "4", 25),
      granted(22.5, "a", "desk", "5", 26),
      granted(5, "a", "engines", "6", 4),
    ]);
    expect(windows).toEqual([
      {
        service: "desk",
        from: at(12),
        retries: 3,
        requests: 55,
        routers: [
          { router: "a", retries: 2 },
          { router: "b", retries: 1 },
        ],
      },
      { service: "engines", from: at(5), retries: 1, requests: 4, routers: [{ router: "a", retries: 1 }] },
    ]);
  });

  it("name requests that were sent more often than retries were granted, over all routers", () => {
    const { uncounted } = summaryOf([
      granted(1, "a", "desk", "1", 10),
      served(2, "a", "1", 2),
      served(2, "a", "2", 1),
      served(2, "b", "2", 1),
    ]);
    expect(uncounted).toEqual(["2"]);
  });
});
