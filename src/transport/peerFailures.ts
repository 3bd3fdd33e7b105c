/** Failures between routers, as Connect carries them. */
import { Code, ConnectError } from "@connectrpc/connect";
import type { PeerFault } from "../protocol/peers/errors.ts";
import { PeerError, peerError } from "../protocol/peers/errors.ts";

const codes = {
  unreachable: Code.Unavailable,
  refused: Code.FailedPrecondition,
  forged: Code.Unauthenticated,
  replayed: Code.Unauthenticated,
  clock: Code.Unauthenticated,
  malformed: Code.InvalidArgument,
} as const satisfies Record<PeerFault, Code>;

/** @returns What a caller is told of a failure; nothing of this process's inside. */
export const toConnectError = (error: unknown): ConnectError =>
  error instanceof PeerError
    ? new ConnectError(error.message, codes[error.fault])
    : new ConnectError("The peer failed.", Code.Internal);

const refusalCodes: readonly Code[] = [Code.FailedPrecondition, Code.Unauthenticated, Code.InvalidArgument];

/** @returns The failure of a call to a peer. */
export const toPeerError = (url: string, cause: unknown): PeerError => {
  if (cause instanceof PeerError) return cause;
  const refused = cause instanceof ConnectError && refusalCodes.includes(cause.code);
  return peerError(`The peer at ${url} did not answer.`, refused ? "refused" : "unreachable", cause);
};
