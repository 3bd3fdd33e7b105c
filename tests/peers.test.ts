/** Peer membership and configuration exchange of routers in one process, over real sockets. */
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

const fetchDump = async (system: LocalSystem, router: number): Promise<Dump> => {
  const headers = { authorization: `Bearer ${operatorKey}` };
  const answer = await system.call("/operator/dump", { router, headers });
  return (await answer.json()) as Dump;
};

/** Waits for a condition; the timeout of the test ends the wait if it never holds. */
const waitUntil = async (condition: () => Promise<boolean>): Promise<void> => {
  while (!(await condition())) await sleep(20);
};

const allSeeLivePeers = (system: LocalSystem, count: number) => async (): Promise<boolean> => {
  const dumps = await Promise.all(system.routers.map((_, index) => fetchDump(system, index)));
  return dumps.every(({ membership }) => membership.livePeers.length === count);
};

describe("routers of a data centre", { timeout: 60_000 }, () => {
  it("discover each other, and are live again after every connection was cut", async () => {
    await using system = await startLocalSystem({ routers: 3 });
    await waitUntil(allSeeLivePeers(system, 3));
    for (const router of system.routers) router.dropPeerConnections();
    const statesOf = async (): Promise<readonly string[]> => {
      const dumps = await Promise.all(system.routers.map((_, index) => fetchDump(system, index)));
      return dumps.flatMap(({ membership }) => membership.peers.map((peer) => peer.state));
    };
    expect(await statesOf()).toEqual(Array.from({ length: 6 }, () => "suspect"));
    await waitUntil(async () => (await statesOf()).every((state) => state === "live"));
    await waitUntil(allSeeLivePeers(system, 3));
    const dump = await fetchDump(system, 0);
    expect(Object.keys(dump.metrics).filter((name) => name.startsWith("peer_refusals"))).toEqual([]);
  });
});

const ask = (system: LocalSystem, router: number): Promise<Response> =>
  system.call("/v1/chat/completions", {
    router,
    body: { model: "records-assistant", messages: [{ role: "user", content: "Is badge 7 current?" }] },
  });

const isReady = async (system: LocalSystem, router: number): Promise<boolean> =>
  (await system.call("/readyz", { router })).ok;

const setOutage = (system: LocalSystem, outage: boolean): void => {
  system.logService.faults.outage = outage;
  system.vmList.faults.outage = outage;
};

describe("a router that restarts", { timeout: 60_000 }, () => {
  it("answers its first request with a peer's configuration while log and VM list are down", async () => {
    await using system = await startLocalSystem({ routers: 2 });
    await waitUntil(allSeeLivePeers(system, 2));
    await system.stopRouter(1);
    setOutage(system, true);
    await system.startRouter(1, { seedPeers: [system.routers[0]?.peerUrl ?? ""] });
    const answer = await ask(system, 1);
    expect(answer.status).toEqual(200);
    expect((await fetchDump(system, 1)).configuration.source).toEqual(system.routers[0]?.peerUrl ?? "");
  });

  it("answers its first request with the configuration from the log if it has no peer", async () => {
    await using system = await startLocalSystem({ routers: 1 });
    await system.stopRouter(0);
    await system.startRouter(0);
    expect((await ask(system, 0)).status).toEqual(200);
    expect((await fetchDump(system, 0)).configuration.source).toEqual("log");
  });

  it("is not ready and answers not_run if it has neither a peer nor the log", async () => {
    await using system = await startLocalSystem({ routers: 1 });
    await system.stopRouter(0);
    setOutage(system, true);
    await system.startRouter(0);
    expect(await isReady(system, 0)).toEqual(false);
    const answer = await ask(system, 0);
    expect(answer.status).toEqual(503);
    expect(answer.headers.get("x-pomelocleat-outcome")).toEqual("not_run");
    expect(answer.headers.get("retry-after")).not.toEqual(null);
  });

  it("refuses requests if all restart while the log is down, and serves once the log is back", async () => {
    await using system = await startLocalSystem({ routers: 4 });
    const indices = [0, 1, 2, 3];
    await waitUntil(allSeeLivePeers(system, 4));
    system.logService.faults.outage = true;
    await Promise.all(indices.map((index) => system.stopRouter(index)));
    await Promise.all(indices.map((index) => system.startRouter(index)));
    const refused = await Promise.all(indices.map((index) => ask(system, index)));
    expect(refused.map(({ headers }) => headers.get("x-pomelocleat-outcome"))).toEqual(
      indices.map(() => "not_run"),
    );
    system.logService.faults.outage = false;
    await waitUntil(async () =>
      (await Promise.all(indices.map((index) => isReady(system, index)))).every(Boolean),
    );
    const answered = await Promise.all(indices.map((index) => ask(system, index)));
    expect(answered.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
  });

  it("serves with the configuration of the one remaining peer while the log is down", async () => {
    await using system = await startLocalSystem({ routers: 4 });
    await waitUntil(allSeeLivePeers(system, 4));
    system.logService.faults.outage = true;
    const restarted = [1, 2, 3];
    await Promise.all(restarted.map((index) => system.stopRouter(index)));
    await Promise.all(restarted.map((index) => system.startRouter(index)));
    const answered = await Promise.all(restarted.map((index) => ask(system, index)));
    expect(answered.map(({ status }) => status)).toEqual([200, 200, 200]);
  });
});

describe("the operator interface of a router", { timeout: 60_000 }, () => {
  it("exposes no secret", async () => {
    await using system = await startLocalSystem({ routers: 2 });
    await waitUntil(allSeeLivePeers(system, 2));
    const headers = { authorization: `Bearer ${operatorKey}` };
    for (const view of ["version", "dump", "engines"]) {
      const text = await (await system.call(`/operator/${view}`, { headers })).text();
      expect(text).not.toInclude("test-shared-secret");
      expect(text).not.toInclude(operatorKey);
      expect(text).not.toInclude(system.configuration.organisations[0]?.keyHashes[0] ?? "");
    }
  });
});
