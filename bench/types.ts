/** Interface of the benches. */

/** Options of a bench run. */
export interface BenchOptions {
  /** Print the results as JSON instead of tables. */
  readonly json: boolean;
  /** Write pages and plots under `docs/` as well. */
  readonly write: boolean;
  /** A short run for a first impression, too short for published figures. */
  readonly quick: boolean;
  /** Random seeds, one run each. */
  readonly seeds: readonly number[];
  /** Names of the variants to compare; all if empty. */
  readonly only: readonly string[];
}

/** A named bench. */
export interface Bench {
  readonly name: string;
  /** One-line description in the list of benches. */
  readonly summary: string;
  /** Runs the bench and prints its results to standard output. */
  readonly run: (options: BenchOptions) => Promise<void>;
}
