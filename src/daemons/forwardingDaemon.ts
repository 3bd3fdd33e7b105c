/** Runs a forwarding router as a process: settings, signals and shutdown. */
import { statSync } from "node:fs";
import { createBoundedLogSink } from "../state/boundedLogSink.ts";
import { createLogger, setLogSink } from "../state/log.ts";
import { FileError } from "../protocol/errors.ts";
import type { ConnectPlatform } from "../protocol/forwarding/ForwardingPlatform.ts";
import { startForwardingRouter } from "./forwardingRouter.ts";
import type { ForwardingRouter } from "./forwardingRouter.ts";
import type { ForwardingSettings } from "./forwardingSettings.ts";
import { readForwardingSettings } from "./forwardingSettings.ts";
import { guardCallback, reportTaskFailure } from "../state/backgroundTasks.ts";

const exitCodes = { ended: 0, fault: 1, badSettings: 2 } as const;

/** Enough for a line for each request of a busy router. Lines beyond this rate are dropped. */
const linesPerSecond = 200;
/** Lines are also dropped while more bytes than this wait for the log reader. */
const maxBufferedBytes = 256 * 1024;

/** How often the settings file is checked for changes made without a signal, milliseconds. */
const settingsCheckInterval = 2_000;

const writeLog = createLogger("daemon");

const readSettings = (file: string): ForwardingSettings | undefined => {
  try {
    return readForwardingSettings(file);
  } catch (error) {
    if (!(error instanceof FileError)) throw error;
    writeLog("settings_refused", { reason: error.message });
    return undefined;
  }
};

const modificationTime = (file: string): number => {
  try {
    return statSync(file).mtimeMs;
  } catch {
    // The file is missing while it is being replaced; the next check finds it.
    return 0;
  }
};

/**
 * Reloads the settings on SIGHUP, and when the file's modification time changes.
 *
 * @returns Stops the periodic check.
 */
const watchSettings = (file: string, router: ForwardingRouter): (() => void) => {
  let lastModified = modificationTime(file);
  const reload = (): void => {
    lastModified = modificationTime(file);
    const settings = readSettings(file);
    if (settings === undefined) return;
    router.reload(settings);
    writeLog("reloaded", { file });
  };
  const check = (): void => {
    const now = modificationTime(file);
    if (now !== 0 && now !== lastModified) reload();
  };
  process.on("SIGHUP", guardCallback("reloadSettings", reload));
  const timer = setInterval(guardCallback("reloadSettings", check), settingsCheckInterval);
  return () => clearInterval(timer);
};

/**
 * Logs an exception that nothing has caught, then ends the process: what it interrupted is unknown. A promise that
 * rejects while nobody waits for it has interrupted only its own task.
 */
const reportFaults = (): void => {
  process.on("unhandledRejection", (reason) => reportTaskFailure("unhandledRejection", reason));
  process.on("uncaughtException", (error) => {
    writeLog("fault", { reason: error.stack ?? String(error) });
    process.exit(exitCodes.fault);
  });
};

/** Without a listener, a second signal would end the process and cut off the requests that are being served. */
const waitForShutdownSignal = (): Promise<string> =>
  new Promise((resolve) => {
    for (const signal of ["SIGTERM", "SIGINT"]) process.on(signal, () => resolve(signal));
  });

/**
 * Runs a router until SIGTERM or SIGINT.
 *
 * @param file - The settings file.
 * @returns The exit code: 0 ended by a signal, 1 an uncaught exception, 2 the settings are invalid.
 */
export const runForwardingDaemon = async (file: string, connect: ConnectPlatform): Promise<number> => {
  const now = (): number => performance.now();
  const output = process.stdout;
  setLogSink(createBoundedLogSink({ output, fields: {}, now, linesPerSecond, maxBufferedBytes }));
  const settings = readSettings(file);
  if (settings === undefined) return exitCodes.badSettings;
  setLogSink(
    createBoundedLogSink({
      output,
      fields: { router: settings.name },
      now,
      linesPerSecond,
      maxBufferedBytes,
    }),
  );
  reportFaults();
  writeLog("starting", { dataCentre: settings.dataCentre });
  const shutdownSignal = waitForShutdownSignal();
  // Never disposed of: the process exits regardless of what is still open.
  const router = await startForwardingRouter(settings, connect);
  const stopWatching = watchSettings(file, router);
  const signal = await shutdownSignal;
  writeLog("ending", { signal });
  stopWatching();
  await router.drain();
  writeLog("ended");
  // Connections that a peer or the store still holds open must not delay the exit.
  process.exit(exitCodes.ended);
};
