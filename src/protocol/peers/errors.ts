/** Failures between routers. */
import { PomelocleatError } from "../errors.ts";

/**
 * - `unreachable`: no connection, no answer in time, or the connection broke.
 * - `refused`: the peer does not accept what it was sent.
 * - `forged`: not sealed with the shared secret.
 * - `replayed`: sealed, but received before.
 * - `clock`: sealed at a time too far from this process's.
 * - `malformed`: sealed, but not of the protocol.
 */
export type PeerFault = "unreachable" | "refused" | "forged" | "replayed" | "clock" | "malformed";

/** A peer did not do what was asked, or is none. */
export const PeerError = PomelocleatError.subclass("PeerError", {
  props: { fault: "unreachable" as PeerFault },
});
export type PeerError = InstanceType<typeof PeerError> & Error;

/** Makes a {@link PeerError}. */
export const peerError = (message: string, fault: PeerFault, cause?: unknown): PeerError => {
  const error: PeerError = new PeerError(message, { props: { fault } });
  if (cause !== undefined) error.cause = cause;
  return error;
};
