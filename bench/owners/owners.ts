/**
 * `npm run bench -- owners`: cost for a router of querying the owners of replicas, by number of replicas and
 * routers.
 */
import {
  bounds,
  configurationOf,
  engineEntry,
  engineService,
  pageOf,
  streamRoute,
} from "../../tests/support/forwardingFixture.ts";
import { createCacheHolders } from "../../src/coordination/forwarding/cacheHolders.ts";
import { createConfigurationState } from "../../src/coordination/forwarding/configurationState.ts";
import { createEnginePlacement } from "../../src/coordination/placement/enginePlacement.ts";
import { weightedPriorityOf } from "../../src/coordination/admission/urgency.ts";
import { defaultLoadPolicy } from "../../src/coordination/forwarding/loadPolicy.ts";
import { createReplicaEstimates } from "../../src/coordination/estimates/replicaEstimates.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import { createOwners } from "../../src/coordination/replicaOwners/owners.ts";
import { decodeOwnerMessage, encodeOwnerMessage } from "../../src/protocol/forwarding/ownerMessage.ts";
import type { OwnerMessage } from "../../src/protocol/forwarding/ownerMessage.ts";
import type { Prompt } from "../../src/protocol/forwarding/types.ts";
import { createReplicaTable } from "../../src/state/forwarding/replicaTable.ts";
import { createRouteTable } from "../../src/state/forwarding/routeTable.ts";
import { formatTable } from "../report/table.ts";
import type { Row } from "../report/table.ts";
import { timeCalls } from "../slopes/measure.ts";
import type { Bench } from "../types.ts";

const calls = { usual: 2_000, quick: 300 } as const;

const microsecondsPerMillisecond = 1_000;

/** Wraps a call so that it runs `count` times and returns the microseconds taken. */
const timeLoop =
  (run: (index: number) => unknown) =>
  (count: number): number => {
    const begunAt = performance.now();
    for (let index = 0; index < count; index += 1) run(index);
    return (performance.now() - begunAt) * microsecondsPerMillisecond;
  };

const replicaKey = 0x1234_5678_9abc;

/** Messages caused by one request with a long prompt that has two shared parts. */
const messages: Readonly<Record<string, OwnerMessage>> = {
  "question to one owner": {
    kind: "ask",
    name: "edge-amman-north-17",
    number: 1_000,
    replicas: [replicaKey, replicaKey],
    parts: [0x9abc_def0, 0x1234_5678],
    organisation: 0x1111_2222,
  },
  "answer of an owner": {
    kind: "answer",
    number: 1_000,
    reports: [
      {
        replica: replicaKey,
        requests: 21,
        promptTokens: [0, 0, 0, 8_000, 12_000],
        organisations: [{ key: 0x1111_2222, promptTokens: 8_000 }],
        reservedTokens: 60_000,
        prefillRate: 66,
        ejectedFor: 0,
        limit: undefined,
      },
      {
        replica: replicaKey,
        requests: 17,
        promptTokens: [0, 0, 0, 900],
        organisations: [],
        reservedTokens: 50_000,
        prefillRate: 40,
        ejectedFor: 0,
        limit: undefined,
      },
    ],
    usedParts: [0x9abc_def0, 0x1234_5678],
    holders: [
      { part: 0x9abc_def0, replica: replicaKey, isReady: true },
      { part: 0x1234_5678, replica: replicaKey, isReady: true },
    ],
  },
  "report of a request that begins": {
    kind: "work",
    name: "edge-amman-north-17",
    incarnation: "0123456789ab",
    sequence: 5_000,
    reports: [
      {
        replica: replicaKey,
        requests: 2,
        promptTokens: [0, 0, 0, 8_000],
        organisations: [{ key: 0x1111_2222, promptTokens: 8_000 }],
        reservedTokens: 12_100,
        computedTokens: 1_000_000,
        prefilledTokens: 0,
        isUnreachable: false,
        isBackingOff: false,
        limit: undefined,
      },
    ],
    holders: [
      { part: 0x9abc_def0, replica: replicaKey, isReady: false },
      { part: 0x1234_5678, replica: replicaKey, isReady: false },
    ],
  },
};

