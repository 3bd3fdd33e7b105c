/** The plan of a run: what happens when, the same for the same seed. */
import { createRandom } from "../../bench/model/random.ts";

export const defaultStepKinds = [
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

/** The usual ones, and replicas that report about themselves in their answers. */
export const replicaReportStepKinds = [
  ...defaultStepKinds,
  "replicaReportsDraining",
  "replicaAsksForBackoff",
] as const;

/** All of these, and a store that returns from older copies of itself. */
export const storeRestoreStepKinds = [...replicaReportStepKinds, "storeReturns", "storeReturns"] as const;

/** What may happen. */
export type StepKind = (typeof storeRestoreStepKinds)[number];

/** One thing that happens. */
export interface Step {
  readonly kind: StepKind;
  /** Milliseconds from the start of the load. */
  readonly at: number;
  /** How long it lasts, milliseconds. */
  readonly duration: number;
  /** Picks what is struck: 0 to 1. */
  readonly target: number;
}

const durations = { shortest: 300, longest: 3_000 } as const;

/** Between two steps on average, milliseconds: several overlap. */
const meanGap = 700;

/**
 * @param kinds - What may happen: the same seed with other kinds is another plan.
 * @returns The steps of a seed, in the order of their times.
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
  return steps;
};

/** @returns A line for each step, with the number by which it can be left out. */
export const describePlan = (plan: readonly Step[]): readonly string[] =>
  plan.map(
    ({ kind, at, duration, target }, index) =>
      `${index}: ${kind} at ${at} ms for ${duration} ms, target ${target.toFixed(2)}`,
  );
