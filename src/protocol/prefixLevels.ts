/**
 * The identity of a prompt's reusable levels.
 *
 * Each key is a chained hash that starts from organisation, model, adapter and weights version, so a key of
 * one organisation never equals another's, and a key of older weights never equals one of newer weights.
 */
import { charactersPerToken } from "./constants.ts";
import type { PrefixLevel } from "./types.ts";
import createXxhash from "xxhash-wasm";

/** What separates the caches of two requests whose text is the same. */
export interface PrefixScope {
  readonly organisation: string;
  readonly model: string;
  readonly adapter: string | undefined;
  readonly weightsVersion: string;
}

const xxhash = await createXxhash();

/** A 64-bit hash of a short string, for ordering and for picking; the same in every process. */
export const hash64 = (text: string): bigint => xxhash.h64(text);

/** A 64-bit hash of texts, told apart where they end, and of bytes behind them; the same in every process. */
export const hashTexts = (texts: readonly string[], bytes: Uint8Array): bigint => {
  const hash = xxhash.create64();
  for (const text of texts) hash.update(text).update("\u0000");
  return hash.update(bytes).digest();
};

/** A 32-bit hash of a short string. */
export const hash32 = (text: string): number => xxhash.h32(text);

/**
 * Computes the levels of a prompt.
 *
 * @param scope - What the keys are salted with.
 * @param segments - Text between level ends, in order.
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
 * The salt handed to engines so that no organisation can read another's cached blocks.
 *
 * @param organisation - The organisation's name.
 */
export const cacheSalt = (organisation: string): string =>
  xxhash.h64(`cache-salt\u0000${organisation}`).toString(16);
