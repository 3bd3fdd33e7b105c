/**
 * Long prompts that fill the memory of engines, with both deployments' engines: the acceptance criterion "memory" of
 * docs/HARD-LOAD.md. Guards against engines that preempt streams in mid-answer while others have room.
 */
import type { TestContext } from "node:test";
import { describe, it } from "node:test";
import { expect } from "earl";
import { noLoadFeatures } from "../src/coordination/forwarding/loadFeatures.ts";
import type { TrialControl, TrialKind, TrialOptions, TrialRecord } from "./support/placementTrial.ts";
import { runTrial } from "./support/placementTrial.ts";

type Deployment = Pick<TrialOptions, "engines" | "kinds">;

const engineCount = 12;

/** Prompts of 12,000 tokens in the mean and up to 54,600, with long answers. */
const long: Omit<TrialKind, "perSecond" | "objective" | "priority"> = {
  name: "long",
  answerTokens: 350,
  ownTokens: 6_000,
  maximumOwnTokens: 48_600,
  subjects: { count: 60, tokens: 6_000, skew: 0.6 },
};

const short: Omit<TrialKind, "perSecond" | "objective" | "priority"> = {
  name: "short",
  answerTokens: 60,
  ownTokens: 900,
  maximumOwnTokens: 6_000,
  subjects: { count: 100, tokens: 1_500, skew: 0.6 },
};

/** 1.8 times the usual long prompts of each engine, and 0.68 of the short ones. */
const contended: Deployment = {
  engines: { count: engineCount, slots: 32, memoryTokens: 275_593, prefillRate: 125, step: 20 },
  kinds: [
    { ...long, perSecond: engineCount * 2.8, objective: 1_219, priority: 2 },
    { ...short, perSecond: engineCount * 5.3, objective: 510, priority: 0 },
  ],
};

/** 1.4 times the usual long prompts of each engine, a third of them about one subject, and 0.6 of the short ones. */
const uneven: Deployment = {
  engines: { count: engineCount, slots: 64, memoryTokens: 194_584, prefillRate: 66, step: 12 },
  kinds: [
    { ...long, answerTokens: 400, perSecond: engineCount * 2.3, objective: 819, priority: 1, hotShare: 0.33 },
    { ...short, perSecond: engineCount * 3.8, objective: 410, priority: 0 },
  ],
};

const seeds = [1, 2];

/** Runs without the feature don't read hints, so those that differ only in them are shared. */
const undisturbed = new Map<Deployment, Awaited<ReturnType<typeof measure>>>();

const usualHints = [0.25, 1, 1, 4];

const isPaused = ({ longestPause }: TrialRecord): boolean => longestPause > 400;

/** @returns The preempted requests over all seeds, and the shares of streams with a pause and of answers in time. */
const measure = async (
  deployment: Deployment,
  batchMemory: boolean,
  changes: Partial<TrialOptions> = {},
): Promise<{ preempted: number; paused: number; inTime: number }> => {
  let preempted = 0;
  const records: TrialRecord[] = [];
  for (const seed of seeds) {
    const result = await runTrial({
      ...deployment,
      seconds: 16,
      seed,
      routers: 20,
      dataCentres: 3,
      features: { ...noLoadFeatures, batchMemory },
      hintFactors: usualHints,
      ...changes,
    });
    preempted += result.preempted;
    records.push(...result.records);
  }
  const served = records.filter(({ outcome }) => outcome === "served");
  const inTime = served.filter(({ firstTokenAfter = Infinity, kind }) => firstTokenAfter <= kind.objective);
  return {
    preempted,
    paused: served.filter(isPaused).length / served.length,
    inTime: inTime.length / records.length,
  };
};

const describeRun = (name: string, { preempted, paused, inTime }: Awaited<ReturnType<typeof measure>>) =>
  `${name}: ${preempted} preempted, ${paused.toFixed(4)} paused, ${inTime.toFixed(3)} in time`;

/** Compares runs with and without the feature. */
const compare = async (context: TestContext, deployment: Deployment, changes: Partial<TrialOptions> = {}) => {
  const known = changes.disturb === undefined ? undisturbed.get(deployment) : undefined;
  const without = known ?? (await measure(deployment, false, changes));
  if (changes.disturb === undefined) undisturbed.set(deployment, without);
  const counted = await measure(deployment, true, changes);
  context.diagnostic(describeRun("without", without));
  context.diagnostic(describeRun("counted", counted));
  return { without, counted };
};

describe("long prompts that fill the memory of engines", () => {
  for (const [name, deployment] of Object.entries({ contended, uneven })) {
    it(`are preempted less than half as often with the ${name} deployment's engines`, async (context) => {
      const { without, counted } = await compare(context, deployment);
      expect(counted.preempted).toBeLessThan(without.preempted / 2);
      expect(counted.paused <= 0.01).toEqual(true);
      expect(counted.inTime).toBeGreaterThan(without.inTime - 0.005);
    });

    for (const factor of [0.25, 4]) {
      it(`the same with hints of ${factor} times the answer with the ${name} engines`, async (context) => {
        const { without, counted } = await compare(context, deployment, { hintFactors: [factor] });
        expect(counted.preempted).toBeLessThan(without.preempted / 2);
        expect(counted.paused <= 0.01).toEqual(true);
      });
    }
  }
});

describe("counts of memory that are missing for a time", () => {
  const loseOwner = ({ clock, lose }: TrialControl): void => {
    clock.after(9_000, () => lose(0));
  };

  const restartRouters = ({ clock, restart }: TrialControl): void => {
    clock.after(9_000, () => {
      for (const router of [0, 1, 2]) restart(router);
    });
  };

  for (const [name, disturb] of Object.entries({ loseOwner, restartRouters })) {
    it(`still leave fewer preemptions than without counting: ${name}`, async (context) => {
      const { without, counted } = await compare(context, contended, { disturb });
      expect(counted.preempted).toBeLessThan(without.preempted / 2);
      expect(counted.paused <= 0.01).toEqual(true);
    });
  }
});
