/** The port of a router that others reach: datagrams over UDP, and requests that are passed on over TCP. */
import { once } from "node:events";
import type { AddressInfo, Server } from "node:net";
import { createServer } from "node:net";
import type { DatagramAddress, DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import { openUdpLink } from "./udpLink.ts";

/** How many free ports are tried. */
const maxTries = 5;

/** Both sides of the port; disposing of it closes them. */
export interface PeerPort extends AsyncDisposable {
  readonly link: DatagramLink;
  /** Resets connections until an HTTP server takes it over. */
  readonly listener: Server;
}

const listen = async ({ address, port }: DatagramAddress): Promise<Server> => {
  const listener = createServer((socket) => socket.resetAndDestroy());
  listener.listen(port, address);
  await once(listener, "listening");
  return listener;
};

const open = async (at: DatagramAddress): Promise<PeerPort> => {
  const listener = await listen(at);
  const { port } = listener.address() as AddressInfo;
  try {
    const link = await openUdpLink({ address: at.address, port });
    return {
      link,
      listener,
      [Symbol.asyncDispose]: async () => {
        listener.close();
        await link[Symbol.asyncDispose]();
      },
    };
  } catch (error) {
    listener.close();
    throw error;
  }
};

/**
 * Opens a port for both, and keeps it from other processes until it is disposed of.
 *
 * @param at - Port 0 takes one that is free on both sides.
 */
export const openPeerPort = async (at: DatagramAddress): Promise<PeerPort> => {
  for (let tries = 1; ; tries += 1) {
    try {
      return await open(at);
    } catch (error) {
      const mayRetry = at.port === 0 && tries < maxTries;
      if (!mayRetry || (error as NodeJS.ErrnoException).code !== "EADDRINUSE") throw error;
    }
  }
};
