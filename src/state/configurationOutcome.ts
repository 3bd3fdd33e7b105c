/** What became of a record of the configuration stream. */
import type { FileProblem } from "../protocol/errors.ts";

/** Why a record changed nothing, for all readers alike. */
export type VoidReason =
  /** Not a record of the configuration stream. */
  | { readonly kind: "unreadable" }
  /** Another publication with the same base was first; `beatenBy` is its version. */
  | { readonly kind: "stale_base"; readonly base: number | null; readonly beatenBy: number }
  /** Based on a version that is not in force, nor was before. */
  | { readonly kind: "unknown_base"; readonly base: number }
  /** The result is no valid configuration. */
  | { readonly kind: "invalid"; readonly problems: readonly FileProblem[] }
  /** The result is not what the publisher meant. */
  | { readonly kind: "digest_mismatch"; readonly expected: string; readonly found: string }
  /** Restates a version that is no longer in force. */
  | { readonly kind: "older_restatement"; readonly version: number; readonly inForce: number | undefined };

/** What became of a record, by its offset. */
export type ConfigurationOutcome =
  /** In force as `version`, which is the record's offset. */
  | { readonly kind: "applied"; readonly offset: number; readonly version: number }
  /** Restates what is in force, or gives it to a reader that could not know it. */
  | { readonly kind: "restated"; readonly offset: number; readonly version: number }
  | { readonly kind: "void"; readonly offset: number; readonly reason: VoidReason }
  /** Handed over before; nothing changed. */
  | { readonly kind: "seen"; readonly offset: number }
  /** Records before it expired unread, so its fate waits for a restatement or a peer's snapshot. */
  | { readonly kind: "undecided"; readonly offset: number };

/** What became of a state that a peer sent. */
export type Adoption =
  | { readonly kind: "adopted"; readonly version: number }
  /** Nothing in it is newer. */
  | { readonly kind: "unchanged" }
  /** The changes start from a version that is not in force here; ask for a snapshot. */
  | { readonly kind: "other_base" }
  | { readonly kind: "refused"; readonly reason: VoidReason };
