import { expect } from "earl";
import { describe, it } from "node:test";
import { createPeerNodes } from "../../../tests/support/peerNodes.ts";
import type { PeerNodes } from "../../../tests/support/peerNodes.ts";
import type { EngineLoad, ListedVm } from "../../protocol/types.ts";

/** Enough for an unreachable peer to become dead in a data centre of a few routers, milliseconds. */
const untilDead = 4_000;

const startNodes = async (...names: readonly string[]): Promise<PeerNodes> => {
  const nodes = createPeerNodes();
  for (const name of names) nodes.start(name);
  nodes.publishVmList();
  await nodes.advance(2_000);
  return nodes;
};

const liveAt = (nodes: PeerNodes, ...names: readonly string[]): readonly string[] =>
  names.map((name) => nodes.node(name).live());

const load: EngineLoad = {
  incarnation: "first",
  model: "records-assistant",
  weightsVersion: "1",
  adapters: [],
  role: "serving",
  running: 3,
  waiting: 1,
  pendingPromptTokens: 500,
  cachedTokens: 1_000,
  leaving: false,
};

const engineVm = (id: string): ListedVm => ({
  id,
  dataCentre: "amman-north",
  url: `http://${id}`,
  role: "engine",
  pool: "records-assistant",
  state: "live",
});

describe("membership by heartbeats", { timeout: 60_000 }, () => {
  it("marks a router without heartbeats as dead, and moves its keys to others", async () => {
    await using nodes = await startNodes("a", "b", "c");
    expect(liveAt(nodes, "a", "b", "c")).toEqual(["abc", "abc", "abc"]);
    nodes.freeze("c");
    await nodes.advance(untilDead);
    expect(liveAt(nodes, "a", "b")).toEqual(["ab", "ab"]);
    const keys = Array.from({ length: 50 }, (_, index) => `engine-${index}`);
    const homes = (key: string): number =>
      ["a", "b"].filter((name) => nodes.node(name).membership.isHome(key)).length;
    expect(keys.every((key) => homes(key) === 1)).toEqual(true);
  });

  it("readmits a frozen router only under a higher incarnation", async () => {
    await using nodes = await startNodes("a", "b", "c");
    const before = nodes.node("c").membership.self().incarnation;
    nodes.freeze("c");
    await nodes.advance(untilDead);
    nodes.thaw("c");
    expect(liveAt(nodes, "a")).toEqual(["ab"]);
    await nodes.advance(3_000);
    expect(liveAt(nodes, "a", "b", "c")).toEqual(["abc", "abc", "abc"]);
    expect(nodes.node("c").membership.self().incarnation).toBeGreaterThan(before);
    expect(nodes.node("a").peers.get("c")?.incarnation).toEqual(
      nodes.node("c").membership.self().incarnation,
    );
  });

  it("does not suspect peers after a pause of its own process", async () => {
    await using nodes = await startNodes("a", "b", "c");
    nodes.freeze("c");
    await nodes.advance(60_000);
    nodes.thaw("c");
    const states = nodes
      .node("c")
      .peers.all()
      .map((peer) => peer.state);
    expect(states).toEqual(["live", "live"]);
    await nodes.advance(untilDead);
    expect(liveAt(nodes, "a", "b", "c")).toEqual(["abc", "abc", "abc"]);
  });

  it("keeps a peer whose heartbeats reach only other routers", async () => {
    await using nodes = await startNodes("a", "b", "c", "d");
    nodes.cut("a", "b");
    for (let second = 0; second < 20; second += 1) {
      await nodes.advance(1_000);
      expect(liveAt(nodes, "a", "b", "c", "d")).toEqual(["abcd", "abcd", "abcd", "abcd"]);
    }
  });

  it("splits in a network partition and merges again after it", async () => {
    await using nodes = await startNodes("a", "b", "c", "d");
    for (const left of ["a", "b"]) for (const right of ["c", "d"]) nodes.cut(left, right);
    await nodes.advance(untilDead);
    expect(liveAt(nodes, "a", "b", "c", "d")).toEqual(["ab", "ab", "cd", "cd"]);
    nodes.heal();
    await nodes.advance(12_000);
    expect(liveAt(nodes, "a", "b", "c", "d")).toEqual(["abcd", "abcd", "abcd", "abcd"]);
  });

  it("accepts a restarted router at once, and nothing more from its earlier process", async () => {
    await using nodes = await startNodes("a", "b");
    const predecessor = nodes.node("b");
    await predecessor.controls[Symbol.asyncDispose]();
    nodes.start("b");
    nodes.publishVmList();
    await nodes.advance(2_000);
    const { incarnation } = nodes.node("b").membership.self();
    expect(nodes.node("a").peers.get("b")?.incarnation).toEqual(incarnation);
    const old = predecessor.membership.self().incarnation;
    expect(nodes.node("a").peers.noteMessage("b", old, 250, false, nodes.now())).toEqual(false);
  });

  it("announces at once that it leaves", async () => {
    await using nodes = await startNodes("a", "b");
    nodes.node("b").controls.leave();
    await nodes.advance(25);
    expect(liveAt(nodes, "a", "b")).toEqual(["a", "a"]);
  });
});

