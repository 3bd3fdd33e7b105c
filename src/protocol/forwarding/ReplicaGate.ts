import type { UpstreamError } from "../errors.ts";
import type { ReplicaEntry, ReplicaReport } from "./types.ts";

/** One call to a replica: a caller's request or a call of the system itself. */
export interface ReplicaPass {
  /**
   * Checked right before the first byte is written, since the request may have waited for a connection after its
   * replica was chosen.
   *
   * @returns Why nothing may be sent to the replica now; `undefined` if the request may be sent.
   */
  readonly withhold: () => UpstreamError | undefined;
  /** Called with the head of the response. */
  readonly observe: (report: ReplicaReport) => void;
}

/** The last check before anything is sent to a replica, and the observer of the responses. */
export interface ReplicaGate {
  /** @param requestId - The id of the caller's request; `undefined` for the system's own calls. */
  readonly enter: (replica: ReplicaEntry, requestId: string | undefined) => ReplicaPass;
}

/** A gate that allows every call and ignores the responses. */
export const openGate: ReplicaGate = {
  enter: () => ({ withhold: () => undefined, observe: () => undefined }),
};
