import { expect } from "earl";
import { describe, it } from "node:test";
import {
  configurationOf,
  createMemoryLog,
  publisher,
  readAll,
} from "../../../tests/support/configuration.ts";
import type { MemoryLog } from "../../../tests/support/configuration.ts";
import { createPeerNodes } from "../../../tests/support/peerNodes.ts";
import type { PeerNode, PeerNodes } from "../../../tests/support/peerNodes.ts";
import { createPublication, encodeConfigurationRecord } from "../../protocol/configuration/record.ts";
import { createConfigurationHistory } from "../../state/configurationHistory.ts";
import { decodeConfigurationState, encodeConfigurationState } from "../../state/peerConfiguration.ts";

/** A published configuration must be in force on every router in under 9 s. */
const maxPropagationTime = 9_000;

/** Publishes a configuration based on the log's latest one. @returns Its version. */
const publish = (log: MemoryLog, ...standings: readonly number[]): number => {
  const reader = createConfigurationHistory();
  readAll(reader, log);
  const record = createPublication(configurationOf(...standings), reader.current(), publisher);
  return log.append(encodeConfigurationRecord(record)).offset;
};

/** Lets a node read the log to its end, as its configuration follower does. */
const readLog = (node: PeerNode, log: MemoryLog): void => {
  const before = node.history.current()?.version;
  readAll(node.history, log);
  node.noteLogRead();
  if (node.history.current()?.version !== before) node.exchange.noteLogVersion();
};

/** Advances the time; nodes that have to read the log do so, unless they are cut off from it. */
const run = async (nodes: PeerNodes, log: MemoryLog, cutOff: readonly string[], milliseconds: number) => {
  for (let passed = 0; passed < milliseconds; passed += 250) {
    await nodes.advance(250);
    for (const name of all) {
      const node = nodes.node(name);
      if (!cutOff.includes(name) && node.exchange.logReadMode() !== "learn") readLog(node, log);
    }
  }
};

const local = ["a", "b", "c", "d"];
const remote = ["x", "y"];
const all = [...local, ...remote];

const versionsOf = (nodes: PeerNodes): readonly (number | undefined)[] =>
  all.map((name) => nodes.node(name).history.current()?.version);

const everywhere = (version: number): readonly number[] => all.map(() => version);

interface StartedNodes extends AsyncDisposable {
  readonly nodes: PeerNodes;
  readonly log: MemoryLog;
}

const start = async (): Promise<StartedNodes> => {
  const nodes = createPeerNodes();
  for (const name of local) nodes.start(name, "amman-north");
  for (const name of remote) nodes.start(name, "zarqa-hall");
  nodes.publishVmList();
  const log = createMemoryLog();
  publish(log, 1);
  await run(nodes, log, [], 6_000);
  expect(versionsOf(nodes)).toEqual(everywhere(0));
  return { nodes, log, [Symbol.asyncDispose]: () => nodes[Symbol.asyncDispose]() };
};

describe("configuration exchange", { timeout: 60_000 }, () => {
  it("lets two routers of a data centre read the log and send changes to the others at once", async () => {
    await using system = await start();
    const { nodes, log } = system;
    const modes = local.map((name) => nodes.node(name).exchange.logReadMode()).sort();
    expect(modes).toEqual(["follow", "follow", "learn", "learn"]);
    const version = publish(log, 2);
    for (const name of all) {
      const node = nodes.node(name);
      if (node.exchange.logReadMode() === "follow") readLog(node, log);
    }
    await nodes.advance(25);
    expect(versionsOf(nodes)).toEqual(everywhere(version));
  });

  it("reaches a data centre cut off from the others whose readers are cut off from the log", async () => {
    await using system = await start();
    const { nodes, log } = system;
    for (const left of local) for (const right of remote) nodes.cut(left, right);
    const readers = local.filter((name) => nodes.node(name).exchange.logReadMode() === "follow");
    const version = publish(log, 2);
    await run(nodes, log, readers, maxPropagationTime);
    expect(versionsOf(nodes)).toEqual(everywhere(version));
  });

  it("reaches a data centre that is cut off from the log as a whole", async () => {
    await using system = await start();
    const { nodes, log } = system;
    const version = publish(log, 2);
    await run(nodes, log, local, maxPropagationTime);
    expect(versionsOf(nodes)).toEqual(everywhere(version));
  });

  it("reaches a router that is cut off from its peers, and one after a long process pause", async () => {
    await using system = await start();
    const { nodes, log } = system;
    for (const other of all) if (other !== "a") nodes.cut("a", other);
    nodes.freeze("b");
    await nodes.advance(5_000);
    const version = publish(log, 2);
    await run(nodes, log, ["b"], maxPropagationTime);
    const others = all.filter((name) => name !== "b");
    expect(others.map((name) => nodes.node(name).history.current()?.version)).toEqual(
      others.map(() => version),
    );
    nodes.thaw("b");
    await run(nodes, log, ["b"], maxPropagationTime);
    expect(versionsOf(nodes)).toEqual(everywhere(version));
  });

  it("keeps the version in force in a data centre that is cut off from everything, and catches up afterwards", async () => {
    await using system = await start();
    const { nodes, log } = system;
    for (const left of local) for (const right of remote) nodes.cut(left, right);
    const version = publish(log, 2);
    await run(nodes, log, local, maxPropagationTime);
    expect(versionsOf(nodes)).toEqual([0, 0, 0, 0, version, version]);
    nodes.heal();
    await run(nodes, log, local, 15_000);
    expect(versionsOf(nodes)).toEqual(everywhere(version));
  });

  it("never returns to an older version, even if a stale peer sends states late, twice or garbled", async () => {
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

  it("refuses a state whose digest does not match its sections", async () => {
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
