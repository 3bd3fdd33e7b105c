/** Types of the batch engine: its jobs, its state, and what the engines of one run share. */
import type { Clock } from "../../src/coordination/clock.ts";
import type { PrefixLevel } from "../../src/protocol/types.ts";
import type { PrefixCache } from "../model/prefixCache.ts";
import type { EngineSpecification } from "./experiment.ts";
import type { Link } from "./links.ts";

/** A cache of prompt parts that parts can be copied to or from, with its network link. */
export interface CacheEndpoint {
  readonly link: Link;
  readonly cache: PrefixCache;
}

/** Totals over all engines of a run, in tokens but for `preempted`. */
export interface WorkTotals {
  computed: number;
  /** Tokens of shared levels computed although some engine had them cached a short time before. */
  recomputed: number;
  copied: number;
  /** Number of preempted requests. */
  preempted: number;
}

/** The work of one attempt, with callbacks for its progress. */
export interface BatchJob {
  /** Smaller runs first. */
  readonly priority: number;
  /** Levels of the prompt; only this request has the last one. */
  readonly levels: readonly PrefixLevel[];
  readonly answerTokens: number;
  /** Where missing parts are copied from. */
  readonly source: CacheEndpoint | undefined;
  /** Store that the computed prompt is copied to. */
  readonly saveTo: CacheEndpoint | undefined;
  /** Tokens of the answer were generated. */
  readonly onEvent: () => void;
  readonly onEnd: (ended: "finished" | "failed") => void;
}

/** What the engines of one run share. */
export interface BatchEnvironment {
  readonly clock: Clock;
  readonly totals: WorkTotals;
  /** By key of a level: when any engine last cached it. */
  readonly lastCachedAt: Map<string, number>;
}

/** A job and its progress. */
export interface Task {
  readonly job: BatchJob;
  readonly sequence: number;
  /** Prompt tokens that are cached, copied or computed. */
  doneTokens: number;
  /** Number of leading levels that are pinned in the cache. */
  pinnedLevels: number;
  generatedTokens: number;
  isCopying: boolean;
}

/** An engine's cache and queues; only the engine modifies them. */
export interface BatchState extends BatchEnvironment {
  readonly specification: EngineSpecification;
  readonly cache: PrefixCache;
  readonly link: Link;
  waiting: Task[];
  running: Task[];
}
