/** Exchange of datagrams between routers over UDP. */
import { createSocket } from "node:dgram";
import type { Socket, SocketOptions } from "node:dgram";
import type { DatagramAddress } from "../../protocol/forwarding/DatagramLink.ts";
import { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import { guardCallback, reportTaskFailure } from "../../state/backgroundTasks.ts";

class UdpLink extends DatagramLink {
  private readonly socket: Socket;
  private isClosed = false;

  constructor(socket: Socket) {
    super();
    this.socket = socket;
  }

  override get port(): number {
    return this.socket.address().port;
  }

  override send({ address, port }: DatagramAddress, datagram: Buffer): void {
    if (this.isClosed) return;
    try {
      // A datagram that can't be sent counts as lost.
      this.socket.send(datagram, port, address, () => undefined);
    } catch (error) {
      reportTaskFailure("sendDatagram", error, `${address}:${port}`);
    }
  }

  override receive(listener: (datagram: Buffer, from: DatagramAddress) => void): void {
    const deliver = guardCallback("receiveDatagram", listener, (_datagram, { address }) => address);
    this.socket.on("message", (datagram, { address, port }) => deliver(datagram, { address, port }));
  }

  override [Symbol.asyncDispose](): Promise<void> {
    this.isClosed = true;
    return new Promise((resolve) => this.socket.close(() => resolve()));
  }
}

/**
 * Skips the DNS lookup, since addresses are numeric. Datagrams are then sent in the same tick of the event loop instead
 * of waiting in the queue of lookups.
 */
const skipLookup: NonNullable<SocketOptions["lookup"]> = (address, _options, callback) =>
  callback(null, address, 4);

/** Opens a link that is bound to an address. */
export const openUdpLink = async ({ address, port }: DatagramAddress): Promise<DatagramLink> => {
  const socket = createSocket({ type: "udp4", lookup: skipLookup });
  await new Promise<void>((resolve, reject) => {
    socket.once("error", reject);
    socket.bind(port, address, resolve);
  });
  socket.removeAllListeners("error");
  // A failed send needs no handling of its own: the peer's missing messages show the same.
  socket.on("error", () => undefined);
  return new UdpLink(socket);
};
