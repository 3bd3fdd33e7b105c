/** Errors in the communication between routers. */
import { PomelocleatError } from "../errors.ts";

/**
 * The kind of failure.
 *
 * - `unreachable`: no connection, no answer in time, or the connection broke.
 * - `refused`: the peer does not accept the message.
 * - `forged`: the proof was not made with the shared secret.
 * - `replayed`: the proof is valid, but the question was received before.
 * - `clock`: the proof is valid, but the question's timestamp differs too much from this process's clock.
 * - `malformed`: the proof is valid, but the contents don't follow the protocol.
 */
export type PeerFault = "unreachable" | "refused" | "forged" | "replayed" | "clock" | "malformed";

/** A peer refused or failed, or the other side is not a router of this system. */
export const PeerError = PomelocleatError.subclass("PeerError", {
  props: { fault: "unreachable" as PeerFault },
});
export type PeerError = InstanceType<typeof PeerError> & Error;

/** Creates a {@link PeerError}. */
export const peerError = (message: string, fault: PeerFault, cause?: unknown): PeerError => {
  const error: PeerError = new PeerError(message, { props: { fault } });
  if (cause !== undefined) error.cause = cause;
  return error;
};
