/** What requests have in common: any of it may be what crashes the replicas that run them. */
import type { Fingerprint } from "./fingerprint.ts";

/**
 * The kinds of traits, from the narrowest to the broadest.
 *
 * - `content`: everything that a caller asks.
 * - `callerPart`: a shared part of the prompt, in requests of one caller.
 * - `part`: the same part in requests of all callers.
 * - `size`: a model and the size of its prompt, to a power of two.
 * - `model`: a model with its adapter.
 */
export const traitKinds = ["content", "callerPart", "part", "size", "model"] as const;

export type TraitKind = (typeof traitKinds)[number];

/** A trait of a request. */
export interface RequestTrait {
  readonly kind: TraitKind;
  /** What an operator can recognise, such as the id of a prompt part; empty for `content`. */
  readonly name: string;
  readonly fingerprint: Fingerprint;
}
