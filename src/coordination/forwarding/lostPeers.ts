/** Contact with routers that were silent for so long that they no longer count as serving. */
import type { DatagramAddress } from "../../protocol/forwarding/DatagramLink.ts";
import type { Clock } from "../clock.ts";
import { lostPeerInterval, maxLostPeersPerInterval } from "./constants.ts";
import type { PeerTable } from "./peerTable.ts";

/**
 * Creates a function that sends a message to some lost peers in turn now and then; to be called at every tick. A peer
 * that receives one adds its sender and answers as to a new router.
 *
 * @param send - Sends this router's state to an address.
 */
export const createLostPeerContact = (
  peers: Pick<PeerTable, "lost">,
  clock: Clock,
  send: (at: DatagramAddress) => void,
): (() => void) => {
  let contactedAt = clock.monotonic();
  let turn = 0;
  return () => {
    const now = clock.monotonic();
    if (now < contactedAt + lostPeerInterval) return;
    contactedAt = now;
    const lost = peers.lost();
    const count = Math.min(maxLostPeersPerInterval, lost.length);
    const first = count === 0 ? 0 : turn % lost.length;
    for (const at of [...lost, ...lost].slice(first, first + count)) send(at);
    turn += count;
  };
};
