/**
 * Structured logging of state changes; frequent events are counted as metrics instead. Each line is one JSON object,
 * written under a `debug` namespace.
 */
import createDebug from "debug";

/** Fields of a line. They must not contain API keys, prompts or responses. */
export type LogFields = Readonly<Record<string, string | number | boolean | null>>;

/** Writes the log lines of one component. */
export type Logger = (event: string, fields?: LogFields) => void;

/** Receives the lines of all loggers in place of `debug`. */
export type LogSink = (part: string, event: string, fields: LogFields) => void;

let sink: LogSink | undefined;

/** Sends the lines of all loggers, including those created earlier, to one sink. */
export const setLogSink = (target: LogSink): void => {
  sink = target;
};

/**
 * Creates a logger.
 *
 * @param part - The component's name; the `debug` namespace is `pomelocleat:PART`.
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

/** Enables logging for namespaces in `debug`'s notation, for example `pomelocleat:*`. */
export const enableLogs = (namespaces: string): void => createDebug.enable(namespaces);
