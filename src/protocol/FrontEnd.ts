import type { AnswerFrame, CompletionRequest, ServiceAnswer } from "./types.ts";

/** The request headers that control how a request is handled; `undefined` where a header is absent. */
export interface CallerHeaders {
  readonly authorization: string | undefined;
  readonly requestClass: string | undefined;
  readonly idempotent: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly prefixLevels: string | undefined;
  readonly lastEventId: string | undefined;
}

/**
 * Consecutive pieces of an answer that came from one attempt. Over all batches the pieces are in order, without gaps
 * or duplicates, even if several engines produced them.
 */
export interface AnswerBatch {
  readonly frames: readonly AnswerFrame[];
  /** Id of the attempt that produced the pieces. */
  readonly attempt: string;
  /** The engine that runs the attempt, and the incarnation of its process. */
  readonly engineId: string;
  readonly incarnation: string;
  /** Offset of the first piece, in tokens from the start of the whole answer. */
  readonly firstOffset: number;
  /** Number of pieces without text between the last token before this batch and the first piece of the batch. */
  readonly precedingTextlessPieces: number;
  /** Tokens of the whole answer before the start of this attempt. */
  readonly attemptOffset: number;
}

/** How much of an answer has been delivered to the caller. */
export interface AnswerPosition {
  /** Number of pieces with text; each counts as one token. */
  readonly tokens: number;
  /** Number of pieces without text after the last token. */
  readonly textlessPieces: number;
}

/** The answer to a model request, available once its first pieces have arrived. */
export interface CompletionAnswer {
  readonly requestId: string;
  readonly request: CompletionRequest;
  readonly configurationVersion: number;
  /** Id of the engine that produced the first piece. */
  readonly upstream: string;
  /** The iteration throws `RequestError` if the answer can't be completed. */
  readonly batches: AsyncIterable<AnswerBatch>;
  /** @returns The SSE event id for a position within a batch. */
  readonly eventId: (batch: AnswerBatch, delivered: AnswerPosition) => string;
}

/** A caller's request to a plain service. */
export interface CallerServiceCall {
  readonly service: string;
  readonly method: string;
  /** Path and query string, relative to the service. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
}

/** A plain service's answer with the metadata that goes into the caller's response headers. */
export interface CallerServiceAnswer {
  readonly requestId: string;
  readonly configurationVersion: number;
  readonly upstream: string;
  readonly answer: ServiceAnswer;
}

/** The views of a router's state that operators can read. */
export type OperatorView = "version" | "dump" | "engines";

/** The router's interface for callers and operators, independent of the transport. Methods throw `RequestError`. */
export abstract class FrontEnd {
  /** Checks the key of a request, before its body has been received. @returns The name of its organisation. */
  abstract admitHead(headers: CallerHeaders): string;

  /**
   * Runs a model request; resolves when the first pieces of the answer have arrived.
   *
   * @param signal - Aborted when the caller disconnects.
   */
  abstract complete(
    kind: CompletionRequest["kind"],
    headers: CallerHeaders,
    body: string,
    signal: AbortSignal,
  ): Promise<CompletionAnswer>;

  /** Forwards a request to a plain service. */
  abstract callService(
    call: CallerServiceCall,
    headers: CallerHeaders,
    signal: AbortSignal,
  ): Promise<CallerServiceAnswer>;

  /** @returns The names of the models that the caller's organisation may use. */
  abstract listModels(headers: CallerHeaders): readonly string[];

  /** True while the router accepts new requests. */
  abstract isReady(): boolean;

  /** @param authorization - The `Authorization` header, which must contain the operators' key. */
  abstract readOperatorView(view: OperatorView, authorization: string | undefined): unknown;
}
