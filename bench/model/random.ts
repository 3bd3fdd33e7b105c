/** Seeded random numbers in named streams; draws from one stream do not affect any other. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { hash64 } from "../../src/protocol/prefixLevels.ts";

/** Inclusive bounds of uniformly distributed integers. */
export interface Range {
  readonly minimum: number;
  readonly maximum: number;
}

/** A stream of random numbers. */
export interface Random {
  /** Uniform in [0, 1). */
  readonly uniform: () => number;
  /** Exponentially distributed with this mean. */
  readonly exponential: (mean: number) => number;
  /** A uniformly distributed integer. */
  readonly integerIn: (range: Range) => number;
  /** A uniformly distributed integer in [0, `count`). */
  readonly index: (count: number) => number;
}

/**
 * Creates a stream; the same seed and name always give the same numbers.
 *
 * @param seed - Seed of the run.
 * @param name - Distinguishes the streams of one run.
 */
export const createRandom = (seed: number, name: string): Random => {
  const generator = xoroshiro128plus(Number(BigInt.asIntN(32, hash64(`${seed} ${name}`))));
  const uniform = (): number => uniformFloat64(generator);
  return {
    uniform,
    exponential: (mean) => -mean * Math.log(1 - uniform()),
    integerIn: ({ minimum, maximum }) => uniformInt(generator, minimum, maximum),
    index: (count) => uniformInt(generator, 0, count - 1),
  };
};

/** The mean of a uniform distribution. */
export const meanOf = ({ minimum, maximum }: Range): number => (minimum + maximum) / 2;

/**
 * Creates a function that draws an index with the given weights.
 *
 * @param weights - Relative weights, not all zero.
 */
export const createWeightedIndex = (weights: readonly number[]): ((random: Random) => number) => {
  let sum = 0;
  const cumulative = weights.map((weight) => (sum += weight));
  return (random) => {
    const drawn = random.uniform() * sum;
    let low = 0;
    let high = weights.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (drawn < (cumulative[middle] ?? sum)) high = middle;
      else low = middle + 1;
    }
    return low;
  };
};

/** Weights of Zipf's law, the heaviest first. */
export const zipfWeights = (count: number, exponent: number): readonly number[] =>
  Array.from({ length: count }, (_, rank) => (rank + 1) ** -exponent);
