/** Results of placement, for plain replicas and model engines alike. */
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { QueuedWork } from "./queuedWork.ts";
import type { SaveCandidate } from "./partSaving.ts";
import type { NetworkAddress } from "../../protocol/networkAddress.ts";

/** The replica chosen for a request, with what is sent along and what was predicted. Durations are milliseconds. */
export interface PlacementChoice {
  readonly replica: ReplicaState;
  /**
   * The home of the prompt's deepest shared part, where all routers expect the part and whose owner knows its holders;
   * `undefined` if the home itself is chosen.
   */
  readonly home: ReplicaState | undefined;
  readonly weightsVersion: number | undefined;
  readonly cacheSalt: string | undefined;
  /** `IP:PORT` of a replica or store to copy cached parts from. */
  readonly fetchFrom: NetworkAddress | undefined;
  /** What the decision to save the prompt's parts depends on; `undefined` if there are none to save. */
  readonly sharedParts: SaveCandidate | undefined;
  /** For engines only: 0 is the most urgent. */
  readonly priority: number | undefined;
  /** Computing the prompt takes longer than the shortest interval between two messages to a peer. */
  readonly outlastsMessageInterval: boolean;
  /** Key of a prompt part that an engine is computing and that is worth waiting for. */
  readonly awaitedPart: number | undefined;
  /** Prompt tokens that the replica is expected to compute. */
  readonly promptTokens: number;
  /** Memory tokens that the request holds or will need there; 0 where memory is not counted. */
  readonly reservedTokens: number;
  /** Predicted time until the answer starts. */
  readonly predictedWait: number;
  /** The part of `predictedWait` that passes before the replica starts on the request. */
  readonly queueWait: number;
  /** What is queued at the replica, over all priorities. */
  readonly queued: QueuedWork;
}

/** Why no replica was chosen. */
export type PlacementFailure = "no_replica" | "old_weights" | "limited";

/**
 * Which replicas with a rate limit are candidates: `open`, all but those known to have no room now; `none`; `all`, to
 * reserve a future grant if no other replica is left.
 */
export type LimitedCandidates = "open" | "none" | "all";

/** What the owners of replicas are queried for before a request is placed. */
export interface Shortlist {
  readonly replicas: readonly ReplicaState[];
  /** Keys of the prompt's parts. */
  readonly keys: readonly number[];
}
