/** Runs an experiment in simulated time with one policy and one random seed. */
import { setImmediate as macrotask } from "node:timers/promises";
import type { LoadFeatures } from "../../src/coordination/forwarding/loadFeatures.ts";
import { noLoadFeatures } from "../../src/coordination/forwarding/loadFeatures.ts";
import type { LoadPolicy } from "../../src/coordination/forwarding/loadPolicy.ts";
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import { MemoryNetwork } from "../../tests/support/MemoryNetwork.ts";
import { createRandom } from "../model/random.ts";
import type { WorkTotals } from "./batchTypes.ts";
import type { LabRecord } from "./caller.ts";
import { runCaller } from "./caller.ts";
import type { Experiment, Fault } from "./experiment.ts";
import { windowsOf } from "./experiment.ts";
import type { LimitPeriod, LabFleet } from "./fleet.ts";
import { createFleet, labNames } from "./fleet.ts";
import type { LabRouter } from "./labRouter.ts";
import type { RouterGroup } from "./routerGroup.ts";
import { createRouterGroup } from "./routerGroup.ts";
import { createLabArrivals } from "./workload.ts";

/** Result of a run. */
export interface LabResult {
  readonly records: readonly LabRecord[];
  readonly totals: Readonly<WorkTotals>;
  readonly limits: readonly LimitPeriod[];
  readonly fleet: Pick<LabFleet, "replicas" | "refusals" | "reports">;
  /** Number of datagrams between routers. */
  readonly messages: number;
  /** Bytes of these datagrams. */
  readonly messageBytes: number;
  /** Prompt tokens that all engines had computed at the start and the end of each window. */
  readonly windowTokens: readonly { from: number; to: number }[];
}

const millisecondsPerSecond = 1_000;

/** Least time for requests in progress to finish after the last arrival, simulated milliseconds. */
const finishTime = 16_000;

/** Publishes a new weights version; routers learn of each engine's change after the message delay, as from peers. */
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
  const announce = (change: (router: LabRouter) => void): void => {
    clock.after(messageDelay, () => routers.forEach(change));
  };
  void fleet.loadWeights(
    version,
    ({ entry }, until) =>
      announce(({ replicas }) => {
        const state = replicas.get(entry.id);
        if (state !== undefined) state.changingUntil = until;
      }),
    ({ entry }) =>
      announce(({ replicas }) => {
        replicas.noteWeights(entry.id, labNames.model, version);
      }),
  );
};

const applyFault = (
  fault: Fault,
  experiment: Experiment,
  clock: ManualClock,
  fleet: LabFleet,
  routers: RouterGroup,
): void => {
  if (fault.kind === "dark" || fault.kind === "crash") {
    fleet.takeEnginesDown(fault.engines, fault.kind === "dark", fault.seconds);
  } else if (fault.kind === "weights") changeWeights(experiment, clock, fleet, routers.running());
  else if (fault.kind === "limited") fleet.limit(fault.engines, fault, fault.seconds);
  else if (fault.kind === "draining") fleet.drain(fault.engines, fault.seconds);
  else if (fault.kind === "backingOff") {
    const { retryAfter } = fault;
    const backoff = retryAfter === undefined ? undefined : retryAfter * millisecondsPerSecond;
    fleet.refuse(fault.engines, { retryAfter: backoff }, fault.seconds);
  } else if (fault.kind === "storeDown") fleet.takeStoreDown(fault.seconds);
  else if (fault.kind === "speed") fleet.changeSpeed(fault.engines, fault.factor, fault.seconds);
  else if (fault.kind === "routersStart") routers.start(fault.routers);
  else if (fault.kind === "routersStop") routers.stop(fault.routers);
  else if (fault.kind === "partition") {
    routers.isolate(fault.dataCentre);
    clock.after(fault.seconds * millisecondsPerSecond, () => routers.isolate(undefined));
  }
};

/** Advances the clock from timer to timer, and lets promises settle after each. */
const runUntil = async (clock: ManualClock, end: number): Promise<void> => {
  for (let at = clock.nextTimer(); at !== undefined && at <= end; at = clock.nextTimer()) {
    clock.advanceTo(at);
    await macrotask();
  }
};

/** Runs an experiment with one policy and one seed. */
export const runLab = async (
  experiment: Experiment,
  policy: LoadPolicy,
  seed: number,
  features: LoadFeatures = noLoadFeatures,
): Promise<LabResult> => {
  const clock = createManualClock();
  const network = new MemoryNetwork(clock);
  network.delay = experiment.messageDelay;
  const fleet = createFleet(experiment, clock);
  const routers = createRouterGroup({ experiment, policy, features, clock, fleet }, network, seed);
  const balancer = createRandom(seed, "balancer");
  const pickRouter = (dataCentre: number | undefined): LabRouter => routers.pick(dataCentre, balancer);
  const records = createLabArrivals(experiment, seed).map((arrival): LabRecord => ({
    arrival,
    outcome: "failed",
    firstTokenAfter: undefined,
    tries: 0,
    longestPause: 0,
    refusals: [],
  }));
  for (const record of records) {
    clock.after(record.arrival.at, () => void runCaller({ clock, fleet, pickRouter }, record));
  }
  for (const fault of experiment.faults) {
    clock.after(fault.at * millisecondsPerSecond, () => applyFault(fault, experiment, clock, fleet, routers));
  }
  const windowTokens = windowsOf(experiment).map(({ from, to }) => {
    const tokens = { from: 0, to: 0 };
    clock.after(from * millisecondsPerSecond, () => (tokens.from = fleet.totals.computed));
    clock.after(to * millisecondsPerSecond, () => (tokens.to = fleet.totals.computed));
    return tokens;
  });
  const lastDeadline = Math.max(finishTime, ...experiment.kinds.map(({ deadline }) => deadline));
  await runUntil(clock, experiment.seconds * millisecondsPerSecond + lastDeadline);
  return {
    records,
    totals: fleet.totals,
    limits: fleet.limits,
    fleet,
    messages: network.sent,
    messageBytes: network.sentBytes,
    windowTokens,
  };
};
