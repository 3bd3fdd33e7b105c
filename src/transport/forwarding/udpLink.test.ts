import { describe, it } from "node:test";
import { expect } from "earl";
import { openUdpLink } from "./udpLink.ts";

const anyLocalPort = { address: "127.0.0.1", port: 0 };

describe("UdpLink", () => {
  // Sending on a closed socket throws, which crashed processes whose requests outlived the link.
  it("drops datagrams that are sent after it was closed, without throwing", async () => {
    const link = await openUdpLink(anyLocalPort);
    const to = { ...anyLocalPort, port: link.port };
    await link[Symbol.asyncDispose]();
    expect(() => link.send(to, Buffer.from("late"))).not.toThrow();
  });
});
