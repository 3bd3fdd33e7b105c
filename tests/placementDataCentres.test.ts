/**
 * Demand that moves between data centres in waves, and a prompt part that gets a third of the traffic. Guards against
 * replicas that queue in one data centre while others are free, against routers that all spill to the same replica, and
 * against a hot part that stays on too few replicas or is copied to all of them.
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import type { LabRouter } from "../bench/lab/labRouter.ts";
import type { LoadFeatures } from "../src/coordination/forwarding/loadFeatures.ts";
import { noLoadFeatures } from "../src/coordination/forwarding/loadFeatures.ts";
import type { TrialControl, TrialKind, TrialOptions, TrialRecord } from "./support/placementTrial.ts";
import { runTrial } from "./support/placementTrial.ts";

const dataCentres = 4;
const engineCount = 12;

/** Each data centre's demand swings by 55 % with a period of 17 s, 0.08 of a period after the one before it. */
const wave = (dataCentre: number, at: number): number =>
  1 + 0.55 * Math.sin(2 * Math.PI * (at / 17_000 - dataCentre * 0.08));

const short: TrialKind = {
  name: "short",
  perSecond: engineCount * 6.4,
  objective: 410,
  priority: 0,
  answerTokens: 60,
  ownTokens: 900,
  maximumOwnTokens: 6_000,
  subjects: { count: 100, tokens: 1_500, skew: 0.6 },
};

const long: TrialKind = {
  name: "long",
  perSecond: engineCount * 1.6,
  objective: 819,
  priority: 1,
  answerTokens: 100,
  ownTokens: 6_000,
  maximumOwnTokens: 48_600,
  subjects: { count: 60, tokens: 6_000, skew: 0.6 },
};

const options: Omit<TrialOptions, "features"> = {
  seconds: 17,
  seed: 1,
  routers: 12,
  dataCentres,
  engines: { count: engineCount, slots: 64, memoryTokens: 194_584, prefillRate: 66, step: 12 },
  kinds: [long, short],
  hintFactors: [0.25, 1, 1, 4],
  demandAt: wave,
};

const features = [noLoadFeatures, { ...noLoadFeatures, batchMemory: true }];

const inTimeOf = (records: readonly TrialRecord[]): number =>
  records.filter(({ firstTokenAfter = Infinity, kind }) => firstTokenAfter <= kind.objective).length /
  records.length;

/** Samples, every 100 ms, how many requests each replica has in progress over all routers. */
const sampleRequests =
  (samples: number[][]) =>
  ({ clock, fleet, routers }: TrialControl): void => {
    const sample = (): void => {
      if (clock.monotonic() > 17_000) return;
      samples.push(
        fleet.replicas.map(({ entry }) =>
          routers.reduce((sum, { replicas }) => sum + (replicas.get(entry.id)?.requests ?? 0), 0),
        ),
      );
      clock.after(100, sample);
    };
    clock.after(1_000, sample);
  };

/** @returns The share of the prompt tokens that were computed in another data centre than the router's. */
const otherShare = (routers: readonly LabRouter[]): number => {
  let all = 0;
  let other = 0;
  for (const [index, { replicas }] of routers.entries()) {
    for (const { entry, computedTokens } of replicas.all()) {
      all += computedTokens;
      if (entry.dataCentre !== `centre-${index % dataCentres}`) other += computedTokens;
    }
  }
  return other / all;
};

const meanOf = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

