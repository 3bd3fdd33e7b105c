/** Results of applying a record of the log's configuration stream, or the state of a peer. */
import type { FileProblem } from "../protocol/errors.ts";

/** Why a record has no effect. Every reader comes to the same reason. */
export type VoidReason =
  /** The record cannot be decoded. */
  | { readonly kind: "unreadable" }
  /** Another publication with the same base came first; `beatenBy` is its version. */
  | { readonly kind: "stale_base"; readonly base: number | null; readonly beatenBy: number }
  /** Based on a version that is not in force and never was. */
  | { readonly kind: "unknown_base"; readonly base: number }
  /** The resulting configuration is invalid. */
  | { readonly kind: "invalid"; readonly problems: readonly FileProblem[] }
  /** The digest of the resulting configuration differs from the one that the publisher gave. */
  | { readonly kind: "digest_mismatch"; readonly expected: string; readonly found: string }
  /** Republishes a version that is no longer in force. */
  | { readonly kind: "older_restatement"; readonly version: number; readonly inForce: number | undefined };

/** The outcome of a record; `offset` is the record's offset in the log. */
export type ConfigurationOutcome =
  /** The configuration is in force as `version`, which is the record's offset. */
  | { readonly kind: "applied"; readonly offset: number; readonly version: number }
  /** Republishes the version in force, or provides it to a reader that could not reconstruct it. */
  | { readonly kind: "restated"; readonly offset: number; readonly version: number }
  | { readonly kind: "void"; readonly offset: number; readonly reason: VoidReason }
  /** The record was applied before; nothing changed. */
  | { readonly kind: "seen"; readonly offset: number }
  /** Records before it expired unread: its outcome is open until a republication or a peer's snapshot arrives. */
  | { readonly kind: "undecided"; readonly offset: number };

/** The outcome of adopting the state that a peer sent. */
export type AdoptionOutcome =
  | { readonly kind: "adopted"; readonly version: number }
  /** It is no newer than the local state. */
  | { readonly kind: "unchanged" }
  /** The changes are based on a version that is not in force here; a snapshot is needed. */
  | { readonly kind: "other_base" }
  | { readonly kind: "refused"; readonly reason: VoidReason };
