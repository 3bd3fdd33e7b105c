/** One answer that the engine stand-in generates, whether or not a caller still listens. */
import { setMaxListeners } from "node:events";
import { createNotifier, pause, type Notifier } from "../waiting.ts";
import type { BlockCache } from "./blockCache.ts";
import type { PrioritySemaphore } from "./prioritySemaphore.ts";
import { afterToken, blockTokens, countTokens, hashBlocks, nextToken, readText } from "./text.ts";
import type { EngineSettings, Execution, ExecutionState } from "./types.ts";

/** What a request asks for, once its body has been read. */
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
  /** Stop at `maximumTokens` only. */
  readonly ignoreEnd: boolean;
}

/** The engine as a generation meets it; a crash or load of weights makes a new one. */
export interface GenerationDependencies {
  readonly settings: EngineSettings;
  readonly incarnation: string;
  readonly weightsVersion: string;
  readonly cache: BlockCache;
  readonly running: PrioritySemaphore;
  readonly prefill: PrioritySemaphore;
  /** Called after each change of state. */
  readonly changed: () => void;
}

/** A generation, seen by the streams that follow it. */
export interface Generation {
  readonly request: GenerationRequest;
  readonly tokens: readonly string[];
  /** Undefined until the answer is whole. */
  readonly finishReason: () => string | undefined;
  readonly execution: () => Execution;
  /** Prompt tokens not yet computed. */
  readonly pendingPromptTokens: () => number;
  /** True once nothing more will come. */
  readonly ended: () => boolean;
  readonly changed: Notifier["changed"];
  readonly stop: (state: "cancelled" | "aborted") => void;
  /** Runs to the end; never rejects. */
  readonly run: () => Promise<void>;
}

/** Seeds the hashes of all blocks that may be shared with one another. */
export const blockSeed = (cacheSalt: string, model: string, weightsVersion: string): string =>
  JSON.stringify([cacheSalt, model, weightsVersion]);

/** Creates a generation that has not started. */
export const createGeneration = (request: GenerationRequest, host: GenerationDependencies): Generation => {
  const { settings, cache, weightsVersion } = host;
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

  const enter = (next: ExecutionState): void => {
    state = next;
    host.changed();
    notifier.notify();
  };

  const compute = async (): Promise<void> => {
    const blocks = hashBlocks(blockSeed(request.cacheSalt, request.model, weightsVersion), rendered);
    // An engine computes at least the last token of a prompt.
    const usable = blocks.slice(0, Math.floor((promptTokens - 1) / blockTokens));
    cachedTokens = cache.match(usable) * blockTokens;
    const uncached = promptTokens - cachedTokens;
    await pause((uncached * settings.prefillMicrosecondsPerToken) / 1000, stopping.signal);
    computedTokens = uncached;
    cache.store(blocks);
    host.changed();
  };

  const prefill = async (): Promise<void> => {
    await host.prefill.acquire(priority, stopping.signal);
    try {
      await compute();
    } finally {
      host.prefill.release();
    }
  };

  /** Paced by the clock, so that a late timer costs no token. */
  const decode = async (): Promise<void> => {
    const average = request.ignoreEnd ? 0 : settings.averageTokens;
    const startedAt = performance.now();
    let text = readText(JSON.stringify([request.model, weightsVersion]), rendered);
    while (tokens.length < request.maximumTokens && (request.ignoreEnd || !text.ended)) {
      const dueAt = startedAt + (tokens.length + 1) * settings.tokenMilliseconds;
      await pause(dueAt - performance.now(), stopping.signal);
      const token = nextToken(text, average);
      text = afterToken(text, token);
      tokens.push(token);
      notifier.notify();
    }
    finishReason = text.ended && !request.ignoreEnd ? "stop" : "length";
  };

  const run = async (): Promise<void> => {
    try {
      await host.running.acquire(priority, stopping.signal);
    } catch {
      return;
    }
    try {
      enter("running");
      await prefill();
      await decode();
      state = "finished";
    } catch {
      // Stopped: `stop` has set the state.
    } finally {
      host.running.release();
      enter(state);
    }
  };

  const ended = (): boolean => state !== "waiting" && state !== "running";

  const stop = (next: "cancelled" | "aborted"): void => {
    if (ended()) return;
    enter(next);
    stopping.abort();
  };

  const execution = (): Execution => ({
    attempt: request.attempt,
    idempotencyKey: request.idempotencyKey,
    organisation: request.organisation,
    cacheSalt: request.cacheSalt,
    weightsVersion,
    incarnation: host.incarnation,
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
    changed: notifier.changed,
    stop,
    run,
  };
};
