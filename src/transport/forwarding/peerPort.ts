/** The port of a router that others reach: datagrams over UDP, and requests that are passed on over TCP. */
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { createServer } from "node:net";
import type { DatagramAddress, DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import { openUdpLink } from "./udpLink.ts";

/** How many free ports are tried. */
const maxTries = 5;

const findFreeTcpPort = async (address: string): Promise<number> => {
  const server = createServer();
  server.listen(0, address);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
};

/** @returns A link at the given port; for port 0, at one that is free for TCP as well. */
export const openPeerLink = async ({ address, port }: DatagramAddress): Promise<DatagramLink> => {
  if (port !== 0) return openUdpLink({ address, port });
  for (let tries = 1; ; tries += 1) {
    try {
      return await openUdpLink({ address, port: await findFreeTcpPort(address) });
    } catch (error) {
      if (tries === maxTries || (error as NodeJS.ErrnoException).code !== "EADDRINUSE") throw error;
    }
  }
};
