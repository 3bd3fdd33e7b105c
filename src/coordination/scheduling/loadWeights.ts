/**
 * Weights of engines in the prefixes' rendezvous orders, by load. Hashing spreads prefixes evenly, but not the
 * requests for them, so engines that stay busier than the rest of their shard lose some of their prefixes to the
 * others. All routers see the same load reports, the weights change slowly and in steps, and a step moves few
 * prefixes.
 */
import type { EngineDirectory } from "../../state/engineDirectory.ts";
import { loadWeightGain, loadWeightSteps, loadWeightTolerance, minimumLoadWeight } from "./constants.ts";
import type { EngineEstimates } from "./engineEstimates.ts";
import type { Member, Shard } from "./shuffleShards.ts";

/** Load-dependent engine weights within a shard. */
export interface LoadWeights {
  /** @returns The weight of each member; `undefined` if all weights are equal. */
  readonly weightOf: (shard: Shard, now: number) => ((member: Member) => number) | undefined;
}

export interface LoadWeightsDependencies {
  readonly directory: EngineDirectory;
  readonly estimates: EngineEstimates;
}

interface ShardWeights {
  readonly at: number;
  readonly factors: ReadonlyMap<Member, number>;
  readonly equal: boolean;
}

/** Age at which weights are recomputed, milliseconds. */
const refreshInterval = 1_000;

export const createLoadWeights = ({ directory, estimates }: LoadWeightsDependencies): LoadWeights => {
  const cache = new WeakMap<Shard, ShardWeights>();

  const compute = (shard: Shard, now: number): ShardWeights => {
    const loads = shard.members.map(({ id }) => {
      const engine = directory.get(id);
      return engine === undefined ? 0 : estimates.of(engine, now).busyShare();
    });
    const mean = loads.reduce((sum, value) => sum + value, 0) / Math.max(1, loads.length);
    const previous = cache.get(shard)?.factors;
    const factors = new Map(
      shard.members.map((member, index) => {
        const difference = (loads[index] ?? 0) - mean;
        const excess = Math.sign(difference) * Math.max(0, Math.abs(difference) - loadWeightTolerance);
        const exact = Math.max(minimumLoadWeight, 1 - excess * loadWeightGain);
        const current = previous?.get(member) ?? 1;
        // A weight changes only once the exact value is a whole step away, so that it does not oscillate.
        const isStepAway = Math.abs(exact - current) * loadWeightSteps >= 1;
        return [
          member,
          isStepAway ? Math.round(exact * loadWeightSteps) / loadWeightSteps : current,
        ] as const;
      }),
    );
    const equal = shard.equalWeights && [...factors.values()].every((factor) => factor === 1);
    return { at: now, factors, equal };
  };

  return {
    weightOf: (shard, now) => {
      let weights = cache.get(shard);
      if (weights === undefined || now - weights.at > refreshInterval) {
        weights = compute(shard, now);
        cache.set(shard, weights);
      }
      if (weights.equal) return undefined;
      const { factors } = weights;
      return (member) => member.weight * (factors.get(member) ?? 1);
    },
  };
};
