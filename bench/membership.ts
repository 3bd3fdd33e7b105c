/**
 * `npm run bench -- membership`: what routers of one data centre cost each other, in one process over real
 * sockets: messages, bytes and CPU for each node and second, and for each change of a large configuration.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { systemClock } from "../src/coordination/clock.ts";
import type { PeerExchanges } from "../src/daemons/peerExchanges.ts";
import { createPeerExchanges } from "../src/daemons/peerExchanges.ts";
import { parseRouterSettings } from "../src/daemons/routerSettings.ts";
import type { Configuration } from "../src/protocol/configuration/schema.ts";
import { createPublication, encodeConfigurationRecord } from "../src/protocol/configuration/record.ts";
import { createResourceStack } from "../src/protocol/resourceStack.ts";
import type { EngineLoad, ListedVm } from "../src/protocol/types.ts";
import type { ConfigurationHistory } from "../src/state/configurationHistory.ts";
import { createConfigurationHistory } from "../src/state/configurationHistory.ts";
import { metricNames } from "../src/state/constants.ts";
import type { EngineDirectory } from "../src/state/engineDirectory.ts";
import { createEngineDirectory } from "../src/state/engineDirectory.ts";
import { MemoryMetrics } from "../src/state/MemoryMetrics.ts";
import { configurationOf, createMemoryLog, publisher } from "../tests/support/configuration.ts";
import type { Row } from "./report/table.ts";
import { formatTable } from "./report/table.ts";
import type { Bench } from "./types.ts";

const nodeCounts = [2, 8, 38] as const;
const enginesPerNode = 26;
const loadInterval = 500;
const organisations = 570;
/** Between the starts of nodes, milliseconds. */
const startInterval = 250;
const dataCentre = "amman-north";

interface Durations {
  /** Until all know each other. */
  readonly settling: number;
  readonly measured: number;
  readonly changes: number;
  readonly changeInterval: number;
}

const durations: Durations = { settling: 6_000, measured: 12_000, changes: 12, changeInterval: 1_000 };
const quickDurations: Durations = { settling: 3_000, measured: 4_000, changes: 4, changeInterval: 1_000 };

interface Node {
  readonly peers: PeerExchanges;
  readonly engines: EngineDirectory;
  readonly history: ConfigurationHistory;
  readonly metrics: MemoryMetrics;
}

interface Reading {
  readonly at: number;
  /** Milliseconds of this process. */
  readonly cpu: number;
  readonly messages: number;
  readonly received: number;
  readonly sent: number;
}

/** Costs of one node, both as sender and as receiver. */
interface Costs {
  readonly nodes: number;
  readonly live: number;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly bytesPerMessage: number;
  readonly cpuMillisecondsPerSecond: number;
  readonly bytesPerChange: number;
  readonly cpuMillisecondsPerChange: number;
  readonly longestSpreadMilliseconds: number;
  readonly wholeConfigurationBytes: number;
}

const nodeName = (index: number): string => `router-${index}`;

const settingsOf = (index: number) =>
  parseRouterSettings(
    JSON.stringify({
      name: nodeName(index),
      dataCentre,
      callers: { address: "127.0.0.1", port: 0 },
      peers: { address: "127.0.0.1", port: 0 },
      logService: "http://127.0.0.1:1",
      vmList: "http://127.0.0.1:1",
      operatorKeyHash: "0".repeat(64),
      sharedSecret: "a-secret-that-all-routers-share-0123456789",
    }),
    "bench",
  );

const createNode = (index: number): Node => {
  const history = createConfigurationHistory();
  const engines = createEngineDirectory();
  const metrics = new MemoryMetrics();
  const peers = createPeerExchanges({
    settings: settingsOf(index),
    history,
    engines,
    clock: systemClock,
    metrics,
    lastVms: () => [],
    restoreVms: () => undefined,
    // Whoever follows the log here has always just read it.
    logReadAt: () => systemClock.monotonic(),
  });
  return { peers, engines, history, metrics };
};

const routerVm = (url: string, index: number): ListedVm => ({
  id: nodeName(index),
  dataCentre,
  url,
  peerUrl: url,
  role: "router",
  pool: "",
  state: "live",
});

const engineVm = (index: number): ListedVm => ({
  id: `records-assistant-${index}`,
  dataCentre,
  url: `http://127.0.0.1:${1_000 + index}`,
  role: "engine",
  pool: "records-assistant",
  state: "live",
});

const anyLoad = (id: string): EngineLoad => ({
  incarnation: `incarnation-of-${id}`,
  model: "records-assistant",
  weightsVersion: "2026-11",
  adapters: ["first-aid", "door-trainer"],
  role: "serving",
  running: Math.floor(Math.random() * 30),
  waiting: Math.floor(Math.random() * 5),
  pendingPromptTokens: Math.floor(Math.random() * 20_000),
  cachedTokens: 400_000 + Math.floor(Math.random() * 100_000),
  leaving: false,
});

const read = (nodes: readonly Node[]): Reading => {
  const { user, system } = process.cpuUsage();
  const traffic = nodes.map(({ peers }) => peers.traffic());
  const counted = nodes.map(({ metrics }) => metrics.snapshot()[metricNames.peerMessages] ?? 0);
  return {
    at: performance.now(),
    cpu: (user + system) / 1_000,
    messages: counted.reduce((sum, count) => sum + count, 0),
    received: traffic.reduce((sum, { received }) => sum + received, 0),
    sent: traffic.reduce((sum, { sent }) => sum + sent, 0),
  };
};

