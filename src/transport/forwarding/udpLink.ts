/** Datagrams between routers over UDP. */
import { createSocket } from "node:dgram";
import type { Socket, SocketOptions } from "node:dgram";
import type { DatagramAddress } from "../../protocol/forwarding/DatagramLink.ts";
import { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";

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
    // A datagram that can't be sent is a lost one.
    this.socket.send(datagram, port, address, () => undefined);
  }

  override receive(listener: (datagram: Buffer, from: DatagramAddress) => void): void {
    this.socket.on("message", (datagram, { address, port }) => listener(datagram, { address, port }));
  }

  override [Symbol.asyncDispose](): Promise<void> {
    this.isClosed = true;
    return new Promise((resolve) => this.socket.close(() => resolve()));
  }
}

/** Addresses come as numbers: they go out in the same turn instead of through the queue of name lookups. */
const lookUpNothing: NonNullable<SocketOptions["lookup"]> = (address, _options, take) =>
  take(null, address, 4);

/** Opens a socket at an address. */
export const openUdpLink = async ({ address, port }: DatagramAddress): Promise<DatagramLink> => {
  const socket = createSocket({ type: "udp4", lookup: lookUpNothing });
  await new Promise<void>((resolve, reject) => {
    socket.once("error", reject);
    socket.bind(port, address, resolve);
  });
  socket.removeAllListeners("error");
  // A failed send tells nothing that silence doesn't tell.
  socket.on("error", () => undefined);
  return new UdpLink(socket);
};
