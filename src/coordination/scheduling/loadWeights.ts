/**
 * Weights of engines in the orders of prefixes. Hashing spreads prefixes evenly, but not what they are asked for:
 * engines that stay busier than the others of their shard lose some of their prefixes to these. Reports tell all
 * routers the same, the weights change slowly and in steps, and a step moves few prefixes.
 */
import type { EngineDirectory } from "../../state/engineDirectory.ts";
import { balanceGain, balanceSteps, balanceTolerance, leastBalance } from "./constants.ts";
import type { EngineEstimates } from "./engineEstimates.ts";
import type { Member, Shard } from "./shuffleShards.ts";

/** Weights within a shard. */
export interface Balance {
  /** @returns Undefined where all weigh the same. */
  readonly weightOf: (shard: Shard, now: number) => ((member: Member) => number) | undefined;
}

/** What weights are worked out from. */
export interface BalanceParts {
  readonly directory: EngineDirectory;
  readonly estimates: EngineEstimates;
}

interface Weights {
  readonly at: number;
  readonly factors: ReadonlyMap<Member, number>;
  readonly equal: boolean;
}

/** Weights are worked out anew after so many milliseconds. */
const renewal = 1_000;

/** Makes a balance. */
export const createBalance = ({ directory, estimates }: BalanceParts): Balance => {
  const known = new WeakMap<Shard, Weights>();

  const compute = (shard: Shard, now: number): Weights => {
    const busy = shard.members.map(({ id }) => {
      const engine = directory.get(id);
      return engine === undefined ? 0 : estimates.of(engine, now).busy();
    });
    const mean = busy.reduce((sum, value) => sum + value, 0) / Math.max(1, busy.length);
    const before = known.get(shard)?.factors;
    const factors = new Map(
      shard.members.map((member, index) => {
        const difference = (busy[index] ?? 0) - mean;
        const excess = Math.sign(difference) * Math.max(0, Math.abs(difference) - balanceTolerance);
        const exact = Math.max(leastBalance, 1 - excess * balanceGain);
        const last = before?.get(member) ?? 1;
        // A weight stays until the exact one is a whole step away, so that it does not flicker.
        const moved = Math.abs(exact - last) * balanceSteps >= 1;
        return [member, moved ? Math.round(exact * balanceSteps) / balanceSteps : last] as const;
      }),
    );
    const equal = shard.equalWeights && [...factors.values()].every((factor) => factor === 1);
    return { at: now, factors, equal };
  };

  return {
    weightOf: (shard, now) => {
      let weights = known.get(shard);
      if (weights === undefined || now - weights.at > renewal) {
        weights = compute(shard, now);
        known.set(shard, weights);
      }
      if (weights.equal) return undefined;
      const { factors } = weights;
      return (member) => member.weight * (factors.get(member) ?? 1);
    },
  };
};
