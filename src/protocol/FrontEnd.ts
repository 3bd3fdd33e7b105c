import type { AnswerFrame, CompletionRequest, ServiceAnswer } from "./types.ts";

/** The headers of a caller's request that decide about it. */
export interface CallerHeaders {
  readonly authorization: string | undefined;
  readonly requestClass: string | undefined;
  readonly idempotent: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly prefixLevels: string | undefined;
  readonly lastEventId: string | undefined;
}

/** Pieces of an answer, in order and without gap or repeat, whatever engines they came from. */
export interface AnswerBatch {
  readonly frames: readonly AnswerFrame[];
  /** The attempt that the pieces came from, and the engine that runs it. */
  readonly attempt: string;
  readonly engineId: string;
  readonly incarnation: string;
  /** Tokens of the whole answer before the first piece of this batch. */
  readonly firstOffset: number;
  /** Pieces without text between the last token before this batch and its first piece. */
  readonly precedingTextlessPieces: number;
  /** Tokens of the whole answer that came before this attempt began. */
  readonly attemptOffset: number;
}

/** How much of an answer has been delivered. */
export interface AnswerPosition {
  /** Pieces with text, each counted as one token. */
  readonly tokens: number;
  /** Pieces without text since then. */
  readonly textlessPieces: number;
}

/** A model answer whose first pieces have come. */
export interface CompletionAnswer {
  readonly requestId: string;
  readonly request: CompletionRequest;
  readonly configurationVersion: number;
  /** The engine that gave the first piece. */
  readonly upstream: string;
  /** Throws `RequestError` where the answer can't be finished. */
  readonly batches: AsyncIterable<AnswerBatch>;
  /** @returns The SSE id of the piece of a batch up to which so much has been delivered. */
  readonly eventId: (batch: AnswerBatch, delivered: AnswerPosition) => string;
}

/** A caller's call to a plain service. */
export interface CallerServiceCall {
  readonly service: string;
  readonly method: string;
  /** Path and query within the service. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
}

/** A plain service's answer with what the caller is told about it. */
export interface CallerServiceAnswer {
  readonly requestId: string;
  readonly configurationVersion: number;
  readonly upstream: string;
  readonly answer: ServiceAnswer;
}

/** What operators can ask a router. */
export type OperatorView = "version" | "dump" | "engines";

/** What a router offers to callers and operators, whatever carries it. Methods throw `RequestError`. */
export abstract class FrontEnd {
  /**
   * Answers a model request; resolves with its first pieces.
   *
   * @param signal - Aborted when the caller goes away.
   */
  abstract complete(
    kind: CompletionRequest["kind"],
    headers: CallerHeaders,
    body: string,
    signal: AbortSignal,
  ): Promise<CompletionAnswer>;

  /** Calls a plain service. */
  abstract callService(
    call: CallerServiceCall,
    headers: CallerHeaders,
    signal: AbortSignal,
  ): Promise<CallerServiceAnswer>;

  /** @returns The names of the models that the caller's organisation may use. */
  abstract listModels(headers: CallerHeaders): readonly string[];

  /** True while the router takes new work. */
  abstract isReady(): boolean;

  /** @param authorization - Must carry the operators' key. */
  abstract readOperatorView(view: OperatorView, authorization: string | undefined): unknown;
}
