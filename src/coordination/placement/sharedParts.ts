/** Describes a prompt's shared parts for the decisions to save them and to wait for them. */
import type { CacheStore, EngineCapacity, Prompt } from "../../protocol/forwarding/types.ts";
import type { CacheHolders, CachedPrompt } from "../forwarding/cacheHolders.ts";
import { minComputingTimeToAwait } from "../forwarding/constants.ts";
import type { SaveCandidate } from "./partSaving.ts";
import type { PromptView } from "./promptView.ts";

const bitsPerByte = 8;

/** Bits per millisecond in one megabit per second. */
const bitsPerMegabit = 1_000;

/**
 * @param tokens - Prompt tokens to transfer.
 * @param megabits - Megabits per second of the link.
 * @returns Milliseconds that the link takes for the tokens' cached data.
 */
export const transferTime = ({ bytesPerToken }: EngineCapacity, tokens: number, megabits: number): number =>
  (tokens * bytesPerToken * bitsPerByte) / (megabits * bitsPerMegabit);

export interface SharedPartsContext {
  readonly holders: Pick<CacheHolders, "deepestKey" | "wasUsed">;
  readonly engine: EngineCapacity;
  readonly store: CacheStore | undefined;
  /** The weights are the newest; parts computed with superseded weights are not worth a transfer. */
  readonly isNewest: boolean;
  /** Prompt tokens that the chosen engine computes per millisecond. */
  readonly prefillRate: number;
}

/** @returns What the decision to save a prompt's parts depends on; `undefined` if none of them is reusable. */
export const describeSharedParts = (
  prompt: Prompt,
  view: PromptView,
  { holders, engine, store, isNewest, prefillRate }: SharedPartsContext,
): SaveCandidate | undefined => {
  const key = holders.deepestKey(view.salt, prompt);
  if (key === undefined) return undefined;
  const isCached = ([id, cached]: readonly [string, CachedPrompt]): boolean =>
    id !== store?.address && cached.tokens >= view.reusableTokens;
  return {
    store: isNewest ? store : undefined,
    wasUsed: holders.wasUsed(key),
    isCached: [...view.cached].some(isCached),
    isSaved: (view.cached.get(store?.address ?? "")?.tokens ?? 0) >= view.reusableTokens,
    computingTime: view.reusableTokens / prefillRate,
    share: view.reusableTokens / Math.max(1, prompt.tokens),
    transferTime: store === undefined ? 0 : transferTime(engine, prompt.tokens, store.linkMegabits),
  };
};

/**
 * @param isEngine - Whether a holder computes parts itself.
 * @param prefillRate - Prompt tokens that the chosen engine computes per millisecond.
 * @returns Key of the deepest part that an engine is computing; `undefined` if the chosen engine would not gain enough
 * time by waiting for it.
 */
export const findAwaitedPart = (
  view: PromptView,
  isEngine: (holder: string) => boolean,
  prefillRate: number,
): number | undefined => {
  let awaited: CachedPrompt | undefined;
  for (const [holder, cached] of view.cached) {
    if (isEngine(holder) && cached.tokens > (awaited?.tokens ?? view.copyableTokens)) awaited = cached;
  }
  const tokensSaved = (awaited?.tokens ?? 0) - view.copyableTokens;
  return tokensSaved / prefillRate > minComputingTimeToAwait ? awaited?.computingKey : undefined;
};
