/** The plan of a run: its steps and their times, determined by the seed. */
import { createRandom } from "../../bench/model/random.ts";

const defaultStepKinds = [
  "killRouter",
  "endRouter",
  "endRoutersInTurn",
  "freezeRouter",
  "killAllRouters",
  "storeBusy",
  "storeSilent",
  "storeLosesAnswers",
  "storeCut",
  "storeDelayed",
  "storeMuted",
  "replicaReset",
  "replicaSilent",
  "replicaOneWay",
  "replicaDelayed",
  "replicaMuted",
  "replicaMisbehaves",
  "replicaLeaves",
  "takeKey",
  "nameWeights",
  "changeConfiguration",
  "changeSettings",
] as const;

/** The default kinds, and replicas that report draining or backoff in their answers. */
const replicaReportStepKinds = [
  ...defaultStepKinds,
  "replicaReportsDraining",
  "replicaAsksForBackoff",
] as const;

/** All kinds; a store that is restored from an older backup is listed twice, so that it is twice as likely. */
const storeRestoreStepKinds = [...replicaReportStepKinds, "storeReturns", "storeReturns"] as const;

/** All kinds, and replicas that drain after a restart with a clock that has stepped, or after a lapse of their entry. */
const registryStepKinds = [
  ...storeRestoreStepKinds,
  "replicaRestarts",
  "replicaRestarts",
  "entryLapses",
] as const;

/** @returns The kinds, repeated until there are about as many as {@link registryStepKinds}. */
const asMany = <Kind extends string>(...kinds: readonly Kind[]): readonly Kind[] =>
  Array.from({ length: registryStepKinds.length / kinds.length }, () => kinds).flat();

/**
 * All kinds, and load that competes for engines: floods of one organisation, engines that slow down, prompts that fill
 * their memory, and callers that read slowly or stop reading. Half of the steps are load.
 */
const loadStepKinds = [
  ...registryStepKinds,
  ...Array.from(
    { length: 8 },
    () => ["organisationFloods", "engineSlows", "memoryFills", "callersStopReading"] as const,
  ).flat(),
] as const;

/** All kinds, and engines whose streams have neither a length nor chunks, and break off. They are half of the steps. */
const streamStepKinds = [...registryStepKinds, ...asMany("streamsBreakOff")] as const;

/** All kinds, and partitions between routers and all replicas: of one router, and of all but one. Half of the steps. */
const partitionStepKinds = [
  ...registryStepKinds,
  ...asMany("routerPartitioned", "routersPartitioned"),
] as const;

/** All kinds, and callers that move between routers while replicas fail most requests. Half of the steps. */
const moveStepKinds = [...registryStepKinds, ...asMany("callersMove", "replicasFailOften")] as const;

/**
 * All kinds, and requests with a prompt part that crashes engines, callers whose connections mostly go to one router, and
 * replicas whose answers do not end. Half of the steps.
 */
const crashStepKinds = [
  ...registryStepKinds,
  ...asMany("crashingParts", "connectionHerd", "answersDoNotEnd"),
] as const;

/** All kinds, and records of other writers in each topic of the store. Half of the steps. */
const recordStepKinds = [...registryStepKinds, ...asMany("foreignRecords")] as const;

/** All kinds, and callers that don't behave, at all routers. Half of the steps. */
const clientStepKinds = [...registryStepKinds, ...asMany("clientsMisbehave")] as const;

/** The kinds of steps, by what a run is about. */
export const stepKinds = {
  default: defaultStepKinds,
  reports: replicaReportStepKinds,
  returns: storeRestoreStepKinds,
  registry: registryStepKinds,
  load: loadStepKinds,
  streams: streamStepKinds,
  partitions: partitionStepKinds,
  moves: moveStepKinds,
  crashes: crashStepKinds,
  records: recordStepKinds,
  clients: clientStepKinds,
} as const;

export type StepTopic = keyof typeof stepKinds;

/** The kind of a step. */
export type StepKind = (typeof stepKinds)[StepTopic][number];

/** One fault or change during a run. */
export interface Step {
  readonly kind: StepKind;
  /** Milliseconds from the start of the load. */
  readonly at: number;
  /** How long it lasts, milliseconds. */
  readonly duration: number;
  /** Selects the router or replica that it affects: 0 to 1. */
  readonly target: number;
}

const durations = { shortest: 300, longest: 3_000 } as const;

/** Mean time between the starts of two steps, milliseconds; several overlap. */
const meanGap = 700;

/**
 * Creates the plan of a seed.
 *
 * @param kinds - The kinds of steps to choose from; the same seed with other kinds gives another plan.
 * @returns The steps, ordered by time.
 */
export const createPlan = (
  seed: number,
  seconds: number,
  kinds: readonly StepKind[] = defaultStepKinds,
): readonly Step[] => {
  const random = createRandom(seed, "platform-soak");
  const steps: Step[] = [];
  const end = seconds * 1_000;
  for (let at = meanGap; at < end; at += meanGap * 2 * random.uniform()) {
    const kind = kinds[Math.floor(random.uniform() * kinds.length)] ?? "killRouter";
    const span = durations.longest - durations.shortest;
    const duration = Math.round(durations.shortest + span * random.uniform());
    steps.push({ kind, at: Math.round(at), duration, target: random.uniform() });
  }
  // Ends with a flood, so that the time after it is free of other faults.
  if (kinds.includes("organisationFloods"))
    steps.push({ kind: "organisationFloods", at: end, duration: durations.longest, target: 0 });
  return steps;
};

/** @returns A line for each step, with the number that selects it in the option `--only`. */
export const describePlan = (plan: readonly Step[]): readonly string[] =>
  plan.map(
    ({ kind, at, duration, target }, index) =>
      `${index}: ${kind} at ${at} ms for ${duration} ms, target ${target.toFixed(2)}`,
  );
