import { SocketAddress } from "node:net";
import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { hostAndPortOf, parseNetworkAddress } from "./networkAddress.ts";

const number = fc.integer({ min: -1, max: 99_999 });
const nearlyAddress = fc
  .tuple(fc.array(number, { minLength: 3, maxLength: 5 }), number)
  .map(([octets, port]) => `${octets.join(".")}:${port}`);

describe("network addresses", () => {
  it("are refused, or are taken for the address of a socket and in a URL", () => {
    fc.assert(
      fc.property(
        fc.oneof(
          fc.string(),
          nearlyAddress,
          fc.ipV4().map((ip) => `${ip}:80`),
        ),
        (text) => {
          const address = parseNetworkAddress(text);
          if (address === undefined) return;
          const { host, port } = hostAndPortOf(address);
          expect(new SocketAddress({ address: host, port }).port).toEqual(port);
          expect(new URL(`http://${address}`).hostname).toEqual(host);
        },
      ),
      { seed: 1, numRuns: 1_000 },
    );
  });

  it("have a port that exists", () => {
    const texts = [
      "127.0.0.1:0",
      "127.0.0.1:1",
      "127.0.0.1:65535",
      "127.0.0.1:65536",
      "256.0.0.1:80",
      "127.0.0.1",
    ];
    expect(texts.filter((text) => parseNetworkAddress(text) !== undefined)).toEqual([
      "127.0.0.1:1",
      "127.0.0.1:65535",
    ]);
  });
});
