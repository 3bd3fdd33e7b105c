/** What every bench offers and is given. */

/** How a bench is to be run. */
export interface BenchOptions {
  /** Print the results as JSON instead of tables. */
  readonly json: boolean;
  /** Write pages and plots under `docs/` as well. */
  readonly write: boolean;
  /** A short run, for a look rather than for a figure that is kept. */
  readonly quick: boolean;
  /** Random seeds, one run each. */
  readonly seeds: readonly number[];
  /** Only these of what the bench compares, by name; all if there are none. */
  readonly only: readonly string[];
}

/** One named bench. */
export interface Bench {
  readonly name: string;
  /** One line for the list of benches. */
  readonly summary: string;
  /** Measures and prints to standard output. */
  readonly run: (options: BenchOptions) => Promise<void>;
}
