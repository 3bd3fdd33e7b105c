/** Messages between the threads of the relay bench. Times are in milliseconds. */

/** The role of a worker thread. */
export type RelayWorkerData =
  | { readonly role: "engine"; readonly tokenMilliseconds: number }
  | {
      readonly role: "caller";
      readonly url: string;
      readonly key: string;
      readonly streams: number;
      readonly tokens: number;
      /** Time between the starts of two streams. */
      readonly startInterval: number;
    };

/** Sent by an engine thread once it is listening. */
export interface EngineReady {
  readonly url: string;
}

/** Measurements of a caller thread. */
export interface CallerReport {
  readonly timesToFirstToken: readonly number[];
  readonly tokens: number;
}

/** Measurements of one path from callers to engines. */
export interface PathMeasurement {
  readonly path: "direct" | "pipe" | "router";
  readonly streams: number;
  readonly tokens: number;
  readonly medianTimeToFirstToken: number;
  /** CPU time of the relaying thread per token, microseconds; `undefined` for `direct`. */
  readonly threadMicrosecondsPerToken: number | undefined;
  /**
   * Busy time of the relaying thread's event loop per token, microseconds, including preemption by other processes;
   * `undefined` for `direct`.
   */
  readonly busyMicrosecondsPerToken: number | undefined;
  /** Growth of this process's heap per open stream, kibibytes; `undefined` if not measured. */
  readonly heapKibibytesPerStream: number | undefined;
}
