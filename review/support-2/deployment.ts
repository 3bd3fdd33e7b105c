/** Starts routers as the platform does: with the command and the settings template of the deploy file. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

/** Ports of a router's machine. */
const ports = { front: 8_782, ready: 8_789, internal: 7_340 } as const;

/** Longest wait until a router is ready, milliseconds. */
const readyTimeout = 20_000;

/** Bounds of a small deployment, as the sheets of two deployments give them. */
const bounds = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  revokeMs: 5_000,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  recoveryS: 12,
  retrySlack: 52,
  leaseMs: 3_000,
  versionMs: 10_000,
} as const;

const contracts = "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform".split(",");

/** How a process ended. */
export interface RouterEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A router's process. */
export interface Router {
  readonly name: string;
  readonly host: string;
  /** The port that callers connect to. */
  readonly port: number;
  readonly processId: number;
  readonly signal: (signal: NodeJS.Signals) => void;
  readonly ended: Promise<RouterEnd>;
  /** The lines of its log. */
  readonly lines: readonly string[];
}

/** The routers of a deployment; disposing of them ends their processes. */
export interface Deployment extends Disposable {
  /**
   * @param ownStore - `IP:PORT` at which this router reaches the platform's store, if not like the others.
   * @returns A router's process, which need not be ready yet.
   */
  readonly start: (name: string, ownStore?: string) => Router;
  readonly waitUntilReady: (router: Router) => Promise<void>;
}

const valueAt = (fields: unknown, path: string): unknown =>
  path
    .split(".")
    .reduce<unknown>((value, key) => (value as Record<string, unknown> | undefined)?.[key], fields);

const isPlain = (value: unknown): value is string | number =>
  typeof value === "string" || typeof value === "number";

/** Fills in a template as the platform does, as far as the project's template needs it. */
const render = (template: string, fields: unknown): string =>
  template
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_match, path: string, inner: string) =>
      valueAt(fields, path) === undefined ? "" : render(inner, fields),
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_match, path: string, json: string | undefined) => {
      const value = valueAt(fields, path);
      return json === undefined && isPlain(value) ? String(value) : JSON.stringify(value ?? null);
    });

const readDeployFile = (name: string): string => {
  const text = readFileSync("deploy/system.toml", "utf8");
  const value = new RegExp(`^${name} = "(.*)"$`, "m").exec(text)?.[1];
  if (value === undefined) throw new Error(`The deploy file has no ${name}.`);
  return value;
};

const isReady = (host: string): Promise<boolean> =>
  new Promise((resolve) => {
    const request = get(
      { host, port: ports.ready, path: "/-/ready", agent: false, timeout: 1_000 },
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.on("error", () => resolve(false));
    request.on("timeout", () => request.destroy());
  });

const watchEnd = (child: ChildProcess): Promise<RouterEnd> =>
  new Promise((resolve) => {
    child.once("exit", (code, signal) => resolve({ code, signal }));
  });

/** Passes the lines of a stream on. */
const readLines = (stream: NodeJS.ReadableStream, onLine: (line: string) => void): void => {
  let rest = "";
  stream.setEncoding("utf8");
  stream.on("data", (text: string) => {
    const parts = (rest + text).split("\n");
    rest = parts.pop() ?? "";
    parts.forEach(onLine);
  });
};

/**
 * Creates a deployment without routers.
 *
 * @param store - `IP:PORT` of the platform's store.
 */
export const createDeployment = (store: string): Deployment => {
  const [program = "", ...words] = readDeployFile("run").split(" ");
  const template = readFileSync(readDeployFile("template"), "utf8");
  const directory = mkdtempSync(join(tmpdir(), "pomelocleat-review-"));
  const children: ChildProcess[] = [];
  // Cases that run at the same time use different networks.
  const network = `127.${60 + (process.pid % 100)}.${1 + (Math.floor(process.pid / 100) % 250)}`;

  const endAll = (): void => {
    for (const child of children) if (child.exitCode === null) child.kill("SIGKILL");
  };
  process.once("exit", endAll);

  const start: Deployment["start"] = (name, ownStore = store) => {
    const ip = `${network}.${10 + children.length}`;
    const settings = render(template, {
      node: name,
      ip,
      zone: "here",
      listen: { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}` },
      internalPorts: [ports.internal, ports.internal + 15],
      platform: { address: ownStore },
      contracts,
      bounds,
      limits: { memoryMb: 200, maxFds: 4_100 },
    });
    const file = join(directory, `${name}.json`);
    writeFileSync(file, settings);
    const { PATH = "", HOME = "" } = process.env;
    const child = spawn(program, words, {
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH, HOME, POMELOCLEAT_BOOT: file },
    });
    children.push(child);
    const lines: string[] = [];
    const addLine = (line: string): void => {
      lines.push(line);
    };
    readLines(child.stdout, addLine);
    readLines(child.stderr, addLine);
    return {
      name,
      host: ip,
      port: ports.front,
      processId: child.pid ?? 0,
      signal: (signal) => void child.kill(signal),
      ended: watchEnd(child),
      lines,
    };
  };

  const waitUntilReady = async ({ name, host }: Router): Promise<void> => {
    const until = performance.now() + readyTimeout;
    while (!(await isReady(host))) {
      if (performance.now() > until) throw new Error(`${name} is not ready in time.`);
      await sleep(50);
    }
  };

  return {
    start,
    waitUntilReady,
    [Symbol.dispose]: () => {
      endAll();
      rmSync(directory, { recursive: true, force: true });
    },
  };
};
