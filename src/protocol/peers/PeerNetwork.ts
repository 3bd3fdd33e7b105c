/** How routers reach one another, whatever carries it. */
import type { Answer, PeerMessage, Question, Router } from "./generated/pomelocleat/peers/v1/peers_pb.ts";

/** This process's stream to one peer. */
export interface PeerLink extends AsyncDisposable {
  /**
   * Sends a message, in order.
   *
   * @param message - An encoded `PeerMessage`; encode once what goes to many.
   * @returns False if the stream has ended, or so much is unsent that it is ended now.
   */
  readonly send: (message: Uint8Array) => boolean;
  /** Resolves when the stream has ended, for whatever reason. */
  readonly ended: Promise<void>;
}

/** Connections to peers. */
export abstract class PeerNetwork {
  /**
   * Asks a peer; the answer is proved to come from one.
   *
   * @param url - The peer's `peerUrl`.
   * @returns The answer; throws `PeerError`.
   */
  abstract ask(url: string, question: Question, signal: AbortSignal): Promise<Answer>;

  /**
   * Opens the stream of a session.
   *
   * @param session - As the peer's `Joined` named it.
   */
  abstract open(url: string, session: Uint8Array): PeerLink;
}

/** What a process does with what peers send. */
export interface PeerHandler {
  /** Answers a peer; throws `PeerError` to refuse. */
  readonly answer: (question: Question) => Answer;
  /**
   * Takes a message of a stream.
   *
   * @param sender - The router that joined.
   * @returns False to end the stream.
   */
  readonly receive: (sender: Router, message: PeerMessage) => boolean;
  /** A peer's stream has ended. */
  readonly streamEnded: (sender: Router) => void;
}
