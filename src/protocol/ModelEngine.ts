import type { CacheEventPage, EngineAnswer, EngineCall, EngineLoad, EngineOrder } from "./types.ts";

/**
 * Client of one engine VM. Support for another wire protocol is another implementation of this class; the scheduling
 * and retry code stays the same.
 *
 * Every method throws `UpstreamError`.
 */
export abstract class ModelEngine {
  /** Sends a request; resolves once the engine has accepted it. */
  abstract complete(call: EngineCall, signal: AbortSignal): Promise<EngineAnswer>;

  /**
   * Reconnects to an answer that the engine is still generating, or has generated and still keeps.
   *
   * @param attempt - Id of the attempt that started the answer.
   * @param fromToken - Number of tokens of that attempt that the caller has already received.
   * @param stallTimeout - Longest time without data before the stream fails, milliseconds.
   */
  abstract resume(
    attempt: string,
    fromToken: number,
    stallTimeout: number,
    signal: AbortSignal,
  ): Promise<EngineAnswer>;

  /** Cancels an attempt; ids that the engine does not know are ignored. */
  abstract cancel(attempt: string): Promise<void>;

  abstract readLoad(signal: AbortSignal): Promise<EngineLoad>;

  /** Reads cache events from a sequence number; events arrive late, and some are missing. */
  abstract readCacheEvents(fromSequence: number, signal: AbortSignal): Promise<CacheEventPage>;

  /** Sends an order (a command that changes the engine's state); resolves once it has been carried out. */
  abstract order(order: EngineOrder, signal: AbortSignal): Promise<void>;
}
