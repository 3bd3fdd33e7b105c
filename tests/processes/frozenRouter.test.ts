/** A router that the operating system stops and resumes, among others that go on: real processes. */
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

const dumpOf = async (router: SystemProcess | undefined): Promise<Dump> => {
  const answer = await fetch(`${router?.process.url ?? ""}/operator/dump`, {
    headers: { authorization: `Bearer ${operatorKey}` },
  });
  return (await answer.json()) as Dump;
};

const until = async (condition: () => Promise<boolean>): Promise<void> => {
  while (!(await condition())) await sleep(50);
};

const seesLive = async (routers: readonly SystemProcess[], count: number): Promise<boolean> => {
  const dumps = await Promise.all(routers.map(dumpOf));
  return dumps.every(({ membership }) => membership.livePeers.length === count);
};

const start = (): Promise<System> =>
  startSystem({
    configurationFile: "examples/demo.json",
    routers: ["amman-north", "amman-north", "amman-north"],
  });

describe("a router process", { timeout: 120_000 }, () => {
  it("that is stopped and resumed comes back under a higher incarnation, and the others went on", async () => {
    await using system = await start();
    const [stopped, ...others] = system.routers();
    await until(() => seesLive(system.routers(), 3));
    const before = (await dumpOf(stopped)).membership.self.incarnation;
    stopped?.process.kill("SIGSTOP");
    await until(() => seesLive(others, 2));
    stopped?.process.kill("SIGCONT");
    await until(() => seesLive(system.routers(), 3));
    await until(async () => (await dumpOf(stopped)).membership.self.incarnation > before);
    const dumps = await Promise.all(others.map(dumpOf));
    const states = dumps.map(
      ({ membership }) => membership.peers.find((peer) => peer.name === stopped?.name)?.state,
    );
    expect(states).toEqual(["live", "live"]);
  });

  it("that is killed is missed by the others, and its successor is known to them", async () => {
    await using system = await start();
    const [killed, ...others] = system.routers();
    await until(() => seesLive(system.routers(), 3));
    killed?.process.kill("SIGKILL");
    await killed?.process.ended;
    await until(() => seesLive(others, 2));
    await system.startRouter(killed?.name ?? "", killed?.dataCentre ?? "");
    await until(() => seesLive(system.routers(), 3));
  });
});
