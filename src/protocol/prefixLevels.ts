/**
 * Keys of a prompt's prefix levels: the prefixes of the prompt whose KV cache other requests can reuse.
 *
 * Each key is a chained hash that starts from organisation, model, adapter and weights version, so keys of different
 * organisations, or of older and newer weights, are never equal.
 */
import { charactersPerToken } from "./constants.ts";
import type { PrefixLevel } from "./types.ts";
import createXxhash from "xxhash-wasm";

/** Requests share cached prefixes only if all these fields are equal. */
export interface PrefixScope {
  readonly organisation: string;
  readonly model: string;
  readonly adapter: string | undefined;
  readonly weightsVersion: string;
}

const xxhash = await createXxhash();

/** A 64-bit hash of a short string, for orderings and selections that are the same in every process. */
export const hash64 = (text: string): bigint => xxhash.h64(text);

/** A 64-bit hash of texts, each terminated by a NUL, followed by bytes; the same in every process. */
export const hashTexts = (texts: readonly string[], bytes: Uint8Array): bigint => {
  const hash = xxhash.create64();
  for (const text of texts) hash.update(text).update("\u0000");
  return hash.update(bytes).digest();
};

/** A 32-bit hash of a short string. */
export const hash32 = (text: string): number => xxhash.h32(text);

/**
 * Computes the prefix levels of a prompt.
 *
 * @param scope - The salt of the keys.
 * @param segments - The prompt's text, split at the ends of the levels.
 * @returns One level for each segment, from the shortest prefix to the whole prompt.
 */
export const computePrefixLevels = (
  scope: PrefixScope,
  segments: readonly string[],
): readonly PrefixLevel[] => {
  const salt = [scope.organisation, scope.model, scope.adapter ?? "", scope.weightsVersion].join("\u0000");
  const hash = xxhash.create64().update(salt);
  let characters = 0;
  return segments.map((segment) => {
    hash.update("\u0001").update(segment);
    characters += segment.length;
    return {
      key: hash.digest().toString(16).padStart(16, "0"),
      tokens: Math.ceil(characters / charactersPerToken),
    };
  });
};

/**
 * Computes the cache salt that is sent to engines, so that no organisation can reuse another's cached blocks.
 *
 * @param organisation - The organisation's name.
 */
export const cacheSalt = (organisation: string): string =>
  xxhash.h64(`cache-salt\u0000${organisation}`).toString(16);
