/**
 * `npm run bench -- restart`: time from the start of router processes to their first answer, with the log
 * service up and down, for one router, for several at once, and for a cold start without live peers.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { demoKey, operatorKey, startSystem } from "../demo/processes.ts";
import type { System, SystemProcess } from "../demo/processes.ts";
import { headers } from "../src/protocol/constants.ts";
import type { Row } from "./report/table.ts";
import { formatMilliseconds, formatTable } from "./report/table.ts";
import type { Bench } from "./types.ts";

const dataCentre = "amman-north";
const routerCount = 4;
const pollInterval = 5;
const maxPolls = 600;

/** Result of restarting one or more routers. */
interface Restart {
  readonly name: string;
  /** Milliseconds from the start of the processes to the first answer of each router that answered. */
  readonly firstAnswers: readonly number[];
  /** Outcome of the first request to each router: `200`, or the status and outcome of a refusal. */
  readonly firstStatuses: readonly string[];
}

const sendRequest = async ({ process }: SystemProcess): Promise<string> => {
  const answer = await fetch(`${process.url}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${demoKey("petra-wings")}`, "content-type": "application/json" },
    body: JSON.stringify({
      model: "records-assistant",
      max_tokens: 1,
      messages: [{ role: "user", content: "Is badge 7 current?" }],
    }),
  });
  await answer.text();
  return answer.ok ? "200" : `${answer.status} ${answer.headers.get(headers.outcome) ?? ""}`;
};

interface FirstAnswer {
  readonly status: string;
  readonly answeredAfter: number | undefined;
}

/** Sends requests until one succeeds or the number of polls is exhausted. */
const waitForAnswer = async (
  router: SystemProcess,
  startedAt: number,
  polls: number,
): Promise<FirstAnswer> => {
  const status = await sendRequest(router);
  let last = status;
  for (let poll = 0; last !== "200" && poll < polls; poll += 1) {
    await sleep(pollInterval);
    last = await sendRequest(router);
  }
  return { status, answeredAfter: last === "200" ? performance.now() - startedAt : undefined };
};

const setOutage = async (system: System, outage: boolean): Promise<void> => {
  await fetch(`${system.logService.url}/stand-in/faults`, {
    method: "POST",
    body: JSON.stringify({ outage }),
  });
};

const knowsPeers = async ({ process }: SystemProcess, count: number): Promise<boolean> => {
  const answer = await fetch(`${process.url}/operator/dump`, {
    headers: { authorization: `Bearer ${operatorKey}` },
  });
  const dump = (await answer.json()) as { readonly membership: { readonly livePeers: readonly string[] } };
  return dump.membership.livePeers.length === count;
};

const waitForPeers = async (system: System): Promise<void> => {
  for (const router of system.routers()) {
    while (!(await knowsPeers(router, routerCount))) await sleep(pollInterval);
  }
};

/** Kills routers and starts them again, all at once. */
const restart = async (system: System, name: string, names: readonly string[], polls = maxPolls) => {
  const killed = system.routers().filter((router) => names.includes(router.name));
  for (const { process } of killed) process.kill("SIGKILL");
  await Promise.all(killed.map(({ process }) => process.ended));
  const startedAt = performance.now();
  const answers = await Promise.all(
    names.map(async (router) =>
      waitForAnswer(await system.startRouter(router, dataCentre), startedAt, polls),
    ),
  );
  const firstAnswers = answers.flatMap(({ answeredAfter }) => answeredAfter ?? []);
  return { name, firstAnswers, firstStatuses: answers.map(({ status }) => status) } satisfies Restart;
};

/** Measures the time until every router answers after the log service has recovered. */
const measureRecovery = async (system: System): Promise<Restart> => {
  const startedAt = performance.now();
  await setOutage(system, false);
  const answers = await Promise.all(
    system.routers().map((router) => waitForAnswer(router, startedAt, maxPolls)),
  );
  return {
    name: "… from the log's return to an answer",
    firstAnswers: answers.flatMap(({ answeredAfter }) => answeredAfter ?? []),
    firstStatuses: answers.map(({ status }) => status),
  };
};

const measureOnce = async (): Promise<readonly Restart[]> => {
  const results: Restart[] = [];
  await using system = await startSystem({
    configurationFile: "examples/demo.json",
    routers: Array.from({ length: routerCount }, () => dataCentre),
  });
  const names = system.routers().map((router) => router.name);
  const [first = "", ...others] = names;
  const waitUntilSettled = (): Promise<void> => waitForPeers(system);
  await waitUntilSettled();
  results.push(await restart(system, "one of four, log up", [first]));
  await waitUntilSettled();
  await setOutage(system, true);
  results.push(await restart(system, "one of four, log down", [first]));
  await waitUntilSettled();
  results.push(await restart(system, "three of four, log down", others));
  await setOutage(system, false);
  await waitUntilSettled();
  results.push(await restart(system, "all four (cold start), log up", names));
  await waitUntilSettled();
  await setOutage(system, true);
  results.push(await restart(system, "all four (cold start), log down", names, 0));
  results.push(await measureRecovery(system));
  return results;
};

const heading: Row = ["restart", "runs", "median ms", "slowest ms", "first requests answered", "refused as"];

const median = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? Number.NaN;

const rowOf = (name: string, runs: readonly Restart[]): Row => {
  const times = runs.flatMap((run) => run.firstAnswers);
  const statuses = runs.flatMap((run) => run.firstStatuses);
  const refused = [...new Set(statuses.filter((status) => status !== "200"))];
  return [
    name,
    runs.length.toFixed(0),
    times.length === 0 ? "-" : formatMilliseconds(median(times)),
    times.length === 0 ? "-" : formatMilliseconds(Math.max(...times)),
    `${statuses.filter((status) => status === "200").length}/${statuses.length}`,
    refused.length === 0 ? "-" : refused.join(", "),
  ];
};

const run: Bench["run"] = async ({ json, seeds, quick }) => {
  const runs: Restart[] = [];
  const count = quick ? 1 : seeds.length;
  for (let index = 0; index < count; index += 1) runs.push(...(await measureOnce()));
  if (json) {
    console.log(JSON.stringify(runs, undefined, 2));
    return;
  }
  const names = [...new Set(runs.map(({ name }) => name))];
  console.log(
    formatTable([
      heading,
      ...names.map((name) =>
        rowOf(
          name,
          runs.filter((item) => item.name === name),
        ),
      ),
    ]),
  );
};

/** Time from process start to the first answer. */
export const restartBench: Bench = {
  name: "restart",
  summary: "process start to first answer: log up and down, alone and all at once",
  run,
};
