/** `npm run demo -- --platform`: plays a short session against routers that proxy requests to the platform's stand-in. */
import {
  sendRequest,
  hosts,
  keys,
  defaultPromptHeaders,
  startPlatformSystem,
  waitUntil,
} from "../standIns/platform/platformSystem.ts";
import type { CallerAnswer, RequestOptions } from "../standIns/platform/platformSystem.ts";

interface Step {
  readonly title: string;
  readonly expected: number;
  readonly request: RequestOptions;
}

const summarise = { host: hosts.model, path: "/ask/summary", headers: defaultPromptHeaders() } as const;

const steps: readonly Step[] = [
  { title: "a look-up", expected: 200, request: { host: hosts.desk, path: "/read/1", method: "GET" } },
  {
    title: "a sign-off that runs once",
    expected: 200,
    request: { host: hosts.desk, path: "/post/1", body: "ok" },
  },
  { title: "a summary, streamed", expected: 200, request: { ...summarise, body: "summarise" } },
  { title: "the same by a rival kept apart", expected: 200, request: { ...summarise, key: keys.isolated } },
  { title: "a key that nobody holds", expected: 401, request: { ...summarise, key: "nobody" } },
  { title: "a path without a route", expected: 404, request: { host: hosts.desk, path: "/nowhere/" } },
];

const columns = { title: 34, status: 8 } as const;

const printRow = (title: string, status: string, rest: string): void => {
  process.stdout.write(`${title.padEnd(columns.title)}${status.padEnd(columns.status)}${rest}\n`);
};

const firstLine = ({ body }: CallerAnswer): string => body.split("\n").slice(0, 2).join(" ").slice(0, 60);

/**
 * Plays the session, then announces new weights and waits until every engine has them. Prints a table of the results.
 *
 * @returns Whether every answer had the expected status.
 */
export const playPlatformDemo = async (): Promise<boolean> => {
  await using system = await startPlatformSystem({ engines: 3 });
  const second = await system.startRouter();
  printRow("request", "status", "answer");
  let isAsExpected = true;
  for (const [index, { title, expected, request }] of steps.entries()) {
    const answer = await sendRequest(index % 2 === 0 ? system.router : second, request);
    printRow(title, String(answer.status), firstLine(answer));
    isAsExpected &&= answer.status === expected;
  }
  system.publishWeightsVersion(2);
  await waitUntil(() => system.engines.every((engine) => engine.version() === 2));
  const orders = system.engines.flatMap((engine) => engine.orders);
  printRow(
    "new weights named",
    "",
    `${orders.length} engines ordered by ${orders[0]?.holder.split("/")[0] ?? "?"}`,
  );
  return isAsExpected;
};
