import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";

/** A request that was in flight at a replica when it crashed. */
export interface Suspect {
  readonly fingerprint: Fingerprint;
  /** Part of its answer had come: the cause more often crashes its replica as it begins. */
  readonly hasBegun: boolean;
}

/** A replica's process has ended with requests in flight. */
export interface ReplicaCrash {
  /** The incarnation's id. */
  readonly replica: string;
  readonly suspects: readonly Suspect[];
}
