/**
 * A small deployment on loopback addresses: the platform's store and replicas as stand-ins in this process, and routers
 * as separate processes, started with the deploy file's command and restarted as the platform does when they end.
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

/** The repository's root; this module runs from build/review/support. */
const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..", "..");

/** How soon the platform starts a process again that has ended, milliseconds. */
const restartDelay = 500;

/** The bounds of the site file's sheet, under the names of deploy/settings.template.json. */
export const sheetBounds = {
  keyRevocation: 5_000,
  drain: 2_000,
  lease: 3_000,
  weights: 10_000,
  shutdownGraceSeconds: 8,
  retryRatio: 0.2,
  retryWindowSeconds: 10,
  retryReserve: 56,
} as const;

const contracts = ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine"];

/** Exit codes of the scripts. */
export const verdicts = { held: 0, broken: 1, couldNotRun: 2 } as const;

/** Writes lines with the time since the start to record.txt and to standard output. */
export interface RunRecord {
  readonly note: (text: string) => void;
  readonly close: () => Promise<void>;
}

const startedAt = performance.now();

/** A script that takes longer could not run, milliseconds. */
const longestRun = 115_000;

setTimeout(() => process.exit(verdicts.couldNotRun), longestRun).unref();

/** @returns Seconds since the start of the script. */
export const secondsSinceStart = (): number => (performance.now() - startedAt) / 1_000;

/** @param file - The path of record.txt. */
export const createRecord = (file: string): RunRecord => {
  const output = createWriteStream(file);
  return {
    note: (text) => {
      const line = `${secondsSinceStart().toFixed(3).padStart(8)} s  ${text}\n`;
      output.write(line);
      process.stdout.write(line);
    },
    close: () => new Promise((resolve) => output.end(resolve)),
  };
};

/** @returns A port that is free on a loopback address. */
export const findFreePort = (address: string): Promise<number> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, address, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });

