/** Records of other writers in the store's topics, before router processes. */
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { ForeignRecord } from "../../standIns/platform/foreignRecords.ts";
import { createRegistryEntry } from "../../standIns/platform/platformSystem.ts";
import type { StoreStandIn } from "../../standIns/platform/store.ts";
import { waitUntil } from "../support/conditions.ts";
import type { DeskSystem } from "../support/deskSystem.ts";
import { startDeskSystem } from "../support/deskSystem.ts";
import type { RouterProcess } from "../support/routerProcess.ts";
import { startRouterProcess } from "../support/routerProcess.ts";

/** Longer than routers take to read a record and to use it in all their regular tasks, milliseconds. */
const useTime = 1_500;

const readsPerRouter = 20;

const waitUntilServing = async (routers: readonly RouterProcess[]): Promise<void> => {
  for (const router of routers)
    await waitUntil(async () => !router.isRunning() || (await router.read()) === 200);
};

const readAll = async (routers: readonly RouterProcess[]): Promise<readonly number[]> => {
  const statuses: number[] = [];
  for (const router of routers)
    for (let index = 0; index < readsPerRouter; index += 1) statuses.push(await router.read());
  return statuses;
};

const isRefusalOf =
  ({ topic, key }: ForeignRecord) =>
  (line: Readonly<Record<string, unknown>>): boolean =>
    line.event === "record_refused" && line.topic === topic && line.key === key;

/** What a record cost two routers that run, and one that starts while it stands. */
const writeRecord = async (store: StoreStandIn, record: ForeignRecord) => {
  await using first = await startRouterProcess("router-0", store.address);
  await using second = await startRouterProcess("router-1", store.address);
  await waitUntilServing([first, second]);
  store.put(record.topic, record.key, record.value);
  await sleep(useTime);
  await using third = await startRouterProcess("router-2", store.address);
  await waitUntilServing([third]);
  await sleep(useTime);
  const routers = [first, second, third];
  const statuses = await readAll(routers);
  return {
    ended: routers.filter((router) => !router.isRunning()).map(({ name }) => name),
    notServed: statuses.filter((status) => status !== 200),
    refusals: third.lines.filter(isRefusalOf(record)).length,
  };
};

/** More than the bytes of a text in a message between routers. */
const longText = "x".repeat(300);

const replicaRecord = (fields: Readonly<Record<string, unknown>>, { desk }: DeskSystem): ForeignRecord => ({
  topic: "keyed.servers",
  key: "foreign-0",
  value: { ...createRegistryEntry("desk", desk, 1), ...fields },
});

const cases: Readonly<Record<string, (system: DeskSystem) => ForeignRecord>> = {
  "a replica of an unknown service at a port that is none: its path check ended every router": (system) =>
    replicaRecord({ service: "another-desk", address: "127.0.0.1:70000" }, system),
  "a replica of a known service at a port that is none: requests placed there failed": (system) =>
    replicaRecord({ address: "127.0.0.1:70000" }, system),
  "weights of a model whose name fits into no message: the next message to peers ended every router": () => ({
    topic: "keyed.op",
    key: "version/long",
    value: { model: longText, version: 1 },
  }),
  "a router at a port that is none: the first message to it ended each router that started": () => ({
    topic: "keyed.routers",
    key: "foreign-router",
    value: {
      name: "foreign-router",
      incarnation: "a",
      dataCentre: "here",
      address: "127.0.0.1",
      port: 70_000,
    },
  }),
};

describe("a record of another writer ends no router and is refused once:", () => {
  for (const [name, createRecord] of Object.entries(cases)) {
    it(name, async () => {
      await using system = await startDeskSystem(["desk-0", "desk-1"]);
      expect(await writeRecord(system.store, createRecord(system))).toEqual({
        ended: [],
        notServed: [],
        refusals: 1,
      });
    });
  }
});

describe("a task in the background that fails", () => {
  it("costs its own work, and is logged with its key: it ended the router", async () => {
    await using system = await startDeskSystem(["desk-0"]);
    const program = new URL("../support/faultyRouter.js", import.meta.url);
    await using router = await startRouterProcess("router-0", system.store.address, { program });
    await waitUntilServing([router]);
    // A replica that owes an answer makes the router look for its paths, and probe that replica.
    system.desk.setBehaviours("hang");
    const unanswered = router.read();
    await sleep(useTime);
    await unanswered;
    const statuses = await readAll([router]);
    expect([router.isRunning(), statuses.filter((status) => status !== 200)]).toEqual([true, []]);
    const failed = router.lines.filter(({ part, event }) => part === "tasks" && event === "failed");
    const tasks = failed.map(({ task, key }) => `${String(task)} ${String(key)}`);
    expect(tasks.toSorted()).toEqual([
      ...["checkPath desk", "checkSilence ", "probeReplica desk-0", "unhandledRejection "],
    ]);
  });
});