describe("exchange of engine loads", { timeout: 60_000 }, () => {
  const withEngines = async (): Promise<PeerNodes> => {
    const nodes = await startNodes("a", "b", "c");
    const vms = Array.from({ length: 9 }, (_, index) => engineVm(`engine-${index}`));
    for (const name of ["a", "b", "c"]) nodes.node(name).engines.applyVms(vms);
    return nodes;
  };

  const report = (nodes: PeerNodes, id: string, changes: Partial<EngineLoad> = {}): void => {
    const home = ["a", "b", "c"].find((name) => nodes.node(name).membership.isHome(id)) ?? "";
    nodes.node(home).engines.applyLoad(id, { ...load, ...changes }, nodes.now());
  };

  it("sends reports from each engine's home to all routers", async () => {
    await using nodes = await withEngines();
    for (let index = 0; index < 9; index += 1) report(nodes, `engine-${index}`, { running: index });
    await nodes.advance(500);
    for (const name of ["a", "b", "c"]) {
      const engines = nodes.node(name).engines.all();
      expect(engines.map((engine) => engine.load?.running)).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8]);
    }
  });

  it("reaches a peer that has restarted and whose stream is opened later", async () => {
    await using nodes = await withEngines();
    report(nodes, "engine-1");
    await nodes.advance(500);
    const late = nodes.start("c");
    late.engines.applyVms([engineVm("engine-1")]);
    nodes.publishVmList();
    await nodes.advance(2_000);
    report(nodes, "engine-1", { running: 7 });
    await nodes.advance(500);
    expect(late.engines.get("engine-1")?.load?.running).toEqual(7);
  });

  it("describes engines again after the incarnation of their home has risen", async () => {
    await using nodes = await withEngines();
    for (let index = 0; index < 9; index += 1) report(nodes, `engine-${index}`);
    await nodes.advance(500);
    const { incarnation } = nodes.node("a").membership.self();
    for (const name of ["a", "b"]) {
      // A peer knows a newer incarnation, and reports it when the connection is opened again.
      const identity = {
        name,
        dataCentre: "amman-north",
        incarnation: incarnation + 9,
        url: `http://${name}`,
      };
      nodes.node("c").peers.admit(identity, nodes.now());
    }
    nodes.cut("b", "c");
    nodes.heal();
    await nodes.advance(3_000);
    expect(nodes.node("b").membership.self().incarnation).toBeGreaterThan(incarnation);
    for (let index = 0; index < 9; index += 1) report(nodes, `engine-${index}`, { running: 10 + index });
    await nodes.advance(1_000);
    const seen = nodes
      .node("a")
      .engines.all()
      .map((engine) => engine.load?.running);
    expect(seen).toEqual([10, 11, 12, 13, 14, 15, 16, 17, 18]);
  });

  it("announces a leaving engine before the next heartbeat is due", async () => {
    await using nodes = await withEngines();
    report(nodes, "engine-3");
    await nodes.advance(500);
    nodes.node("b").engines.markLeaving("engine-3");
    await nodes.advance(25);
    const states = ["a", "b", "c"].map((name) => nodes.node(name).engines.get("engine-3")?.state);
    expect(states).toEqual(["leaving", "leaving", "leaving"]);
  });
});
