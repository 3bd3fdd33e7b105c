/** Data that is carried in the heartbeat messages between peers: load reports, the configuration, summaries. */
import type { PeerMessage, Router } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";

/** One kind of data in the messages between peers. The `addTo…` functions fill in fields of the given message. */
export abstract class PeerMessageExtension {
  /** Adds updates to a message for all peers of this data centre. */
  readonly addToHeartbeat: (message: PeerMessage) => void = () => undefined;

  /** Adds the full state to the first message of a stream to a peer of this data centre. */
  readonly addToFirstMessage: (message: PeerMessage) => void = () => undefined;

  /** Adds data to a message for another data centre. */
  readonly addToRemoteMessage: (message: PeerMessage) => void = () => undefined;

  /** Handles a message from a peer of this data centre, or from the representative of another one. */
  abstract readonly receive: (sender: Router, message: PeerMessage) => void;

  /** Called when this process has a new incarnation: peers discard the descriptions sent under the old one. */
  readonly onNewIncarnation: () => void = () => undefined;
}
