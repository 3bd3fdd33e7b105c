import type { EngineReplica } from "../../state/engineDirectory.ts";
import type { PrefixLevel, RequestContext, Usage } from "../../protocol/types.ts";

/** A completion request, or one attempt of it, that needs an engine. */
export interface Work {
  readonly context: RequestContext;
  readonly pools: readonly string[];
  /** Weights versions that may answer the request. */
  readonly weightsVersions: readonly string[];
  /** `NAME@VERSION` of the adapter that the engine must have loaded. */
  readonly adapter?: string;
  readonly levels: readonly PrefixLevel[];
  readonly promptTokens: number;
  readonly maximumTokens: number;
  /** Ids of engines that must not be chosen, such as those where an attempt failed. */
  readonly excluded: ReadonlySet<string>;
  /**
   * True if the request has been admitted before, so that it is not checked against the limits again. Where absent,
   * a request with excluded engines counts as admitted before.
   */
  readonly alreadyAdmitted?: boolean;
}

/** The outcome of an attempt, from which the scheduler learns. */
export interface AttemptReport {
  readonly ended: "finished" | "failed" | "cancelled";
  /** The incarnation of the engine that answered, if any. */
  readonly incarnation: string | undefined;
  /** Milliseconds from dispatch to the first token, if one came. */
  readonly firstTokenAfter: number | undefined;
  readonly usage: Usage | undefined;
}

/** The assignment of work to an engine; ends with exactly one call of `release`. */
export interface Assignment {
  readonly engine: EngineReplica;
  /** The engine's incarnation and weights when it was chosen. */
  readonly incarnation: string | undefined;
  readonly weightsVersion: string;
  readonly expectedCachedTokens: number;
  /** Engine priority, where it differs from that of the request class. */
  readonly priority?: number;
  /** Reports that the first token has arrived, so the engine has computed the prompt. */
  readonly markFirstToken: () => void;
  readonly release: (report: AttemptReport) => void;
}

/** Decides which engine runs a request and when: placement and admission control. */
export abstract class Scheduler {
  /**
   * Waits for an engine, at most until the deadline of the request class.
   *
   * @returns The assignment.
   * @throws `RequestError` (`not_run`, with Retry-After) as soon as the deadline cannot be met.
   */
  abstract assign(work: Work, signal: AbortSignal): Promise<Assignment>;

  /** @returns The scheduler's state, for a state dump. */
  abstract dump(): unknown;
}
