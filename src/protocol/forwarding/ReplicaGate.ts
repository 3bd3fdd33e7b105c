import type { UpstreamError } from "../errors.ts";
import type { ReplicaEntry, ReplicaReport } from "./types.ts";

/** One request, or one call of the system's own, on its way to a replica and back. */
export interface ReplicaPass {
  /**
   * Asked right before the first byte leaves: the request may have been queued for a connection since it was placed.
   *
   * @returns Why nothing may be sent to the replica now; nothing if it may.
   */
  readonly withhold: () => UpstreamError | undefined;
  /** The head of the answer has come. */
  readonly observe: (report: ReplicaReport) => void;
}

/** What everything that is sent to a replica passes: the last check before it leaves, and the observer of answers. */
export interface ReplicaGate {
  /** @param requestId - The caller's request; nothing for a call of the system's own. */
  readonly enter: (replica: ReplicaEntry, requestId: string | undefined) => ReplicaPass;
}

/** Lets everything pass and observes nothing. */
export const openGate: ReplicaGate = {
  enter: () => ({ withhold: () => undefined, observe: () => undefined }),
};
