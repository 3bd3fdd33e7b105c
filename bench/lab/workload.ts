/** Generates the requests of an experiment: their arrival times, prompts and lengths of answers. */
import type { Prompt } from "../../src/protocol/forwarding/types.ts";
import type { Random } from "../model/random.ts";
import { createRandom, createWeightedIndex, zipfWeights } from "../model/random.ts";
import type { DemandSource } from "./demand.ts";
import { createDemand, isDuring } from "./demand.ts";
import type { Experiment, KindSpecification } from "./experiment.ts";
import { labNames } from "./fleet.ts";

/** A generated request. */
export interface LabArrival extends DemandSource {
  readonly id: string;
  /** Simulated milliseconds. */
  readonly at: number;
  readonly kind: KindSpecification;
  readonly prompt: Prompt;
  readonly answerTokens: number;
  /** The caller's estimate of the answer's length, tokens. */
  readonly expectedAnswerTokens: number;
  /** Time after which the caller cancels, milliseconds; `undefined` if it waits until its deadline. */
  readonly leavesAfter: number | undefined;
}

/** Callers that cancel early do so within this share of the latency objective. */
const latestLeaveShare = 0.5;

const millisecondsPerSecond = 1_000;

/** Estimates of an answer's length are right at the median and off by up to this factor. */
const hintError = 4;

/** @returns An estimate of an answer's length, evenly distributed on a logarithmic scale. */
const drawHint = (answerTokens: number, random: Random): number =>
  Math.max(1, Math.round(answerTokens * hintError ** (2 * random.uniform() - 1)));

const subjectAt = (
  { faults }: Experiment,
  kind: KindSpecification,
  now: number,
  usualSubject: number,
  random: Random,
): number => {
  for (const fault of faults) {
    const isHot = fault.kind === "hotSubject" && fault.of === kind.name && isDuring(fault, now);
    if (isHot && random.uniform() < fault.share) return 0;
  }
  return usualSubject;
};

const leaveDelayAt = (
  { faults }: Experiment,
  kind: KindSpecification,
  now: number,
  random: Random,
): number | undefined => {
  for (const fault of faults) {
    const leaves = fault.kind === "leaving" && isDuring(fault, now) && random.uniform() < fault.share;
    if (leaves) return random.uniform() * kind.objective * latestLeaveShare;
  }
  return undefined;
};

const createPrompt = (kind: KindSpecification, subject: number, ownTokens: number, id: string): Prompt => {
  const { openings, subjects } = kind;
  const parts = [
    { id: `${kind.name}-opening-${subject % openings.count}`, tokens: openings.tokens },
    { id: `${kind.name}-subject-${subject}`, tokens: subjects.tokens },
    { id: `own-${id}`, tokens: ownTokens },
  ];
  const tokens = openings.tokens + subjects.tokens + ownTokens;
  return {
    model: labNames.model,
    tokens,
    answerTokens: kind.maximumAnswerTokens ?? kind.answerTokens,
    parts,
  };
};

const createArrivalsOf = (
  experiment: Experiment,
  kind: KindSpecification,
  seed: number,
): readonly LabArrival[] => {
  const random = createRandom(seed, kind.name);
  // Draws of their own, so that an experiment's arrivals do not depend on whether it has organisations or waves.
  const sources = createRandom(seed, `${kind.name} sources`);
  const hints = createRandom(seed, `${kind.name} hints`);
  const demand = createDemand(experiment);
  const pickSubject = createWeightedIndex(zipfWeights(kind.subjects.count, kind.subjects.skew));
  const end = experiment.seconds * millisecondsPerSecond;
  const arrivals: LabArrival[] = [];
  let at = 0;
  for (;;) {
    at += random.exponential(millisecondsPerSecond / (kind.perSecond * demand.rateFactor(kind, at)));
    if (at >= end) return arrivals;
    const id = `${kind.name}-${arrivals.length}`;
    const subject = subjectAt(experiment, kind, at, pickSubject(random), random);
    const ownTokens = 1 + Math.round(random.exponential(kind.ownTokens));
    const drawnTokens = 1 + Math.round(random.exponential(kind.answerTokens));
    const answerTokens = Math.min(drawnTokens, kind.maximumAnswerTokens ?? drawnTokens);
    arrivals.push({
      ...demand.pickSource(at, sources),
      id,
      at,
      kind,
      prompt: createPrompt(kind, subject, ownTokens, id),
      answerTokens,
      expectedAnswerTokens: drawHint(answerTokens, hints),
      leavesAfter: leaveDelayAt(experiment, kind, at, random),
    });
  }
};

/** @returns All requests of a run, the same for every policy. */
export const createLabArrivals = (experiment: Experiment, seed: number): readonly LabArrival[] =>
  experiment.kinds
    .flatMap((kind) => createArrivalsOf(experiment, kind, seed))
    .sort((left, right) => left.at - right.at);
