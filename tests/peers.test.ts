/** Routers among their peers, in one process over real sockets. */
import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { operatorKey, startLocalSystem } from "./support/localSystem.ts";
import type { LocalSystem } from "./support/localSystem.ts";

interface Dump {
  readonly membership: {
    readonly livePeers: readonly string[];
    readonly self: { readonly incarnation: number };
    readonly peers: readonly { readonly name: string; readonly state: string; readonly stream: boolean }[];
  };
  readonly configuration: {
    readonly version: number | null;
    readonly source: string;
    readonly turn: string;
  };
  readonly metrics: Readonly<Record<string, number>>;
}

const dumpOf = async (system: LocalSystem, router: number): Promise<Dump> => {
  const headers = { authorization: `Bearer ${operatorKey}` };
  const answer = await system.call("/operator/dump", { router, headers });
  return (await answer.json()) as Dump;
};

/** Waits for what must come; the test runner's own limit ends a wait in vain. */
const until = async (condition: () => Promise<boolean>): Promise<void> => {
  while (!(await condition())) await sleep(20);
};

const allLive = (system: LocalSystem, count: number) => async (): Promise<boolean> => {
  const dumps = await Promise.all(system.routers.map((_, index) => dumpOf(system, index)));
  return dumps.every(({ membership }) => membership.livePeers.length === count);
};

describe("routers of a data centre", { timeout: 60_000 }, () => {
  it("find each other, and come again after every connection was cut", async () => {
    await using system = await startLocalSystem({ routers: 3 });
    await until(allLive(system, 3));
    for (const router of system.routers) router.dropPeerConnections();
    const statesOf = async (): Promise<readonly string[]> => {
      const dumps = await Promise.all(system.routers.map((_, index) => dumpOf(system, index)));
      return dumps.flatMap(({ membership }) => membership.peers.map((peer) => peer.state));
    };
    expect(await statesOf()).toEqual(Array.from({ length: 6 }, () => "suspect"));
    await until(async () => (await statesOf()).every((state) => state === "live"));
    await until(allLive(system, 3));
    const dump = await dumpOf(system, 0);
    expect(Object.keys(dump.metrics).filter((name) => name.startsWith("peer_refusals"))).toEqual([]);
  });
});
