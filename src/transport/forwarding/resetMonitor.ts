/**
 * Tells an end of a connection from a reset.
 *
 * The HTTP client takes an answer without a length for whole when its connection is reset, and a system may report
 * a reset that follows data as an ordinary end; then the connection has no peer any more. The client's listeners run
 * within the same event, after the ones here.
 */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";

/** What is looked at of a socket. */
export type WatchedSocket = Pick<Socket, "prependListener" | "remoteAddress">;

/** See {@link createResetWatch}. */
export interface ResetWatch {
  /** True while a connection that was reset is being taken down. */
  readonly isResetting: () => boolean;
  readonly watch: (socket: WatchedSocket) => void;
  /** @returns A connector whose sockets are watched. */
  readonly connector: (open: buildConnector.connector) => buildConnector.connector;
}

/** Creates a watch over no socket. */
export const createResetWatch = (): ResetWatch => {
  let isResetting = false;

  const noteReset = (): void => {
    isResetting = true;
    queueMicrotask(() => {
      isResetting = false;
    });
  };

  const watch = (socket: WatchedSocket): void => {
    socket.prependListener("error", noteReset);
    socket.prependListener("end", () => {
      if (socket.remoteAddress === undefined) noteReset();
    });
  };

  return {
    isResetting: () => isResetting,
    watch,
    connector: (open) => (options, done) => {
      open(options, (...result) => {
        // Without a connection there is an error, and no socket at all.
        if (result[0] === null) watch(result[1]);
        done(...result);
      });
    },
  };
};
