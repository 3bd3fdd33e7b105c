/** Data of the engine model and of the runs over it. Times are simulated milliseconds. */
import type { PrefixLevel } from "../../src/protocol/types.ts";

/** How fast and how large a modelled engine is. */
export interface EngineParameters {
  /** Requests in one batch. */
  readonly maximumRunning: number;
  readonly prefillTokensPerSecond: number;
  /** Spent on each prompt besides its tokens. */
  readonly prefillOverhead: number;
  /** Prompt tokens computed before a more urgent prompt may go first. */
  readonly chunkTokens: number;
  readonly cacheTokens: number;
  /** Between two tokens of an answer, alone in the batch. */
  readonly decodeInterval: number;
  /** Added to the interval by each further request in the batch. */
  readonly decodeSlowdown: number;
}

/** One request's work at an engine. */
export interface EngineJob {
  /** Smaller runs first. */
  readonly priority: number;
  readonly levels: readonly PrefixLevel[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** The prompt's computation begins; `cachedTokens` of it are taken from the cache. */
  readonly onStart: (cachedTokens: number) => void;
  readonly onFirstToken: () => void;
  readonly onEnd: (ended: "finished" | "failed") => void;
}

/** A request as the workload makes it. */
export interface Arrival {
  readonly at: number;
  readonly organisation: string;
  readonly className: string;
  readonly levels: readonly PrefixLevel[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Which router the balancer gives it to. */
  readonly router: number;
}

/** What became of one request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  /** `late`: given up by its caller at the deadline for the whole answer. */
  outcome: "open" | "finished" | "refused" | "late" | "failed";
  /** From arrival to the first token at the router. */
  firstTokenAfter: number | undefined;
  /** From arrival to the first assignment to an engine. */
  assignedAfter: number | undefined;
  /** From arrival to the last token, the refusal, or whatever ended it; to the end of the run if nothing did. */
  endedAfter: number | undefined;
  attempts: number;
  /** Prompt tokens that some live engine held when the request arrived. */
  cachedAnywhereTokens: number;
  /** Prompt tokens sent to engines that began on them, over all attempts. */
  startedTokens: number;
  cachedTokens: number;
  /** Computed although some live engine held them. */
  wastedTokens: number;
}
