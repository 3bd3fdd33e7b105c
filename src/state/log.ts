/**
 * Log lines, for changes of state only: what happens all the time is counted instead. Each line is one JSON
 * object under a `debug` namespace.
 */
import createDebug from "debug";

/** Fields of a line; never a key, a prompt or an answer. */
export type LogFields = Readonly<Record<string, string | number | boolean | null>>;

/** Writes lines of one part of the process. */
export type Logger = (event: string, fields?: LogFields) => void;

/** Takes lines instead of `debug`. */
export type LogSink = (part: string, event: string, fields: LogFields) => void;

let sink: LogSink | undefined;

/** Sends the lines of all loggers, made already or later, to one place. */
export const setLogSink = (target: LogSink): void => {
  sink = target;
};

/**
 * Makes a logger.
 *
 * @param part - Becomes the namespace `pomelocleat:PART`.
 */
export const createLogger = (part: string): Logger => {
  const write = createDebug(`pomelocleat:${part}`);
  return (event, fields = {}) => {
    if (sink !== undefined) {
      sink(part, event, fields);
      return;
    }
    if (!write.enabled) return;
    write("%s", JSON.stringify({ at: new Date().toISOString(), event, ...fields }));
  };
};

/** Turns lines on, in `debug`'s notation, for example `pomelocleat:*`. */
export const enableLogs = (namespaces: string): void => createDebug.enable(namespaces);