/** Every node asks the engines that it is home of, as its monitor would. */
const reportLoads = async (nodes: readonly Node[], signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    for (const { peers, engines } of nodes) {
      for (const engine of engines.all()) {
        if (!peers.isHome(engine)) continue;
        engines.applyLoad(engine.id, anyLoad(engine.id), systemClock.monotonic());
      }
    }
    await sleep(loadInterval, undefined, { signal }).catch(() => undefined);
  }
};

const configurationWith = (change: number): Configuration => {
  const standings = Array.from({ length: organisations }, (_, index) => (index === change ? 2 : 1));
  return configurationOf(...standings);
};

/** Publishes on a log that the data centre's readers follow. */
const createPublisher = (nodes: readonly Node[]) => {
  const log = createMemoryLog();

  const readLog = (): void => {
    for (const { peers, history } of nodes) {
      if (peers.configuration.logReadMode() !== "follow") continue;
      history.applyPage(history.readTo(), log.read(history.readTo(), 100));
      peers.configuration.noteLogVersion();
    }
  };

  /** @returns Milliseconds until the version is in force at every node. */
  return async (version: number): Promise<number> => {
    const publishedAt = performance.now();
    const base = nodes.find(({ history }) => history.current() !== undefined)?.history.current();
    const record = createPublication(configurationWith(version), base, publisher);
    log.append(encodeConfigurationRecord(record));
    readLog();
    while (nodes.some(({ history }) => history.current()?.version !== version)) await sleep(2);
    return performance.now() - publishedAt;
  };
};

const measure = async (count: number, times: Durations): Promise<Costs> => {
  await using resources = createResourceStack();
  const nodes = Array.from({ length: count }, (_, index) => createNode(index));
  for (const { peers } of nodes) resources.use(peers);
  const urls = await Promise.all(nodes.map(({ peers }) => peers.listen()));
  const vms = [
    ...urls.map(routerVm),
    ...Array.from({ length: count * enginesPerNode }, (_, index) => engineVm(index)),
  ];
  for (const { engines } of nodes) engines.applyVms(vms);
  // One event loop carries every node here: all joining at once would take it longer than joins may take.
  for (let started = 1; started <= count; started += 1) {
    const listed = vms.filter((vm) => vm.role === "router").slice(0, started);
    for (const { peers } of nodes.slice(0, started)) peers.applyVms(listed);
    await sleep(startInterval);
  }
  const stop = new AbortController();
  const loads = reportLoads(nodes, stop.signal);
  await sleep(times.settling);

  // The whole configuration goes first: routers that have none ask their peers again and again.
  const publish = createPublisher(nodes);
  await publish(0);
  await sleep(times.changeInterval);
  const before = read(nodes);
  await sleep(times.measured);
  const after = read(nodes);
  const seconds = (after.at - before.at) / 1_000;
  const perNode = (value: (reading: Reading) => number): number =>
    (value(after) - value(before)) / seconds / count;
  const bytesPerSecond = perNode(({ received, sent }) => received + sent);
  const cpuPerSecond = perNode(({ cpu }) => cpu);

  const changed = read(nodes);
  let longest = 0;
  for (let version = 1; version <= times.changes; version += 1) {
    const took = await publish(version);
    longest = Math.max(longest, took);
    await sleep(Math.max(0, times.changeInterval - took));
  }
  const settled = read(nodes);
  const changedSeconds = (settled.at - changed.at) / 1_000;
  const extra = (used: number, usual: number): number =>
    (used / count - usual * changedSeconds) / times.changes;
  const live = Math.min(...nodes.map(({ peers }) => peers.membership.liveMembers().length));
  const whole = nodes[0]?.history.snapshot();
  stop.abort();
  await loads;
  return {
    nodes: count,
    live,
    messagesPerSecond: perNode(({ messages }) => messages),
    bytesPerSecond,
    bytesPerMessage: (after.received - before.received) / (after.messages - before.messages),
    cpuMillisecondsPerSecond: cpuPerSecond,
    bytesPerChange: extra(settled.received + settled.sent - changed.received - changed.sent, bytesPerSecond),
    cpuMillisecondsPerChange: extra(settled.cpu - changed.cpu, cpuPerSecond),
    longestSpreadMilliseconds: longest,
    wholeConfigurationBytes: JSON.stringify(whole ?? null).length,
  };
};

const heading: Row = [
  "nodes",
  "seen live",
  "messages/s",
  "bytes/s",
  "bytes/message",
  "CPU ms/s",
  "bytes/change",
  "CPU ms/change",
  "slowest change ms",
  "whole configuration bytes",
];

const rowOf = (costs: Costs): Row => [
  costs.nodes.toFixed(0),
  costs.live.toFixed(0),
  costs.messagesPerSecond.toFixed(1),
  costs.bytesPerSecond.toFixed(0),
  costs.bytesPerMessage.toFixed(0),
  costs.cpuMillisecondsPerSecond.toFixed(2),
  costs.bytesPerChange.toFixed(0),
  costs.cpuMillisecondsPerChange.toFixed(1),
  costs.longestSpreadMilliseconds.toFixed(0),
  costs.wholeConfigurationBytes.toFixed(0),
];

const run: Bench["run"] = async ({ json, quick, only }) => {
  const results: Costs[] = [];
  const counts = nodeCounts.filter((count) => only.length === 0 || only.includes(count.toFixed(0)));
  for (const count of counts) results.push(await measure(count, quick ? quickDurations : durations));
  if (json) console.log(JSON.stringify(results, undefined, 2));
  else console.log(formatTable([heading, ...results.map(rowOf)]));
};

/** See the module. */
export const membershipBench: Bench = {
  name: "membership",
  summary: "messages, bytes and CPU between routers of a data centre, for each node",
  run,
};
