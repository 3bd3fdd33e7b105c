/** What rides on the messages between peers: load reports, the configuration, summaries, demand. */
import type { PeerMessage, Router } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";

/** One matter that peers tell each other about. Everything but `receive` fills in the message handed over. */
export abstract class PeerMessageExtension {
  /** Adds what is new for every peer of the data centre. */
  readonly addToHeartbeat: (message: PeerMessage) => void = () => undefined;

  /** Adds what a peer needs whose stream has just been opened. */
  readonly addToFirstMessage: (message: PeerMessage) => void = () => undefined;

  /** Adds what another data centre is told. */
  readonly addToRemoteMessage: (message: PeerMessage) => void = () => undefined;

  /** Takes a message of a peer of this data centre, or of another one's representative. */
  abstract readonly receive: (sender: Router, message: PeerMessage) => void;

  /** This process has a new incarnation: peers forget what they were told under the old one. */
  readonly onNewIncarnation: () => void = () => undefined;
}
