/**
 * An entry of another writer comes into the registry of replicas: its service isn't named in the configuration, and its
 * address has a port that is none. It must name no replica to use; the other entries hold, and the routers go on.
 */
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createConfiguration,
  createRegistryEntry,
  hosts,
  keys,
} from "../../standIns/platform/platformSystem.ts";
import { startReplicaStandIn } from "../../standIns/platform/replica.ts";
import { startStoreStandIn } from "../../standIns/platform/store.ts";
import { send } from "../support/callers.ts";
import {
  caseRecord,
  finish,
  isWithoutTrouble,
  startRouterVm,
  verdicts,
  waitUntilReady,
} from "../support/deployment.ts";

/** LOST: so many requests may be passed on from kept channels that are then closed without an answer. */
const allowedLosses = 3;

/** Fault: processes end by themselves three times, on a tenth of the machines, two at least. */
const allowedEnds = 2;
const allowedMachines = 1;

const callersPerRouter = 6;
const serviceTime = 80;

const secondsBefore = 3;
const secondsAfter = 20;

const record = caseRecord("1");
const { note } = record;

const store = await startStoreStandIn();
store.faults.omitsEpoch = true;
const desk = await startReplicaStandIn({ id: "desk-0", serviceTime });
const otherDesk = await startReplicaStandIn({ id: "desk-1", serviceTime });
const engine = await startReplicaStandIn({ id: "engine-0", model: { name: "m", version: 1 } });
store.put("keyed.op", "config", createConfiguration());
store.put("keyed.op", "version/m", { model: "m", version: 1 });
for (const each of [desk, otherDesk])
  store.put("keyed.servers", each.id, createRegistryEntry("desk", each, 1));
store.put("keyed.servers", engine.id, createRegistryEntry("engines", engine, 1));

const routers = await Promise.all(
  [1, 2, 3].map((number) =>
    startRouterVm({ name: `router-${number}`, address: `127.0.1.${number}`, store: store.address, record }),
  ),
);

const counts = { sent: 0, served: 0, unserved: 0, lost: 0 };
let isOver = false;

const hasArrived = (id: string): boolean =>
  [desk, otherDesk].some(({ runs }) => runs.some((run) => run.id === id));

const call = async (caller: number): Promise<void> => {
  const router = routers[caller % routers.length];
  if (router === undefined) return;
  const { address, port } = router;
  /** A channel that is kept for many requests. */
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let number = 0; !isOver; number += 1) {
    const id = `read-${caller}-${number}`;
    counts.sent += 1;
    const answer = await send({
      ...{ address, port, id, host: hosts.desk, path: "/read/thing", method: "GET" },
      ...{ key: keys.known, deadline: 600, agent },
    });
    const isServed = answer.status === 200 && answer.headers["x-replica-seal"] !== undefined;
    counts[isServed ? "served" : "unserved"] += 1;
    const isLost = answer.status === 0 && hasArrived(id);
    if (isLost) counts.lost += 1;
    if (!isServed)
      note(
        `${id} at ${router.name}: status ${answer.status} ${answer.error}${isLost ? ", and a replica has run it" : ""}`,
      );
    await sleep(isServed ? 20 : 200);
  }
  agent.destroy();
};

const run = async (): Promise<number> => {
  if (!(await waitUntilReady(routers))) return verdicts.couldNotRun;
  note("the routers are ready");
  const callers = Array.from({ length: routers.length * callersPerRouter }, (_, caller) => call(caller));
  await sleep(secondsBefore * 1_000);
  note(`before the entry: ${JSON.stringify(counts)}`);
  if (!isWithoutTrouble) {
    const entry = { ...createRegistryEntry("another-desk", desk, 1), address: "127.0.0.1:70000" };
    store.put("keyed.servers", "foreign-0", entry);
    note(`another writer writes servers/foreign-0: ${JSON.stringify(entry)}`);
  }
  await sleep(secondsAfter * 1_000);
  isOver = true;
  await Promise.all(callers);
  note(`at the end: ${JSON.stringify(counts)}`);
  const ends = routers.map(({ name, ownEnds }) => `${name} ${ownEnds.length}`);
  note(`processes that ended by themselves: ${ends.join(", ")}`);
  if (counts.served === 0) return verdicts.couldNotRun;
  const failing = routers.filter(({ ownEnds }) => ownEnds.length > allowedEnds).length;
  note(`passed on from a kept channel that was closed without an answer: ${counts.lost}`);
  const isBroken = counts.lost > allowedLosses || failing > allowedMachines;
  return isBroken ? verdicts.broken : verdicts.held;
};

await finish(record, routers, await run());
