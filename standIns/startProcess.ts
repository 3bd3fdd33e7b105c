/** Starts the project's programs as processes of their own, for tests and the demo. */
import { spawn, type ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { z } from "zod";
import { processError } from "./errors.ts";

const readyTimeoutMilliseconds = 20_000;
const stopTimeoutMilliseconds = 10_000;

const readySchema = z.looseObject({ url: z.string(), name: z.string().default("") });

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A process that is ready; disposing of it ends it. */
export interface StartedProcess extends AsyncDisposable {
  readonly name: string;
  readonly url: string;
  readonly processId: number;
  /** The whole line that it printed when ready. */
  readonly ready: Readonly<Record<string, unknown>>;
  /** Sends a signal and does not wait for what comes of it. */
  readonly kill: (signal: NodeJS.Signals) => void;
  /** Resolves when the process has ended. */
  readonly ended: Promise<ProcessEnd>;
}

/** Settings of the operating system's for a process. */
export interface ProcessOptions {
  /** Variables added to this process's own. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Called with every line that the process prints. */
  readonly onLine?: (line: string) => void;
  /** Options of the runtime; those of a source that was compiled unless they are given. */
  readonly runtimeOptions?: readonly string[];
}

const started = new Set<ChildProcess>();
process.once("exit", () => {
  for (const child of started) child.kill("SIGKILL");
});

const waitForEnd = (child: ChildProcess): Promise<ProcessEnd> =>
  new Promise((resolve) => {
    child.once("exit", (code, signal) => resolve({ code, signal }));
    child.once("error", () => resolve({ code: null, signal: null }));
  });

const parseReady = (line: string): z.output<typeof readySchema> | undefined => {
  try {
    return readySchema.safeParse(JSON.parse(line)).data;
  } catch {
    return undefined;
  }
};

/** Reads lines until one says that the program is ready; keeps the pipe flowing afterwards. */
const waitUntilReady = (
  child: ChildProcess,
  output: NodeJS.ReadableStream,
  ended: Promise<ProcessEnd>,
  onLine: ProcessOptions["onLine"],
) =>
  new Promise<z.output<typeof readySchema>>((resolve, reject) => {
    const timer = setTimeout(
      () => reject(processError(`Process ${String(child.pid)} printed no line that it is ready.`)),
      readyTimeoutMilliseconds,
    );
    createInterface(output).on("line", (line) => {
      onLine?.(line);
      const ready = parseReady(line);
      if (ready === undefined) return;
      clearTimeout(timer);
      resolve(ready);
    });
    void ended.then(({ code, signal }) => {
      clearTimeout(timer);
      reject(processError(`The process ended before it was ready: ${String(code ?? signal)}.`));
    });
  });

const stop = async (child: ChildProcess, ended: Promise<ProcessEnd>): Promise<void> => {
  child.kill("SIGTERM");
  child.kill("SIGCONT");
  const timer = setTimeout(() => child.kill("SIGKILL"), stopTimeoutMilliseconds);
  await ended;
  clearTimeout(timer);
};

/**
 * Starts a compiled program and waits until it prints one line of JSON with its `url`.
 *
 * @param module - The program's module.
 * @returns The process; it is also killed when this one exits. Rejects with a {@link ProcessError}.
 */
export const startProcess = async (
  module: URL,
  args: readonly string[],
  { environment = {}, onLine, runtimeOptions = ["--enable-source-maps"] }: ProcessOptions = {},
): Promise<StartedProcess> => {
  const child = spawn(process.execPath, [...runtimeOptions, fileURLToPath(module), ...args], {
    stdio: ["ignore", "pipe", "inherit"],
    env: { ...process.env, ...environment },
  });
  const ended = waitForEnd(child);
  started.add(child);
  void ended.then(() => started.delete(child));
  try {
    const ready = await waitUntilReady(child, child.stdout, ended, onLine);
    return {
      name: ready.name,
      url: ready.url,
      processId: child.pid ?? 0,
      ready,
      kill: (signal) => void child.kill(signal),
      ended,
      [Symbol.asyncDispose]: () => stop(child, ended),
    };
  } catch (error) {
    await stop(child, ended);
    throw error;
  }
};

/** The kinds of stand-in that `main.ts` starts. */
export type StandInKind = "engine" | "service" | "logService" | "vmList" | "weightStore" | "keyValueStore";

/**
 * Starts a stand-in as a process.
 *
 * @param settings - The settings of its kind.
 */
export const startStandInProcess = (kind: StandInKind, settings: object = {}): Promise<StartedProcess> =>
  startProcess(new URL("./main.js", import.meta.url), [kind, JSON.stringify(settings)]);
