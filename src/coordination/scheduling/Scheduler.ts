import type { EngineReplica } from "../../state/engineDirectory.ts";
import type { PrefixLevel, RequestContext, Usage } from "../../protocol/types.ts";

/** A piece of model work that wants an engine. */
export interface Work {
  readonly context: RequestContext;
  readonly pools: readonly string[];
  /** Weights that may answer. */
  readonly weightsVersions: readonly string[];
  /** `NAME@VERSION` of the adapter that the engine must have loaded. */
  readonly adapter?: string;
  readonly levels: readonly PrefixLevel[];
  readonly promptTokens: number;
  readonly maximumTokens: number;
  /** Engines not to be asked (again). */
  readonly excluded: ReadonlySet<string>;
  /** The request has been let in before; without it, whether any engine is excluded tells. */
  readonly furtherAttempt?: boolean;
}

/** What came of an attempt, from which later choices learn. */
export interface AttemptReport {
  readonly ended: "finished" | "failed" | "cancelled";
  /** The incarnation that answered, if any. */
  readonly incarnation: string | undefined;
  /** Milliseconds from dispatch to the first token, if one came. */
  readonly firstTokenAfter: number | undefined;
  readonly usage: Usage | undefined;
}

/** An engine that has been given a piece of work; ends with exactly one call of `release`. */
export interface Assignment {
  readonly engine: EngineReplica;
  /** The engine's incarnation and weights when it was chosen. */
  readonly incarnation: string | undefined;
  readonly weightsVersion: string;
  readonly expectedCachedTokens: number;
  /** For the engine, where it is not to be the class's. */
  readonly priority?: number;
  /** The first token has arrived: the prompt is computed. */
  readonly markFirstToken: () => void;
  readonly release: (report: AttemptReport) => void;
}

/** Decides which engine runs a piece of work, and when: placement and admission together. */
export abstract class Scheduler {
  /**
   * Waits at most until the class's deadline allows.
   *
   * @returns The assignment; throws `RequestError` (`not_run`, with Retry-After) as soon as it is clear that
   * the work cannot be done in time.
   */
  abstract assign(work: Work, signal: AbortSignal): Promise<Assignment>;

  /** What the scheduler believes, for a state dump. */
  abstract dump(): unknown;
}
