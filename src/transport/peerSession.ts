/**
 * One HTTP/2 connection to one peer, opened when it is needed.
 *
 * Connect's own manager takes its error listener off a session that it gives up; a session that is told GOAWAY
 * just then emits an error that nobody hears, which ends the process. Here the listener stays.
 */
import { connect } from "node:http2";
import type { ClientHttp2Session, ClientHttp2Stream, OutgoingHttpHeaders } from "node:http2";

/** What Connect's transport takes as its `sessionManager`. */
export interface PeerSession {
  readonly authority: string;
  readonly request: (
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: object,
  ) => Promise<ClientHttp2Stream>;
  readonly notifyResponseByteRead: (stream: ClientHttp2Stream) => void;
  /** Cuts the connection and every stream on it. */
  readonly abort: () => void;
}

/** How long a connection may take to open, milliseconds. */
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

/** @param url - The peer's `peerUrl`. */
export const createPeerSession = (url: string): PeerSession => {
  const authority = new URL(url).origin;
  let session: ClientHttp2Session | undefined;

  const current = (): ClientHttp2Session => {
    if (session === undefined || session.closed || session.destroyed) session = openSession(authority);
    return session;
  };

  return {
    authority,
    // eslint-disable-next-line @typescript-eslint/require-await -- a failure must be a rejection
    request: async (method, path, headers, options) =>
      current().request({ ...headers, ":method": method, ":path": path }, options),
    notifyResponseByteRead: () => undefined,
    abort: () => session?.destroy(),
  };
};
