/** One answer that the engine stand-in generates; it continues after its caller has disconnected. */
import { setMaxListeners } from "node:events";
import { createNotifier, pause, type Notifier } from "../waiting.ts";
import type { BlockCache } from "./blockCache.ts";
import type { PrioritySemaphore } from "./prioritySemaphore.ts";
import { appendToken, blockTokens, countTokens, hashBlocks, nextToken, createTextState } from "./text.ts";
import type { EngineSettings, Execution, ExecutionState } from "./types.ts";

/** The parsed request behind a generation. */
export interface GenerationRequest {
  readonly attempt: string;
  readonly idempotencyKey: string | undefined;
  readonly organisation: string | undefined;
  readonly priority: number;
  readonly kind: "chat" | "text";
  readonly model: string;
  readonly cacheSalt: string;
  readonly rendered: string;
  readonly maximumTokens: number;
  /** Ends only at `maximumTokens`, never with an end token. */
  readonly ignoreEnd: boolean;
}

/** What a generation uses of its engine, as of the time at which it starts. */
export interface GenerationDependencies {
  readonly settings: EngineSettings;
  readonly incarnation: string;
  readonly weightsVersion: string;
  readonly cache: BlockCache;
  readonly running: PrioritySemaphore;
  readonly prefill: PrioritySemaphore;
  /** Called after each change of the generation's state. */
  readonly recordChange: () => void;
}

/** A generation, as the streams that send its tokens use it. */
export interface Generation {
  readonly request: GenerationRequest;
  readonly tokens: readonly string[];
  /** `undefined` until the answer is complete. */
  readonly finishReason: () => string | undefined;
  readonly execution: () => Execution;
  /** Number of prompt tokens that have not been computed yet. */
  readonly pendingPromptTokens: () => number;
  /** True once no more tokens will be generated. */
  readonly ended: () => boolean;
  readonly nextChange: Notifier["nextChange"];
  readonly stop: (state: "cancelled" | "aborted") => void;
  /** Generates the whole answer; never rejects. */
  readonly run: () => Promise<void>;
}

/** Creates the seed of block hashes: prompts share cached blocks only if they have the same seed. */
export const createBlockSeed = (cacheSalt: string, model: string, weightsVersion: string): string =>
  JSON.stringify([cacheSalt, model, weightsVersion]);

/** Creates a generation; {@link Generation.run} starts it. */
export const createGeneration = (
  request: GenerationRequest,
  dependencies: GenerationDependencies,
): Generation => {
  const { settings, cache, weightsVersion } = dependencies;
  const { rendered, priority } = request;
  const promptTokens = countTokens(rendered);
  const tokens: string[] = [];
  const stopping = new AbortController();
  setMaxListeners(0, stopping.signal);
  const notifier = createNotifier();
  let state: ExecutionState = "waiting";
  let finishReason: string | undefined;
  let cachedTokens = 0;
  let computedTokens = 0;

  const setState = (next: ExecutionState): void => {
    state = next;
    dependencies.recordChange();
    notifier.notify();
  };

  const compute = async (): Promise<void> => {
    const blocks = hashBlocks(createBlockSeed(request.cacheSalt, request.model, weightsVersion), rendered);
    // Like a real engine, always computes at least the last token of the prompt.
    const usable = blocks.slice(0, Math.floor((promptTokens - 1) / blockTokens));
    cachedTokens = cache.match(usable) * blockTokens;
    const uncached = promptTokens - cachedTokens;
    await pause((uncached * settings.prefillMicrosecondsPerToken) / 1000, stopping.signal);
    computedTokens = uncached;
    cache.store(blocks);
    dependencies.recordChange();
  };

  const prefill = async (): Promise<void> => {
    await dependencies.prefill.acquire(priority, stopping.signal);
    try {
      await compute();
    } finally {
      dependencies.prefill.release();
    }
  };

  /** Computes each token's due time from the start, so that a late timer doesn't slow down the rate of tokens. */
  const decode = async (): Promise<void> => {
    const average = request.ignoreEnd ? 0 : settings.averageTokens;
    const startedAt = performance.now();
    let text = createTextState(JSON.stringify([request.model, weightsVersion]), rendered);
    while (tokens.length < request.maximumTokens && (request.ignoreEnd || !text.ended)) {
      const dueAt = startedAt + (tokens.length + 1) * settings.tokenMilliseconds;
      await pause(dueAt - performance.now(), stopping.signal);
      const token = nextToken(text, average);
      text = appendToken(text, token);
      tokens.push(token);
      notifier.notify();
    }
    finishReason = text.ended && !request.ignoreEnd ? "stop" : "length";
  };

  const run = async (): Promise<void> => {
    try {
      await dependencies.running.acquire(priority, stopping.signal);
    } catch {
      return;
    }
    try {
      setState("running");
      await prefill();
      await decode();
      state = "finished";
    } catch {
      // Aborted by `stop`, which has already set the state.
    } finally {
      dependencies.running.release();
      setState(state);
    }
  };

  const ended = (): boolean => state !== "waiting" && state !== "running";

  const stop = (next: "cancelled" | "aborted"): void => {
    if (ended()) return;
    setState(next);
    stopping.abort();
  };

  const execution = (): Execution => ({
    attempt: request.attempt,
    idempotencyKey: request.idempotencyKey,
    organisation: request.organisation,
    cacheSalt: request.cacheSalt,
    weightsVersion,
    incarnation: dependencies.incarnation,
    state,
    promptTokens,
    cachedTokens,
    computedTokens,
    completionTokens: tokens.length,
  });

  return {
    request,
    tokens,
    finishReason: () => finishReason,
    execution,
    pendingPromptTokens: () => (ended() || computedTokens > 0 ? 0 : promptTokens - cachedTokens),
    ended,
    nextChange: notifier.nextChange,
    stop,
    run,
  };
};
