#!/usr/bin/env node
/** `pomelocleat-router --settings FILE`: runs one router as a process. */
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { FileError } from "../protocol/errors.ts";
import { enableLogs } from "../state/log.ts";
import { startRouter } from "./router.ts";
import type { RouterSettings } from "./routerSettings.ts";
import { readRouterSettings } from "./routerSettings.ts";

const usage = `pomelocleat-router --settings FILE

Runs one router. FILE is JSON; docs/router-settings.schema.json describes it.
When ready it prints one JSON line with its name, URL and process id.
SIGTERM and SIGINT end it gracefully: no new work, nothing under way is cut.

Exit codes: 0 ended as asked, 2 wrong arguments or settings.
`;

const exitCodes = { ended: 0, badArguments: 2 } as const;

const readArguments = (): string | undefined => {
  try {
    const { values } = parseArgs({
      options: { settings: { type: "string" }, help: { type: "boolean", short: "h" } },
    });
    return values.help === true ? undefined : values.settings;
  } catch {
    return undefined;
  }
};

const readSettings = (file: string): RouterSettings | undefined => {
  try {
    return readRouterSettings(file);
  } catch (error) {
    if (!(error instanceof FileError)) throw error;
    process.stderr.write(`${error.message}\n`);
    return undefined;
  }
};

/** Without a listener, a second signal would end the process and cut off the requests that are being served. */
const shutdownSignal = (): Promise<void> =>
  new Promise((resolve) => {
    for (const signal of ["SIGTERM", "SIGINT"]) process.on(signal, () => resolve());
  });

const serve = async (settings: RouterSettings): Promise<void> => {
  const shutdownRequested = shutdownSignal();
  await using router = await startRouter(settings);
  const { url, peerUrl } = router;
  const ready = { kind: "router", name: settings.name, url, peerUrl, processId: process.pid };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
  await shutdownRequested;
  const limit = settings.longestDrain === undefined ? [] : [sleep(settings.longestDrain)];
  await Promise.race([router.drain(), ...limit]);
};

const main = async (): Promise<number> => {
  const file = readArguments();
  if (file === undefined) {
    process.stderr.write(usage);
    return process.argv.includes("--help") ? exitCodes.ended : exitCodes.badArguments;
  }
  const settings = readSettings(file);
  if (settings === undefined) return exitCodes.badArguments;
  enableLogs(settings.logs);
  await serve(settings);
  return exitCodes.ended;
};

process.exitCode = await main();