/** The end of a process that nobody asked for. */
export interface OwnEnd {
  readonly router: string;
  readonly at: number;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A router of the deployment; the process behind it may change. */
export interface RouterVm {
  readonly name: string;
  readonly address: string;
  /** The callers' port. */
  readonly port: number;
  readonly readinessPort: number;
  /** @returns The process id; `undefined` while none runs. */
  readonly processId: () => number | undefined;
  readonly kill: (signal: NodeJS.Signals) => void;
  /** Ends the process for good. */
  readonly stop: () => Promise<void>;
  readonly isReady: () => Promise<boolean>;
  readonly ownEnds: readonly OwnEnd[];
}

/** How a router is started. */
export interface RouterOptions {
  readonly name: string;
  /** An address of 127.0.0.0/8 of its own. */
  readonly address: string;
  readonly store: string;
  readonly record: RunRecord;
  readonly bounds?: Readonly<Record<string, number>>;
  readonly dataCentre?: string;
  /** Receives the lines of its log. */
  readonly onLine?: (line: string) => void;
}

/** The program and arguments of the deploy file's run command. */
const readRunCommand = (): readonly string[] => {
  const text = readFileSync(join(root, "deploy", "system.toml"), "utf8");
  const command = /^run = "(.*)"$/m.exec(text)?.[1];
  if (command === undefined) throw new TypeError("deploy/system.toml has no run command");
  return command.split(" ");
};

/** Starts a router and keeps it running until it is stopped. */
export const startRouterVm = async (options: RouterOptions): Promise<RouterVm> => {
  const { name, address, record } = options;
  const directory = mkdtempSync(join(tmpdir(), "pomelocleat-review-"));
  const file = join(directory, "settings.json");
  const [port, readinessPort, metricsPort, peerPort] = await Promise.all([
    findFreePort(address),
    findFreePort(address),
    findFreePort(address),
    findFreePort(address),
  ]);
  const settings = {
    name,
    dataCentre: options.dataCentre ?? "here",
    callers: `${address}:${port}`,
    readiness: `${address}:${readinessPort}`,
    metricsPort,
    peers: `${address}:${peerPort}`,
    store: options.store,
    guarantees: contracts,
    replicaSpeeds: { minSpread: 1.6 },
    batchMemory: true,
    bounds: { ...sheetBounds, ...options.bounds },
  };
  writeFileSync(file, JSON.stringify(settings));
  const [program = "node", ...args] = readRunCommand();
  const ownEnds: OwnEnd[] = [];
  let child: ChildProcess | undefined;
  let isStopping = false;
  /** Signals that this script has sent to the present process. */
  let wasSignalled = false;

  const run = (): void => {
    wasSignalled = false;
    const { PATH = "", HOME = "", LANG = "" } = process.env;
    const started = spawn(program, args, {
      cwd: root,
      env: { PATH, HOME, LANG, POMELOCLEAT_BOOT: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    child = started;
    record.note(`${name} starts, process ${started.pid ?? 0}`);
    const onLine = (line: string): void => {
      options.onLine?.(line);
      // Without the stack, which names paths of the machine.
      if (line.includes('"event":"fault"')) record.note(`${name} logs ${line.split("\\n")[0] ?? ""}`);
    };
    createInterface(started.stdout).on("line", onLine);
    createInterface(started.stderr).on("line", (line) => record.note(`${name} on standard error: ${line}`));
    started.once("exit", (code, signal) => {
      child = undefined;
      if (!isStopping && !wasSignalled) ownEnds.push({ router: name, at: secondsSinceStart(), code, signal });
      record.note(`${name} ends, exit code ${String(code)}, signal ${String(signal)}`);
      if (!isStopping) setTimeout(() => isStopping || run(), restartDelay);
    });
  };
  run();
  process.once("exit", () => child?.kill("SIGKILL"));

  return {
    name,
    address,
    port,
    readinessPort,
    ownEnds,
    processId: () => child?.pid,
    kill: (signal) => {
      if (signal === "SIGKILL" || signal === "SIGTERM") wasSignalled = true;
      child?.kill(signal);
    },
    stop: async () => {
      isStopping = true;
      const ending = child;
      if (ending !== undefined) {
        const ended = new Promise((resolve) => ending.once("exit", resolve));
        ending.kill("SIGKILL");
        await ended;
      }
      rmSync(directory, { recursive: true, force: true });
    },
    isReady: async () => {
      try {
        const answer = await fetch(`http://${address}:${readinessPort}/-/ready`, {
          signal: AbortSignal.timeout(500),
        });
        return answer.status === 200;
      } catch {
        // Not up yet.
        return false;
      }
    },
  };
};

/** Polls a condition. @returns Whether it became true in time. */
export const waitFor = async (
  condition: () => boolean | Promise<boolean>,
  seconds: number,
): Promise<boolean> => {
  const until = performance.now() + seconds * 1_000;
  while (!(await condition())) {
    if (performance.now() > until) return false;
    await sleep(20);
  }
  return true;
};

/** Whether the script leaves the disruption out. */
export const isWithoutTrouble = process.env.TROUBLE === "0";

/** @param folder - The number of the case. @returns Its record. */
export const caseRecord = (folder: string): RunRecord =>
  createRecord(join(root, "review", folder, "record.txt"));

/** @returns Whether all routers became ready in time. */
export const waitUntilReady = (routers: readonly RouterVm[]): Promise<boolean> =>
  waitFor(async () => (await Promise.all(routers.map(({ isReady }) => isReady()))).every(Boolean), 20);

/** Ends all processes and this one. */
export const finish = async (
  record: RunRecord,
  routers: readonly RouterVm[],
  verdict: number,
): Promise<never> => {
  await Promise.all(routers.map(({ stop }) => stop()));
  record.note(`exit code ${verdict}`);
  await record.close();
  process.exit(verdict);
};
