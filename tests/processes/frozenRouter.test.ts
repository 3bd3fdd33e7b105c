/** Peer membership while a router process is stopped and resumed (SIGSTOP, SIGCONT) or killed, with real processes. */
import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { operatorKey, startSystem } from "../../demo/processes.ts";
import type { System, SystemProcess } from "../../demo/processes.ts";

interface Dump {
  readonly membership: {
    readonly self: { readonly incarnation: number };
    readonly livePeers: readonly string[];
    readonly peers: readonly { readonly name: string; readonly state: string }[];
  };
}

const fetchDump = async (router: SystemProcess | undefined): Promise<Dump> => {
  const answer = await fetch(`${router?.process.url ?? ""}/operator/dump`, {
    headers: { authorization: `Bearer ${operatorKey}` },
  });
  return (await answer.json()) as Dump;
};

const waitUntil = async (condition: () => Promise<boolean>): Promise<void> => {
  while (!(await condition())) await sleep(50);
};

const allSeeLivePeers = async (routers: readonly SystemProcess[], count: number): Promise<boolean> => {
  const dumps = await Promise.all(routers.map(fetchDump));
  return dumps.every(({ membership }) => membership.livePeers.length === count);
};

const startThreeRouters = (): Promise<System> =>
  startSystem({
    configurationFile: "examples/demo.json",
    routers: ["amman-north", "amman-north", "amman-north"],
  });

describe("a router process among its peers", { timeout: 120_000 }, () => {
  it("rejoins with a higher incarnation after SIGSTOP and SIGCONT, and its peers stay live meanwhile", async () => {
    await using system = await startThreeRouters();
    const [stopped, ...others] = system.routers();
    await waitUntil(() => allSeeLivePeers(system.routers(), 3));
    const before = (await fetchDump(stopped)).membership.self.incarnation;
    stopped?.process.kill("SIGSTOP");
    await waitUntil(() => allSeeLivePeers(others, 2));
    stopped?.process.kill("SIGCONT");
    await waitUntil(() => allSeeLivePeers(system.routers(), 3));
    await waitUntil(async () => (await fetchDump(stopped)).membership.self.incarnation > before);
    const dumps = await Promise.all(others.map(fetchDump));
    const states = dumps.map(
      ({ membership }) => membership.peers.find((peer) => peer.name === stopped?.name)?.state,
    );
    expect(states).toEqual(["live", "live"]);
  });

  it("is no longer a live peer after SIGKILL, and its replacement becomes one", async () => {
    await using system = await startThreeRouters();
    const [killed, ...others] = system.routers();
    await waitUntil(() => allSeeLivePeers(system.routers(), 3));
    killed?.process.kill("SIGKILL");
    await killed?.process.ended;
    await waitUntil(() => allSeeLivePeers(others, 2));
    await system.startRouter(killed?.name ?? "", killed?.dataCentre ?? "");
    await waitUntil(() => allSeeLivePeers(system.routers(), 3));
  });
});
