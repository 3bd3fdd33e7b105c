/**
 * One HTTP/2 connection to one peer, opened when it is needed.
 *
 * It replaces Connect's own session manager, which removes its error listener from a session that it abandons: if
 * GOAWAY then arrives, the session emits an unhandled error, which ends the process. Here the listener stays.
 */
import { connect } from "node:http2";
import type { ClientHttp2Session, ClientHttp2Stream, OutgoingHttpHeaders } from "node:http2";

/** The methods that Connect's transport requires of its `sessionManager`. */
export interface PeerSession {
  readonly authority: string;
  readonly request: (
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: object,
  ) => Promise<ClientHttp2Stream>;
  readonly notifyResponseByteRead: (stream: ClientHttp2Stream) => void;
  /** Destroys the connection and all streams on it. */
  readonly abort: () => void;
}

/** Milliseconds. */
const connectTimeout = 1_000;

const openSession = (authority: string): ClientHttp2Session => {
  const session = connect(authority);
  session.on("error", () => session.destroy());
  session.on("goaway", () => session.destroy());
  session.setTimeout(connectTimeout, () => {
    if (session.connecting) session.destroy();
  });
  return session;
};

/**
 * Creates a session; the connection is opened with the first request.
 *
 * @param url - The peer's `peerUrl`.
 */
export const createPeerSession = (url: string): PeerSession => {
  const authority = new URL(url).origin;
  let session: ClientHttp2Session | undefined;

  const currentSession = (): ClientHttp2Session => {
    if (session === undefined || session.closed || session.destroyed) session = openSession(authority);
    return session;
  };

  return {
    authority,
    // eslint-disable-next-line @typescript-eslint/require-await -- errors must reject the promise
    request: async (method, path, headers, options) =>
      currentSession().request({ ...headers, ":method": method, ":path": path }, options),
    notifyResponseByteRead: () => undefined,
    abort: () => session?.destroy(),
  };
};
