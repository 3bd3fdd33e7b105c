/** Types that the modules of request handling share. */
import type { AnswerBatch } from "../../protocol/FrontEnd.ts";
import type { CompletionRequest, RequestContext } from "../../protocol/types.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";

/** An answer whose first pieces have arrived. */
export interface RunningAnswer {
  /** Id of the engine that sent the first piece. */
  readonly upstream: string;
  /** Throws `RequestError` if the answer can't be completed. */
  readonly batches: AsyncIterable<AnswerBatch>;
}

/** A validated model request that is ready to run. */
export interface CompletionJob {
  readonly context: RequestContext;
  readonly request: CompletionRequest;
  readonly index: ConfigurationIndex;
}
