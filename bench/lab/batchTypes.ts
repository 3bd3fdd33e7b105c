/** What a batch engine works with: its jobs, its memory and queues, and what engines of one run share. */
import type { Clock } from "../../src/coordination/clock.ts";
import type { PrefixLevel } from "../../src/protocol/types.ts";
import type { PrefixCache } from "../model/prefixCache.ts";
import type { EngineSpecification } from "./experiment.ts";
import type { Link } from "./links.ts";

/** Something that keeps parts and can be copied from. */
export interface CacheEndpoint {
  readonly link: Link;
  readonly cache: PrefixCache;
}

/** What all engines of a run add up, in tokens but for `preempted`. */
export interface WorkTotals {
  computed: number;
  /** Shared tokens computed although some engine had them a short time ago. */
  recomputed: number;
  copied: number;
  preempted: number;
}

/** One request's work. */
export interface BatchJob {
  /** Smaller goes first. */
  readonly priority: number;
  /** The last level is the request's own. */
  readonly levels: readonly PrefixLevel[];
  readonly answerTokens: number;
  readonly source: CacheEndpoint | undefined;
  readonly saveTo: CacheEndpoint | undefined;
  /** Some tokens of the answer were made. */
  readonly onEvent: () => void;
  readonly onEnd: (ended: "finished" | "failed") => void;
}

/** What engines of one run share. */
export interface BatchEnvironment {
  readonly clock: Clock;
  readonly totals: WorkTotals;
  /** By part: when any engine had it last. */
  readonly lastCachedAt: Map<string, number>;
}

/** A job with how far it has come. */
export interface Task {
  readonly job: BatchJob;
  readonly sequence: number;
  /** Prompt tokens that are there. */
  doneTokens: number;
  pinnedLevels: number;
  generatedTokens: number;
  isCopying: boolean;
}

/** An engine's memory and queues; the engine alone changes them. */
export interface BatchState extends BatchEnvironment {
  readonly specification: EngineSpecification;
  readonly cache: PrefixCache;
  readonly link: Link;
  waiting: Task[];
  running: Task[];
}
