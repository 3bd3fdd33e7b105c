/** A router as a process, started as deployments start it. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  callHeaders,
  defaultBounds,
  hosts,
  keys,
  settingsVariable,
} from "../../standIns/platform/platformSystem.ts";
import type { StartedProcess } from "../../standIns/startProcess.ts";
import { startProcess } from "../../standIns/startProcess.ts";

/** A router's process; disposing of it ends it. */
export interface RouterProcess extends AsyncDisposable {
  readonly name: string;
  /** @returns Whether it is still running. */
  readonly isRunning: () => boolean;
  readonly kill: StartedProcess["kill"];
  readonly ended: StartedProcess["ended"];
  /** The lines of its log, as objects. */
  readonly lines: readonly Readonly<Record<string, unknown>>[];
  /** Sends a request to the plain service. @returns The status; 0 if no answer came. */
  readonly read: () => Promise<number>;
  /** Where callers connect. */
  readonly port: number;
  readonly processId: number;
}

/** How a router's process is started. */
export interface RouterProcessOptions {
  /** The module of its entry point. */
  readonly program?: URL;
  /** Settings that override the defaults. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Options of Node.js; `--enable-source-maps` by default. */
  readonly runtimeOptions?: readonly string[];
}

/** Timeout of a request, milliseconds. */
const deadline = 2_000;

let sent = 0;

const readFrom = ({ url }: StartedProcess): Promise<number> =>
  new Promise((resolve) => {
    sent += 1;
    const headers = { host: hosts.desk, ...callHeaders(`read-${sent}`, keys.known, deadline) };
    const outgoing = request(`${url}/read/thing`, { agent: false, headers }, (response) => {
      response.resume();
      response.on("close", () => resolve(response.complete ? (response.statusCode ?? 0) : 0));
    });
    outgoing.on("error", () => resolve(0));
    outgoing.end();
  });

const deployedProgram = new URL("../../platform/main.js", import.meta.url);

/** Starts a router that uses a store. */
export const startRouterProcess = async (
  name: string,
  store: string,
  {
    program = deployedProgram,
    settings = {},
    runtimeOptions = ["--enable-source-maps"],
  }: RouterProcessOptions = {},
): Promise<RouterProcess> => {
  const directory = await mkdtemp(join(tmpdir(), "pomelocleat-router-"));
  const file = join(directory, "settings.json");
  const free = "127.0.0.1:0";
  const endpoints = { callers: free, readiness: free, peers: free, metricsPort: 0, store };
  const defaults = { name, dataCentre: "here", ...endpoints, bounds: defaultBounds };
  await writeFile(file, JSON.stringify({ ...defaults, ...settings }));
  const lines: Readonly<Record<string, unknown>>[] = [];
  const started = await startProcess(program, [], {
    environment: { [settingsVariable]: file },
    onLine: (line) => lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>),
    runtimeOptions,
  });
  let isRunning = true;
  const watching = started.ended.then(() => {
    isRunning = false;
  });
  return {
    name,
    isRunning: () => isRunning,
    kill: started.kill,
    ended: started.ended,
    lines,
    read: () => readFrom(started),
    port: Number(new URL(started.url).port),
    processId: started.processId,
    [Symbol.asyncDispose]: async () => {
      await started[Symbol.asyncDispose]();
      await watching;
      await rm(directory, { recursive: true });
    },
  };
};
