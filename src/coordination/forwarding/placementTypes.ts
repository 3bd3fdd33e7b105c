/** What placement decides, whatever kind of replica it decides about. */
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { SaveCandidate } from "./partSaving.ts";

/** A replica for a request, with what it is to be told. */
export interface PlacementChoice {
  readonly replica: ReplicaState;
  /** The home of the prompt's deepest shared part, whose owner knows where the part is; nothing if it is chosen. */
  readonly home: ReplicaState | undefined;
  readonly weightsVersion: number | undefined;
  readonly cacheSalt: string | undefined;
  readonly fetchFrom: string | undefined;
  /** What saving its prompt's parts is decided by; nothing where there is no such decision. */
  readonly sharedParts: SaveCandidate | undefined;
  /** For engines: 0 is the most urgent. */
  readonly priority: number | undefined;
  /** Its prompt takes longer than the time between two messages to peers. */
  readonly outlastsMessageInterval: boolean;
  /** The key of a prompt part that an engine is computing, and that is worth waiting for. */
  readonly awaitedPart: number | undefined;
  /** Prompt tokens that it is expected to compute. */
  readonly promptTokens: number;
  /** Predicted time to the beginning of the answer, milliseconds. */
  readonly predictedWait: number;
  /** The part of it that passes before the replica begins with the request. */
  readonly queueWait: number;
}

/** Why there is no choice. */
export type PlacementFailure = "no_replica" | "old_weights" | "limited";

/**
 * Replicas with a limit that a choice is made among: `open`, all but those known to have no room now; `none`; `all`, to
 * book a turn where nothing else is left.
 */
export type LimitedCandidates = "open" | "none" | "all";

/** What is worth asking before a request is placed. */
export interface Shortlist {
  readonly replicas: readonly ReplicaState[];
  /** Of the prompt's parts. */
  readonly keys: readonly number[];
}
