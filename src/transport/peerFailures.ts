/** Converts failures between routers to and from Connect's errors. */
import { Code, ConnectError } from "@connectrpc/connect";
import type { PeerFault } from "../protocol/peers/errors.ts";
import { PeerError, peerError } from "../protocol/peers/errors.ts";

const connectCodes = {
  unreachable: Code.Unavailable,
  refused: Code.FailedPrecondition,
  forged: Code.Unauthenticated,
  replayed: Code.Unauthenticated,
  clock: Code.Unauthenticated,
  malformed: Code.InvalidArgument,
} as const satisfies Record<PeerFault, Code>;

/** @returns The error that is sent to the calling peer; details of unexpected errors are not disclosed. */
export const toConnectError = (error: unknown): ConnectError =>
  error instanceof PeerError
    ? new ConnectError(error.message, connectCodes[error.fault])
    : new ConnectError("Internal peer error.", Code.Internal);

const refusalCodes: readonly Code[] = [Code.FailedPrecondition, Code.Unauthenticated, Code.InvalidArgument];

/** Classifies the error of a call to a peer: `refused` if the peer rejected it, otherwise `unreachable`. */
export const toPeerError = (url: string, cause: unknown): PeerError => {
  if (cause instanceof PeerError) return cause;
  const refused = cause instanceof ConnectError && refusalCodes.includes(cause.code);
  return peerError(`The call to the peer at ${url} failed.`, refused ? "refused" : "unreachable", cause);
};
