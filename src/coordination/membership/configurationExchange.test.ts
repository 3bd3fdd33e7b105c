import { expect } from "earl";
import { describe, it } from "node:test";
import { configurationOf, createFakeLog, publisher, readAll } from "../../../tests/support/configuration.ts";
import type { FakeLog } from "../../../tests/support/configuration.ts";
import { createPeerNodes } from "../../../tests/support/peerNodes.ts";
import type { PeerNode, PeerNodes } from "../../../tests/support/peerNodes.ts";
import { createPublication, encodeConfigurationRecord } from "../../protocol/configuration/record.ts";
import { createConfigurationHistory } from "../../state/configurationHistory.ts";
import { decodeConfigurationState, encodeConfigurationState } from "../../state/peerConfiguration.ts";

/** What the users ask for: in force everywhere in under 9 s. */
const inForceWithin = 9_000;

/** Publishes on top of what the log holds. @returns The version. */
const publish = (log: FakeLog, ...standings: readonly number[]): number => {
  const reader = createConfigurationHistory();
  readAll(reader, log);
  const record = createPublication(configurationOf(...standings), reader.current(), publisher);
  return log.append(encodeConfigurationRecord(record)).offset;
};

/** A node reads the log's end, as its follower does. */
const readLog = (node: PeerNode, log: FakeLog): void => {
  const before = node.history.current()?.version;
  readAll(node.history, log);
  node.noteLogRead();
  if (node.history.current()?.version !== before) node.exchange.noteLogVersion();
};

/** Moves time on; nodes whose turn it is read the log, unless they are cut from it. */
const run = async (nodes: PeerNodes, log: FakeLog, cutOff: readonly string[], milliseconds: number) => {
  for (let passed = 0; passed < milliseconds; passed += 250) {
    await nodes.advance(250);
    for (const name of all) {
      const node = nodes.node(name);
      if (!cutOff.includes(name) && node.exchange.logReadMode() !== "learn") readLog(node, log);
    }
  }
};

const here = ["a", "b", "c", "d"];
const elsewhere = ["x", "y"];
const all = [...here, ...elsewhere];

const versionsOf = (nodes: PeerNodes): readonly (number | undefined)[] =>
  all.map((name) => nodes.node(name).history.current()?.version);

const everywhere = (version: number): readonly number[] => all.map(() => version);

interface StartedNodes extends AsyncDisposable {
  readonly nodes: PeerNodes;
  readonly log: FakeLog;
}

const start = async (): Promise<StartedNodes> => {
  const nodes = createPeerNodes();
  for (const name of here) nodes.start(name, "amman-north");
  for (const name of elsewhere) nodes.start(name, "zarqa-hall");
  nodes.announce();
  const log = createFakeLog();
  publish(log, 1);
  await run(nodes, log, [], 6_000);
  expect(versionsOf(nodes)).toEqual(everywhere(0));
  return { nodes, log, [Symbol.asyncDispose]: () => nodes[Symbol.asyncDispose]() };
};

describe("the configuration between peers", { timeout: 60_000 }, () => {
  it("is read from the log by two routers of a data centre, and learnt by the others at once", async () => {
    await using system = await start();
    const { nodes, log } = system;
    const turns = here.map((name) => nodes.node(name).exchange.logReadMode()).sort();
    expect(turns).toEqual(["follow", "follow", "learn", "learn"]);
    const version = publish(log, 2);
    for (const name of all) {
      const node = nodes.node(name);
      if (node.exchange.logReadMode() === "follow") readLog(node, log);
    }
    await nodes.advance(25);
    expect(versionsOf(nodes)).toEqual(everywhere(version));
  });

  it("reaches a data centre whose readers are cut from the log, and that is cut from the others", async () => {
    await using system = await start();
    const { nodes, log } = system;
    for (const left of here) for (const right of elsewhere) nodes.cut(left, right);
    const readers = here.filter((name) => nodes.node(name).exchange.logReadMode() === "follow");
    const version = publish(log, 2);
    await run(nodes, log, readers, inForceWithin);
    expect(versionsOf(nodes)).toEqual(everywhere(version));
  });

  it("reaches a data centre that is cut from the log as a whole", async () => {
    await using system = await start();
    const { nodes, log } = system;
    const version = publish(log, 2);
    await run(nodes, log, here, inForceWithin);
    expect(versionsOf(nodes)).toEqual(everywhere(version));
  });

  it("reaches a router that is cut from its peers, and one that is frozen for long", async () => {
    await using system = await start();
    const { nodes, log } = system;
    for (const other of all) if (other !== "a") nodes.cut("a", other);
    nodes.freeze("b");
    await nodes.advance(5_000);
    const version = publish(log, 2);
    await run(nodes, log, ["b"], inForceWithin);
    const others = all.filter((name) => name !== "b");
    expect(others.map((name) => nodes.node(name).history.current()?.version)).toEqual(
      others.map(() => version),
    );
    nodes.thaw("b");
    await run(nodes, log, ["b"], inForceWithin);
    expect(versionsOf(nodes)).toEqual(everywhere(version));
  });

  it("keeps what is in force in a data centre that is cut from everything, and heals forwards", async () => {
    await using system = await start();
    const { nodes, log } = system;
    for (const left of here) for (const right of elsewhere) nodes.cut(left, right);
    const version = publish(log, 2);
    await run(nodes, log, here, inForceWithin);
    expect(versionsOf(nodes)).toEqual([0, 0, 0, 0, version, version]);
    nodes.heal();
    await run(nodes, log, here, 15_000);
    expect(versionsOf(nodes)).toEqual(everywhere(version));
  });

  it("never goes back, whatever a stale peer sends late, twice or garbled", async () => {
    await using system = await start();
    const { nodes, log } = system;
    const stale = createConfigurationHistory();
    readAll(stale, log);
    const first = encodeConfigurationState(stale.snapshot());
    publish(log, 2);
    const late = createConfigurationHistory();
    readAll(late, log);
    const changes = encodeConfigurationState(late.changesSince(0));
    const version = publish(log, 3);
    await run(nodes, log, [], 2_000);
    const { exchange, history } = nodes.node("a");
    for (const state of [first, changes, first, "{", '{"kind":"snapshot"}', changes])
      exchange.adopt(state, "b");
    expect(history.current()?.version).toEqual(version);
    expect(history.current()?.configuration.organisations[0]?.standing).toEqual(3);
  });

  it("is refused where its digest does not fit its sections", async () => {
    await using system = await start();
    const { nodes, log } = system;
    publish(log, 2);
    const peer = createConfigurationHistory();
    readAll(peer, log);
    const state = decodeConfigurationState(encodeConfigurationState(peer.snapshot()));
    if (state === undefined) return;
    nodes.node("a").exchange.adopt(JSON.stringify({ ...state, digest: "0".repeat(64) }), "b");
    expect(nodes.node("a").history.current()?.version).toEqual(0);
  });
});
