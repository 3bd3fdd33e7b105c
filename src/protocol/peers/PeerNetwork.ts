/** Communication between routers, independent of the transport. */
import type { Answer, PeerMessage, Question, Router } from "./generated/pomelocleat/peers/v1/peers_pb.ts";

/** An outgoing stream of messages to one peer. */
export interface PeerLink extends AsyncDisposable {
  /**
   * Sends a message; messages arrive in order.
   *
   * @param message - An encoded `PeerMessage`, so that a message to many peers is encoded only once.
   * @returns False if the stream has ended, or is ended by this call because too much data is unsent.
   */
  readonly send: (message: Uint8Array) => boolean;
  /** Resolves when the stream has ended, whatever the reason. */
  readonly ended: Promise<void>;
}

/** Client side of the connections to peers. */
export abstract class PeerNetwork {
  /**
   * Sends a question to a peer and verifies that the answer comes from a router.
   *
   * @param url - The peer's `peerUrl`.
   * @returns The answer.
   * @throws `PeerError`.
   */
  abstract ask(url: string, question: Question, signal: AbortSignal): Promise<Answer>;

  /**
   * Opens the message stream of a session.
   *
   * @param session - The session id from the peer's `Joined` answer.
   */
  abstract open(url: string, session: Uint8Array): PeerLink;
}

/** Server side of the connections: handles what peers send. */
export interface PeerHandler {
  /** Answers a question; throws `PeerError` to refuse it. */
  readonly answer: (question: Question) => Answer;
  /**
   * Handles a message of a stream.
   *
   * @param sender - The router that opened the session with `Join`.
   * @returns False to end the stream.
   */
  readonly receive: (sender: Router, message: PeerMessage) => boolean;
  /** Called when a peer's stream has ended. */
  readonly streamEnded: (sender: Router) => void;
}
