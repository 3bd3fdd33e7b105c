/** Starts the project's programs as child processes, for tests, the soak and the demo. */
import { spawn, type ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { z } from "zod";
import { processError } from "./errors.ts";

const readyTimeoutMilliseconds = 20_000;
const stopTimeoutMilliseconds = 10_000;

const readySchema = z.looseObject({ url: z.string(), name: z.string().default("") });

/** Exit code or signal of a process; both are `null` if it could not be started. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A child process that is ready; disposing of it terminates it. */
export interface StartedProcess extends AsyncDisposable {
  readonly name: string;
  readonly url: string;
  readonly processId: number;
  /** The whole JSON line that it printed once it was ready. */
  readonly ready: Readonly<Record<string, unknown>>;
  /** Sends a signal without waiting for its effect. */
  readonly kill: (signal: NodeJS.Signals) => void;
  /** Resolves when the process has ended. */
  readonly ended: Promise<ProcessEnd>;
}

/** Environment, output and runtime options of a process. */
export interface ProcessOptions {
  /** Variables added to this process's environment. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Called with every line that the process prints to standard output. */
  readonly onLine?: (line: string) => void;
  /** Options of Node.js; `--enable-source-maps` by default. */
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

/** Reads lines until the program reports that it is ready; keeps reading so that the pipe does not fill up. */
const waitUntilReady = (
  child: ChildProcess,
  output: NodeJS.ReadableStream,
  ended: Promise<ProcessEnd>,
  onLine: ProcessOptions["onLine"],
) =>
  new Promise<z.output<typeof readySchema>>((resolve, reject) => {
    const timer = setTimeout(
      () => reject(processError(`Process ${String(child.pid)} did not report that it is ready in time.`)),
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
 * @returns The process, which is also killed when this one exits. Rejects with a {@link ProcessError} if the program
 * ends or times out before it is ready.
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

/** The kinds of stand-in that `main.ts` can start. */
export type StandInKind = "engine" | "service" | "logService" | "vmList" | "weightStore" | "keyValueStore";

/**
 * Starts a stand-in as a child process.
 *
 * @param settings - Settings for this kind of stand-in.
 */
export const startStandInProcess = (kind: StandInKind, settings: object = {}): Promise<StartedProcess> =>
  startProcess(new URL("./main.js", import.meta.url), [kind, JSON.stringify(settings)]);
