/** Which replicas are believed to keep which prompt parts, by what was sent there. */
import type { Prompt } from "../../protocol/forwarding/types.ts";
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { Clock } from "../clock.ts";
import { holderMemory, mostParts } from "./constants.ts";

/** How much of a prompt a replica is believed to keep. */
export interface HeldPrompt {
  readonly tokens: number;
  /** When it was last used there, milliseconds on the monotonic clock. */
  readonly usedAt: number;
}

/** See {@link createCacheHolders}. */
export interface CacheHolders {
  /** @returns By replica: how much of the prompt's reusable parts it is believed to keep. */
  readonly find: (salt: string, prompt: Prompt) => ReadonlyMap<string, HeldPrompt>;
  /**
   * A replica has computed the prompt, or copied it.
   *
   * @returns The key of the deepest reusable part; nothing if there is none.
   */
  readonly note: (salt: string, prompt: Prompt, replica: string) => number | undefined;
  /** A peer tells of a part. */
  readonly noteKey: (key: number, replica: string) => void;
  /** A replica is gone, or has lost what it kept. */
  readonly forget: (replica: string) => void;
}

/** Parts that other requests may have too: all but the last. */
export const reusableParts = ({ parts }: Prompt): Prompt["parts"] => parts.slice(0, -1);

/** Short, since routers tell one another; two parts with one key cost a copy that finds nothing. */
const keyOf = (salt: string, id: string): number => hash32(`${salt}\u0000${id}`);

/** Creates beliefs about nothing. */
export const createCacheHolders = (clock: Clock): CacheHolders => {
  /** The part that was used longest ago comes first. */
  const parts = new Map<number, Map<string, number>>();

  const noteKey = (key: number, replica: string): void => {
    const now = clock.monotonic();
    const holders = parts.get(key) ?? new Map<string, number>();
    holders.set(replica, now);
    parts.delete(key);
    parts.set(key, holders);
    const oldest = parts.size > mostParts ? parts.keys().next().value : undefined;
    if (oldest !== undefined) parts.delete(oldest);
  };

  return {
    find: (salt, prompt) => {
      const held = new Map<string, HeldPrompt>();
      const oldest = clock.monotonic() - holderMemory;
      let tokens = 0;
      for (const part of reusableParts(prompt)) {
        tokens += part.tokens;
        for (const [replica, usedAt] of parts.get(keyOf(salt, part.id)) ?? []) {
          if (usedAt > oldest) held.set(replica, { tokens, usedAt });
        }
      }
      return held;
    },
    note: (salt, prompt, replica) => {
      const keys = reusableParts(prompt).map(({ id }) => keyOf(salt, id));
      for (const key of keys) noteKey(key, replica);
      return keys.at(-1);
    },
    noteKey,
    forget: (replica) => {
      for (const holders of parts.values()) holders.delete(replica);
    },
  };
};
