/** What is known of a prompt's shared parts when it is sent: for saving them, and for waiting for them. */
import type { CacheStore, EngineCapacity, Prompt } from "../../protocol/forwarding/types.ts";
import type { CacheHolders, HeldPrompt } from "./cacheHolders.ts";
import { partWorthWaiting } from "./constants.ts";
import type { SaveCandidate } from "./partSaving.ts";
import type { PromptView } from "./promptView.ts";

const bitsPerByte = 8;

/** Bits a millisecond in a megabit a second. */
const bitsPerMegabit = 1_000;

/** @returns Milliseconds that a link takes for a prompt's tokens. */
export const transferTime = ({ bytesPerToken }: EngineCapacity, tokens: number, megabits: number): number =>
  (tokens * bytesPerToken * bitsPerByte) / (megabits * bitsPerMegabit);

/** What {@link describeShared} looks at. */
export interface SharedSurroundings {
  readonly holders: Pick<CacheHolders, "deepestKey" | "wasUsed">;
  readonly engine: EngineCapacity;
  readonly store: CacheStore | undefined;
  /** The prompt's weights are the newest: parts of weights that are about to go are not worth a transfer. */
  readonly isNewest: boolean;
  /** Prompt tokens that the chosen engine computes in a millisecond. */
  readonly rate: number;
}

/** @returns What saving a prompt's parts is decided by; nothing if it shares none. */
export const describeShared = (
  prompt: Prompt,
  view: PromptView,
  { holders, engine, store, isNewest, rate }: SharedSurroundings,
): SaveCandidate | undefined => {
  const key = holders.deepestKey(view.salt, prompt);
  if (key === undefined) return undefined;
  const isHeld = ([id, held]: readonly [string, HeldPrompt]): boolean =>
    id !== store?.address && held.tokens >= view.reusable;
  return {
    store: isNewest ? store : undefined,
    wasUsed: holders.wasUsed(key),
    isKept: [...view.held].some(isHeld),
    isSaved: (view.held.get(store?.address ?? "")?.tokens ?? 0) >= view.reusable,
    computingTime: view.reusable / rate,
    share: view.reusable / Math.max(1, prompt.tokens),
    transferTime: store === undefined ? 0 : transferTime(engine, prompt.tokens, store.linkMegabits),
  };
};

/**
 * @param isEngine - Whether a holder computes parts itself.
 * @param rate - Prompt tokens that the chosen engine computes in a millisecond.
 * @returns The key of a part that an engine is computing, where computing it again takes longer than a short wait.
 */
export const findAwaited = (
  view: PromptView,
  isEngine: (holder: string) => boolean,
  rate: number,
): number | undefined => {
  let awaited: HeldPrompt | undefined;
  for (const [holder, held] of view.held) {
    if (isEngine(holder) && held.tokens > (awaited?.tokens ?? view.most)) awaited = held;
  }
  const gained = (awaited?.tokens ?? 0) - view.most;
  return gained / rate > partWorthWaiting ? awaited?.computing : undefined;
};
