/** A router that passes requests on, as a process: settings, signals, and the end. */
import { statSync } from "node:fs";
import { createBoundedLogSink } from "../state/boundedLogSink.ts";
import { createLogger, setLogSink } from "../state/log.ts";
import { FileError } from "../protocol/errors.ts";
import type { ConnectPlatform } from "../protocol/forwarding/ForwardingPlatform.ts";
import { startForwardingRouter } from "./forwardingRouter.ts";
import type { ForwardingRouter } from "./forwardingRouter.ts";
import type { ForwardingSettings } from "./forwardingSettings.ts";
import { readForwardingSettings } from "./forwardingSettings.ts";

const exitCodes = { ended: 0, fault: 1, badSettings: 2 } as const;

/** Enough for each request of a busy router to leave a line; more than a reader takes is left out. */
const linesPerSecond = 200;
const mostBytesWaiting = 256 * 1024;

/** The settings file may change without a signal. Milliseconds. */
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

const changedAt = (file: string): number => {
  try {
    return statSync(file).mtimeMs;
  } catch {
    // While the file is being replaced there is none; the next look finds it.
    return 0;
  }
};

/** Takes over settings that changed, by signal or by looking. */
const watchSettings = (file: string, router: ForwardingRouter): (() => void) => {
  let seen = changedAt(file);
  const reload = (): void => {
    seen = changedAt(file);
    const settings = readSettings(file);
    if (settings === undefined) return;
    router.reload(settings);
    writeLog("reloaded", { file });
  };
  const check = (): void => {
    const now = changedAt(file);
    if (now !== 0 && now !== seen) reload();
  };
  process.on("SIGHUP", reload);
  const timer = setInterval(check, settingsCheckInterval);
  return () => clearInterval(timer);
};

/** A fault of the program ends the process, but says so first. */
const reportFaults = (): void => {
  process.on("uncaughtException", (error) => {
    writeLog("fault", { reason: error.stack ?? String(error) });
    process.exit(exitCodes.fault);
  });
};

const untilAsked = (): Promise<string> =>
  new Promise((resolve) => {
    for (const signal of ["SIGTERM", "SIGINT"]) process.once(signal, () => resolve(signal));
  });

/**
 * Runs a router until it is asked to end.
 *
 * @param file - The settings file.
 * @returns The exit code: 0 ended as asked, 1 a fault of the program, 2 the settings can't be used.
 */
export const runForwardingDaemon = async (file: string, connect: ConnectPlatform): Promise<number> => {
  const now = (): number => performance.now();
  const output = process.stdout;
  setLogSink(
    createBoundedLogSink({ output, fields: {}, now, linesPerSecond, maxBufferedBytes: mostBytesWaiting }),
  );
  const settings = readSettings(file);
  if (settings === undefined) return exitCodes.badSettings;
  setLogSink(
    createBoundedLogSink({
      output,
      fields: { router: settings.name },
      now,
      linesPerSecond,
      maxBufferedBytes: mostBytesWaiting,
    }),
  );
  reportFaults();
  writeLog("starting", { dataCentre: settings.dataCentre });
  const asked = untilAsked();
  // Not disposed of: the process ends by exiting, whatever is still open.
  const router = await startForwardingRouter(settings, connect);
  const stopWatching = watchSettings(file, router);
  const signal = await asked;
  writeLog("ending", { signal });
  stopWatching();
  await router.drain();
  writeLog("ended");
  // What a peer or the store still holds open is no reason to stay.
  process.exit(exitCodes.ended);
};