const measureMessages = async (count: number): Promise<readonly Row[]> => {
  const rows: Row[] = [["message", "bytes", "µs to write and read"]];
  for (const [name, message] of Object.entries(messages)) {
    const cost = await timeCalls(
      count,
      timeLoop(() => decodeOwnerMessage(encodeOwnerMessage(message))),
    );
    rows.push([name, String(encodeOwnerMessage(message).length), cost.toFixed(1)]);
  }
  return rows;
};

const promptOf = (index: number): Prompt => ({
  model: "m",
  tokens: 7_000,
  answerTokens: 80,
  parts: [
    { id: "rules", tokens: 500 },
    { id: `subject-${index % 500}`, tokens: 4_500 },
    { id: `own-${index}`, tokens: 2_000 },
  ],
});

const createDecision = (replicaCount: number, routerCount: number) => {
  const clock = createManualClock(1_000);
  const replicas = createReplicaTable();
  for (let index = 0; index < replicaCount; index += 1) replicas.put(engineEntry(`engine-${index}`));
  const configuration = createConfigurationState(clock);
  configuration.apply(pageOf({ kind: "configuration", configuration: configurationOf(1) }));
  const placement = createEnginePlacement({
    replicas,
    configuration,
    holders: createCacheHolders({ clock, computedTokens: () => 0, memoryTokens: () => 200_000 }),
    estimates: createReplicaEstimates(),
    clock,
    bounds,
    findStore: () => undefined,
    saving: { lossShare: () => 0 },
    policy: defaultLoadPolicy,
    memory: undefined,
    priorityOf: weightedPriorityOf,
    packingLimit: () => Number.POSITIVE_INFINITY,
    organisationKey: () => 0,
    random: Math.random,
  });
  const routerOf = (index: number) => ({
    name: `router-${index}`,
    dataCentre: "here",
    at: { address: "10.0.0.1", port: index + 1 },
  });
  const others = Array.from({ length: routerCount - 1 }, (_, index) => routerOf(index + 1));
  const owners = createOwners({ self: routerOf(0), others: () => others, clock });
  const table = createRouteTable(configurationOf(1));
  const admission = { table, route: streamRoute, service: engineService, organisation: undefined };
  const serving = replicas.serving("engines");
  return (index: number): void => {
    const prompt = promptOf(index);
    const { replicas: asked } = placement.shortlist(prompt, admission, serving);
    for (const each of asked) owners.ownerOf(each);
    placement.choose(prompt, admission, serving, () => 0, asked);
  };
};

const sizes = [
  { replicas: 16, routers: 17 },
  { replicas: 55, routers: 33 },
  { replicas: 250, routers: 38 },
  { replicas: 1_000, routers: 38 },
] as const;

const measureDecisions = async (count: number): Promise<readonly Row[]> => {
  const rows: Row[] = [
    ["replicas known", "routers of their data centre", "µs a decision with its owners found"],
  ];
  for (const { replicas, routers } of sizes) {
    const decide = createDecision(replicas, routers);
    const cost = await timeCalls(count, timeLoop(decide));
    rows.push([String(replicas), String(routers), cost.toFixed(0)]);
  }
  return rows;
};

/** Cost of owner messages and of placement decisions that query owners. */
export const ownersBench: Bench = {
  name: "owners",
  summary:
    "messages to the owners of replicas, and placement decisions with owner lookup, by replicas and routers",
  run: async ({ quick, json }) => {
    const count = quick ? calls.quick : calls.usual;
    const tables = [await measureMessages(count), await measureDecisions(count)];
    console.log(json ? JSON.stringify(tables) : tables.map(formatTable).join("\n\n"));
  },
};
