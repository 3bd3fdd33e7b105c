/** One run of an experiment in simulated time: a policy and a random seed. */
import { setImmediate as macrotask } from "node:timers/promises";
import type { LoadPolicy } from "../../src/coordination/forwarding/loadPolicy.ts";
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import type { RouterEntry } from "../../src/protocol/forwarding/types.ts";
import { MemoryNetwork } from "../../tests/support/MemoryNetwork.ts";
import { createRandom } from "../model/random.ts";
import type { WorkTotals } from "./batchTypes.ts";
import type { LabRecord } from "./caller.ts";
import { runCaller } from "./caller.ts";
import type { Experiment, Fault } from "./experiment.ts";
import type { LimitPeriod, LabFleet } from "./fleet.ts";
import { createFleet, labNames } from "./fleet.ts";
import type { LabRouter } from "./labRouter.ts";
import { createLabRouter } from "./labRouter.ts";
import { createLabArrivals } from "./workload.ts";

/** What came of a run. */
export interface LabResult {
  readonly records: readonly LabRecord[];
  readonly totals: Readonly<WorkTotals>;
  readonly limits: readonly LimitPeriod[];
  readonly fleet: Pick<LabFleet, "replicas" | "refusals" | "reports">;
  /** Datagrams between routers. */
  readonly messages: number;
}

const firstPort = 7_000;

const millisecondsPerSecond = 1_000;

/** Requests under way at the end of arrivals are given this time, simulated milliseconds. */
const endTime = 16_000;

const entriesOf = ({ routers, dataCentres }: Experiment): readonly RouterEntry[] =>
  Array.from({ length: routers }, (_, index) => ({
    name: `router-${index}`,
    incarnation: `process-${index}`,
    dataCentre: `centre-${index % dataCentres}`,
    address: "10.0.0.1",
    port: firstPort + index,
  }));

/** Names new weights; routers hear of each engine's change as peers would tell them. */
const changeWeights = (
  { messageDelay }: Experiment,
  clock: ManualClock,
  fleet: LabFleet,
  routers: readonly LabRouter[],
): void => {
  const version = Math.max(...fleet.replicas.map((replica) => replica.version)) + 1;
  for (const { publish } of routers) {
    publish({ kind: "weights", target: { model: labNames.model, version } });
  }
  const tell = (change: (router: LabRouter) => void): void => {
    clock.after(messageDelay, () => routers.forEach(change));
  };
  void fleet.loadWeights(
    version,
    ({ entry }, until) =>
      tell(({ replicas }) => {
        const state = replicas.get(entry.id);
        if (state !== undefined) state.changingUntil = until;
      }),
    ({ entry }) =>
      tell(({ replicas }) => {
        replicas.noteWeights(entry.id, labNames.model, version);
      }),
  );
};

const strike = (
  fault: Fault,
  experiment: Experiment,
  clock: ManualClock,
  fleet: LabFleet,
  routers: readonly LabRouter[],
): void => {
  if (fault.kind === "dark" || fault.kind === "crash") {
    fleet.takeEnginesDown(fault.engines, fault.kind === "dark", fault.seconds);
  } else if (fault.kind === "weights") changeWeights(experiment, clock, fleet, routers);
  else if (fault.kind === "limited") fleet.limit(fault.engines, fault, fault.seconds);
  else if (fault.kind === "draining") fleet.drain(fault.engines, fault.seconds);
  else if (fault.kind === "backingOff") {
    const { retryAfter } = fault;
    const asked = retryAfter === undefined ? undefined : retryAfter * millisecondsPerSecond;
    fleet.refuse(fault.engines, { retryAfter: asked }, fault.seconds);
  } else if (fault.kind === "storeDown") fleet.takeStoreDown(fault.seconds);
};

/** Advances from timer to timer; promises settle in between. */
const runUntil = async (clock: ManualClock, end: number): Promise<void> => {
  for (let at = clock.nextTimer(); at !== undefined && at <= end; at = clock.nextTimer()) {
    clock.advanceTo(at);
    await macrotask();
  }
};

/** Runs one policy under one seed. */
export const runLab = async (
  experiment: Experiment,
  policy: LoadPolicy,
  seed: number,
): Promise<LabResult> => {
  const clock = createManualClock();
  const network = new MemoryNetwork(clock);
  network.delay = experiment.messageDelay;
  const fleet = createFleet(experiment, clock);
  const all = entriesOf(experiment);
  const routers = all.map((self) => {
    const { uniform: random } = createRandom(seed, self.name);
    const link = network.open(self.port);
    return createLabRouter({ experiment, policy, clock, fleet, self, allRouters: all, link, random });
  });
  const balancer = createRandom(seed, "balancer");
  const pickRouter = () => {
    const router = routers[balancer.index(routers.length)];
    if (router === undefined) throw new RangeError("an experiment has routers");
    return router.forwarder;
  };
  const records = createLabArrivals(experiment, seed).map((arrival): LabRecord => ({
    arrival,
    outcome: "failed",
    firstTokenAfter: undefined,
    tries: 0,
  }));
  for (const record of records) {
    clock.after(record.arrival.at, () => void runCaller({ clock, fleet, pickRouter }, record));
  }
  for (const fault of experiment.faults) {
    clock.after(fault.at * millisecondsPerSecond, () => strike(fault, experiment, clock, fleet, routers));
  }
  await runUntil(clock, experiment.seconds * millisecondsPerSecond + endTime);
  return {
    records,
    totals: fleet.totals,
    limits: fleet.limits,
    fleet,
    messages: network.sent,
  };
};