describe("demand that moves between data centres in waves", () => {
  for (const enabled of features) {
    const name = enabled.batchMemory ? "with memory counted" : "without memory counted";

    it(`loads the replicas of all data centres alike, ${name}`, async (context) => {
      const samples: number[][] = [];
      let trial: TrialControl | undefined;
      const disturb = (control: TrialControl): void => {
        trial = control;
        sampleRequests(samples)(control);
      };
      const result = await runTrial({ ...options, features: enabled, disturb });
      const byDataCentre = Array.from({ length: dataCentres }, (_, dataCentre) =>
        meanOf(samples.map((each) => meanOf(each.filter((__, index) => index % dataCentres === dataCentre)))),
      );
      const largest = meanOf(samples.map((each) => Math.max(...each) / Math.max(1, meanOf(each))));
      const atPeaks = result.records.filter(({ dataCentre, at }) => wave(dataCentre, at) > 1.3);
      context.diagnostic(
        `requests at a replica by data centre ${byDataCentre.map((mean) => mean.toFixed(1)).join(", ")}; ` +
          `fullest replica ${largest.toFixed(2)} times the mean; ` +
          `${otherShare(trial?.routers ?? []).toFixed(2)} of the prompt tokens in other data centres; ` +
          `in time ${inTimeOf(result.records).toFixed(3)}, at peaks ${inTimeOf(atPeaks).toFixed(3)}`,
      );
      expect(Math.max(...byDataCentre) / Math.min(...byDataCentre)).toBeLessThan(1.5);
      expect(largest).toBeLessThan(3);
      expect(inTimeOf(atPeaks)).toBeGreaterThan(inTimeOf(result.records) - 0.02);
    });

    it(`is served by the others while one data centre is partitioned, ${name}`, async (context) => {
      const isolate = ({ clock, network, fleet, portOf }: TrialControl): void => {
        clock.after(6_000, () => {
          network.isolatedPorts = new Set([2, 6, 10].map(portOf));
          for (const [index, replica] of fleet.replicas.entries())
            if (index % dataCentres === 2) replica.state = "dark";
        });
      };
      const result = await runTrial({
        ...options,
        kinds: options.kinds.map((kind) => ({ ...kind, perSecond: kind.perSecond * 0.6 })),
        features: enabled,
        disturb: isolate,
        demandAt: (dataCentre, at) => (dataCentre === 2 && at > 6_000 ? 0 : wave(dataCentre, at)),
      });
      const after = result.records.filter(({ at, dataCentre }) => at > 8_000 && dataCentre !== 2);
      context.diagnostic(`in time from 2 s after the partition on: ${inTimeOf(after).toFixed(3)}`);
      expect(inTimeOf(after)).toBeGreaterThan(0.95);
    });
  }
});

describe("a prompt part that gets a third of the traffic", () => {
  const holdersOf = (fleet: TrialControl["fleet"], part: string): number =>
    fleet.replicas.filter(({ engine }) => engine.cache.has(part)).length;

  /** @param load - Multiple of the usual long prompts. */
  const measureCopies = async (enabled: LoadFeatures, hotShare: number, load: number) => {
    const counts: number[] = [];
    const { records, fleet: used } = await runTrial({
      ...options,
      kinds: [{ ...long, hotShare, perSecond: long.perSecond * load }, short],
      demandAt: () => 1,
      features: enabled,
      disturb: ({ clock, fleet }) => {
        for (let at = 4_000; at < 17_000; at += 500)
          clock.after(at, () => counts.push(holdersOf(fleet, "m/1/ long-0")));
      },
    });
    const hot = records.filter(({ kind, subject }) => kind.name === "long" && subject === 0);
    const { recomputed, computed } = used.totals;
    return { copies: meanOf(counts), inTime: inTimeOf(records), hot: inTimeOf(hot), recomputed, computed };
  };

  for (const enabled of features) {
    it(`has more copies the more requests use it, with memory ${String(enabled.batchMemory)}`, async (context) => {
      const cold = await measureCopies(enabled, 0, 1);
      const few = await measureCopies(enabled, 0.33, 0.3);
      const many = await measureCopies(enabled, 0.33, 1);
      for (const [name, { copies, inTime, hot, recomputed, computed }] of Object.entries({
        cold,
        few,
        many,
      })) {
        context.diagnostic(
          `${name}: ${copies.toFixed(1)} copies at ${engineCount} replicas, in time ${inTime.toFixed(3)}, ` +
            `hot ${hot.toFixed(3)}, recomputed ${recomputed} of ${computed} tokens`,
        );
      }
      expect(cold.copies < few.copies && few.copies < many.copies).toEqual(true);
      expect(few.copies).toBeLessThan(engineCount / 2);
      expect(many.copies).toBeLessThan(engineCount);
      expect(many.hot).toBeGreaterThan(many.inTime - 0.02);
      // The copies are transferred, not computed again.
      expect(many.recomputed / many.computed).toBeLessThan(0.05);
    });
  }
});
