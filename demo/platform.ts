/** `npm run demo -- --platform`: routers that pass requests on, before the platform's stand-in, and a short session. */
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
  readonly given: RequestOptions;
}

const summarise = { host: hosts.model, path: "/ask/summary", headers: defaultPromptHeaders() } as const;

const steps: readonly Step[] = [
  { title: "a look-up", expected: 200, given: { host: hosts.desk, path: "/read/1", method: "GET" } },
  {
    title: "a sign-off that runs once",
    expected: 200,
    given: { host: hosts.desk, path: "/post/1", body: "ok" },
  },
  { title: "a summary, streamed", expected: 200, given: { ...summarise, body: "summarise" } },
  { title: "the same by a rival kept apart", expected: 200, given: { ...summarise, key: keys.isolated } },
  { title: "a key that nobody holds", expected: 401, given: { ...summarise, key: "nobody" } },
  { title: "a path without a route", expected: 404, given: { host: hosts.desk, path: "/nowhere/" } },
];

const columns = { title: 34, status: 8 } as const;

const printRow = (title: string, status: string, rest: string): void => {
  process.stdout.write(`${title.padEnd(columns.title)}${status.padEnd(columns.status)}${rest}\n`);
};

const firstLine = ({ body }: CallerAnswer): string => body.split("\n").slice(0, 2).join(" ").slice(0, 60);

/** @returns Whether everything came out as it should. */
export const playPlatformDemo = async (): Promise<boolean> => {
  await using system = await startPlatformSystem({ engines: 3 });
  const second = await system.startRouter();
  printRow("request", "status", "answer");
  let isAsExpected = true;
  for (const [index, { title, expected, given }] of steps.entries()) {
    const answer = await sendRequest(index % 2 === 0 ? system.router : second, given);
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
