/** `npm run demo [-- --serve | --json | --platform]`: runs the whole system on one machine and plays a session of each deployment. */
import { parseArgs } from "node:util";
import { playPlatformDemo } from "./platform.ts";
import { playSession } from "./playSession.ts";
import type { StepResult } from "./playSession.ts";
import { demoKey, operatorKey, startSystem } from "./processes.ts";
import type { System, SystemProcess } from "./processes.ts";
import { levantSession, trinacriaSession } from "./sessions.ts";

const configurationFile = "examples/demo.json";
const routerDataCentres = ["amman-north", "amman-north", "catania-a"] as const;

type Row = readonly string[];

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const printTable = (rows: readonly Row[]): void => {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
  for (const row of rows) {
    print(
      row
        .map((text, column) => text.padEnd(widths[column] ?? 0))
        .join("  ")
        .trimEnd(),
    );
  }
};

const cell = (value: number | undefined, digits = 0): string =>
  value === undefined ? "-" : value.toFixed(digits);

const resultRows = (results: readonly StepResult[]): readonly Row[] => [
  ["router", "organisation", "class", "upstream", "prompt", "cached", "TTFT ms", "outcome"],
  ...results.map((result) => [
    result.router,
    result.organisation,
    result.requestClass,
    result.upstream,
    cell(result.promptTokens),
    cell(result.cachedTokens),
    cell(result.timeToFirstToken, 1),
    result.outcome,
  ]),
];

const describeProcess = ({ kind, name, dataCentre, process: { url, processId } }: SystemProcess) => ({
  kind,
  name,
  dataCentre,
  url,
  processId,
});

/** @returns The description of the system that `--json` prints. */
const describeSystem = (system: System): object => ({
  routers: system.routers().map(describeProcess),
  organisations: system.configuration.organisations.map(({ name, deployment }) => ({
    name,
    key: demoKey(name),
    deployment,
  })),
  operatorKey,
  configuration: { file: configurationFile },
  standIns: system
    .processes()
    .filter(({ kind }) => kind !== "router")
    .map(describeProcess),
});

const printGuide = (system: System): void => {
  const url = system.routers()[0]?.process.url ?? "";
  const key = `-H 'Authorization: Bearer ${demoKey("petra-wings")}'`;
  const question =
    '{"model":"records-assistant","stream":true,"messages":[{"role":"user","content":"Is attendant 17 current?"}]}';
  printTable([
    ["kind", "name", "data centre", "url"],
    ...system.processes().map((item) => [item.kind, item.name, item.dataCentre, item.process.url]),
  ]);
  print("");
  printTable([
    ["organisation", "deployment", "API key"],
    ...system.configuration.organisations.map(({ name, deployment }) => [name, deployment, demoKey(name)]),
  ]);
  print(`\nOperators' key: ${operatorKey}\n\nTry:`);
  print(`  curl ${url}/v1/models ${key}`);
  print(`  curl -N ${url}/v1/chat/completions ${key} -d '${question}'`);
  print(`  curl ${url}/operator/dump -H 'Authorization: Bearer ${operatorKey}'`);
  print("\nThe stand-ins' fault switches are described in docs/STAND-INS.md. Ctrl-C ends all of it.");
};

const waitForSignal = (): Promise<void> =>
  new Promise((resolve) => {
    process.once("SIGINT", () => resolve());
    process.once("SIGTERM", () => resolve());
  });

const playSessions = async (system: System): Promise<boolean> => {
  const results = [
    ...(await playSession(system, levantSession)),
    ...(await playSession(system, trinacriaSession)),
  ];
  printTable(resultRows(results));
  return results.every((result) => result.outcome === "complete");
};

const main = async (): Promise<number> => {
  const flag = { type: "boolean" } as const;
  const { values } = parseArgs({ options: { serve: flag, json: flag, platform: flag } });
  if (values.platform === true) return (await playPlatformDemo()) ? 0 : 1;
  const interrupted = waitForSignal();
  await using system = await startSystem({ configurationFile, routers: routerDataCentres });
  if (values.json === true) print(JSON.stringify(describeSystem(system)));
  else if (values.serve === true) printGuide(system);
  else return (await playSessions(system)) ? 0 : 1;
  await interrupted;
  return 0;
};

process.exitCode = await main();
