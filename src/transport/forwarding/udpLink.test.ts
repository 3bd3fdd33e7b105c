import { describe, it } from "node:test";
import { expect } from "earl";
import { openUdpLink } from "./udpLink.ts";

const anywhere = { address: "127.0.0.1", port: 0 };

describe("a link for datagrams", () => {
  // A socket that was closed throws, which ended processes whose requests outlived the link.
  it("loses what is sent after it was closed", async () => {
    const link = await openUdpLink(anywhere);
    const to = { ...anywhere, port: link.port };
    await link[Symbol.asyncDispose]();
    expect(() => link.send(to, Buffer.from("late"))).not.toThrow();
  });
});
