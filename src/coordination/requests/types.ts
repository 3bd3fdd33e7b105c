/** Data that parts of request handling hand to one another. */
import type { AnswerBatch } from "../../protocol/FrontEnd.ts";
import type { CompletionRequest, RequestContext } from "../../protocol/types.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";

/** An answer whose first pieces have come. */
export interface RunningAnswer {
  /** The engine that gave the first piece. */
  readonly upstream: string;
  /** Throws `RequestError` where the answer can't be finished. */
  readonly batches: AsyncIterable<AnswerBatch>;
}

/** A model request that is ready to run. */
export interface CompletionJob {
  readonly context: RequestContext;
  readonly request: CompletionRequest;
  readonly index: ConfigurationIndex;
}
