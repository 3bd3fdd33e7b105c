/**
 * Distinguishes a reset of a connection from an ordinary end.
 *
 * When a connection is reset, the HTTP client treats an answer without a length as complete. In addition, an operating
 * system may report a reset that follows data as an ordinary end; the socket then has no remote address any more. The
 * client's listeners run in the same event, after the listeners that are added here.
 */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";

/** The part of a socket that the monitor uses. */
export type MonitoredSocket = Pick<Socket, "prependListener" | "remoteAddress">;

export interface ResetMonitor {
  /** True while the listeners of a reset connection run. */
  readonly isResetting: () => boolean;
  readonly monitor: (socket: MonitoredSocket) => void;
  /** @returns A connector that monitors the sockets that `open` connects. */
  readonly connector: (open: buildConnector.connector) => buildConnector.connector;
}

/** Creates a monitor without sockets. */
export const createResetMonitor = (): ResetMonitor => {
  let isResetting = false;

  const noteReset = (): void => {
    isResetting = true;
    queueMicrotask(() => {
      isResetting = false;
    });
  };

  const monitor = (socket: MonitoredSocket): void => {
    socket.prependListener("error", noteReset);
    socket.prependListener("end", () => {
      if (socket.remoteAddress === undefined) noteReset();
    });
  };

  return {
    isResetting: () => isResetting,
    monitor,
    connector: (open) => (options, done) => {
      open(options, (...result) => {
        // If the connection failed, there is no socket to monitor.
        if (result[0] === null) monitor(result[1]);
        done(...result);
      });
    },
  };
};
