/** Random numbers that a seed and a name decide, so that one stream's draws never move another's. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { hash64 } from "../../src/protocol/prefixLevels.ts";

/** Bounds of a uniform draw of whole numbers, both included. */
export interface Range {
  readonly minimum: number;
  readonly maximum: number;
}

/** One stream of random numbers. */
export interface Random {
  /** At least 0, less than 1. */
  readonly uniform: () => number;
  /** An exponentially distributed time with this mean. */
  readonly exponential: (mean: number) => number;
  readonly integerIn: (range: Range) => number;
  /** At least 0, less than `count`. */
  readonly index: (count: number) => number;
}

/**
 * Makes a stream.
 *
 * @param seed - The run's recorded seed.
 * @param name - Tells the streams of one run apart.
 */
export const createRandom = (seed: number, name: string): Random => {
  const generator = xoroshiro128plus(Number(BigInt.asIntN(32, hash64(`${seed} ${name}`))));
  const uniform = (): number => uniformFloat64(generator);
  return {
    uniform,
    exponential: (mean) => -mean * Math.log(1 - uniform()),
    integerIn: ({ minimum: least, maximum: most }) => uniformInt(generator, least, most),
    index: (count) => uniformInt(generator, 0, count - 1),
  };
};

/** The mean of a uniform draw. */
export const meanOf = ({ minimum: least, maximum: most }: Range): number => (least + most) / 2;

/**
 * Makes a draw of an index with given weights.
 *
 * @param weights - Relative; not all zero.
 */
export const createWeightedIndex = (weights: readonly number[]): ((random: Random) => number) => {
  let sum = 0;
  const bounds = weights.map((weight) => (sum += weight));
  return (random) => {
    const drawn = random.uniform() * sum;
    let least = 0;
    let most = weights.length - 1;
    while (least < most) {
      const middle = (least + most) >> 1;
      if (drawn < (bounds[middle] ?? sum)) most = middle;
      else least = middle + 1;
    }
    return least;
  };
};

/** Weights of Zipf's law: the first rank weighs most. */
export const zipfWeights = (count: number, exponent: number): readonly number[] =>
  Array.from({ length: count }, (_, rank) => (rank + 1) ** -exponent);
