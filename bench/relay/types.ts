/** What the threads of the relay bench tell one another. Times are milliseconds. */

/** What a thread is to do. */
export type RelayWorkerData =
  | { readonly role: "engine"; readonly tokenMilliseconds: number }
  | {
      readonly role: "caller";
      readonly url: string;
      readonly key: string;
      readonly streams: number;
      readonly tokens: number;
      /** Between the starts of two streams. */
      readonly startInterval: number;
    };

/** An engine thread is listening. */
export interface EngineReady {
  readonly url: string;
}

/** What a caller thread measured. */
export interface CallerReport {
  readonly timesToFirstToken: readonly number[];
  readonly tokens: number;
}

/** One way from callers to engines, measured. */
export interface PathMeasure {
  readonly path: "direct" | "pipe" | "router";
  readonly streams: number;
  readonly tokens: number;
  readonly medianTimeToFirstToken: number;
  /** Processor time of the relaying thread for each token, microseconds; none for `direct`. */
  readonly threadMicrosecondsPerToken: number | undefined;
  /** Time that this thread's event loop was busy for each token, microseconds, with what
   * other work on the machine took from it; none for `direct`. */
  readonly busyMicrosecondsPerToken: number | undefined;
  /** Growth of this process's heap while the streams were open, kibibytes for each stream. */
  readonly heapKibibytesPerStream: number | undefined;
}
