/** Types of the engine model and of the simulations that use it. Times are simulated milliseconds. */
import type { PrefixLevel } from "../../src/protocol/types.ts";

/** Speed and capacity of a modelled engine. */
export interface EngineParameters {
  /** Maximum requests in one batch. */
  readonly maximumRunning: number;
  readonly prefillTokensPerSecond: number;
  /** Fixed prefill time of each prompt, added to the time of its tokens. */
  readonly prefillOverhead: number;
  /** Prompt tokens computed without interruption; a more urgent prompt waits for the end of the chunk. */
  readonly chunkTokens: number;
  readonly cacheTokens: number;
  /** Time between two tokens of an answer that is alone in the batch. */
  readonly decodeInterval: number;
  /** Added to the interval for each further request in the batch. */
  readonly decodeSlowdown: number;
}

/** One attempt's work at an engine, with callbacks for its progress. */
export interface EngineJob {
  /** Smaller runs first. */
  readonly priority: number;
  readonly levels: readonly PrefixLevel[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Prefill starts; `cachedTokens` of the prompt are taken from the cache. */
  readonly onStart: (cachedTokens: number) => void;
  readonly onFirstToken: () => void;
  readonly onEnd: (ended: "finished" | "failed") => void;
}

/** A generated request. */
export interface Arrival {
  readonly at: number;
  readonly organisation: string;
  readonly className: string;
  readonly levels: readonly PrefixLevel[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Index of the router that the load balancer picks. */
  readonly router: number;
}

/** Outcome and figures of one request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  /** `late`: cancelled by its caller at the completion deadline. */
  outcome: "open" | "finished" | "refused" | "late" | "failed";
  /** From arrival to the first token at the router. */
  firstTokenAfter: number | undefined;
  /** From arrival to the first assignment to an engine. */
  assignedAfter: number | undefined;
  /** From arrival to the last token, the refusal or the failure; to the end of the run if it was still open. */
  endedAfter: number | undefined;
  attempts: number;
  /** Most prompt tokens that any one live engine had cached when the request arrived. */
  cachedAnywhereTokens: number;
  /** Prompt tokens of all attempts whose prefill started. */
  startedTokens: number;
  cachedTokens: number;
  /** Prompt tokens computed although some other live engine had them cached, over all attempts. */
  wastedTokens: number;
}
