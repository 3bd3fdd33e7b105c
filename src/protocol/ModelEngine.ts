import type { CacheEventPage, EngineAnswer, EngineCall, EngineLoad, EngineOrder } from "./types.ts";

/**
 * A model engine, as the system meets it. One object stands for one engine VM; an adapter for another wire
 * form replaces the implementation without touching any decision.
 *
 * Every method throws `UpstreamError`.
 */
export abstract class ModelEngine {
  /** Starts an answer; resolves once the engine has accepted the request. */
  abstract complete(call: EngineCall, signal: AbortSignal): Promise<EngineAnswer>;

  /**
   * Picks up an answer that the engine still generates or keeps.
   *
   * @param attempt - The attempt that started it.
   * @param fromToken - Tokens of that attempt that the caller has already.
   * @param stallTimeout - Longest silence, milliseconds.
   */
  abstract resume(
    attempt: string,
    fromToken: number,
    stallTimeout: number,
    signal: AbortSignal,
  ): Promise<EngineAnswer>;

  /** Stops an attempt; unknown attempts are ignored. */
  abstract cancel(attempt: string): Promise<void>;

  abstract readLoad(signal: AbortSignal): Promise<EngineLoad>;

  /** Reads cache events from a sequence number on; events come late and with gaps. */
  abstract readCacheEvents(fromSequence: number, signal: AbortSignal): Promise<CacheEventPage>;

  /** Gives an order; resolves once it has been carried out. */
  abstract order(order: EngineOrder, signal: AbortSignal): Promise<void>;
}
