/**
 * Ranks prompts by size among the recent prompts of their request class, so that logs and metrics show whether large
 * prompts are served as often as small ones.
 */
import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";
import { createBoundedMap } from "../../state/boundedMap.ts";
import { maxTrackedServices } from "./constants.ts";

/** The smallest fifth is 1, the largest 5. */
export type SizeFifth = 1 | 2 | 3 | 4 | 5;

/** Upper bounds of all fifths but the largest, as percentiles. */
const fifthBounds = [
  [1, 20],
  [2, 40],
  [3, 60],
  [4, 80],
] as const satisfies readonly (readonly [SizeFifth, number])[];

/** Larger prompts are counted as this size. */
const maxTokens = 2 ** 20;

/** Prompts after which a class's older distribution is replaced, so that ranks follow a change of demand. */
const promptsPerDistribution = 2_000;

/** The fewest prompts that make a distribution. */
const minPrompts = 20;

export interface PromptSizes {
  /**
   * Ranks a prompt among the recent ones of its class, and counts it.
   *
   * @returns Its fifth by size; `undefined` while too few prompts of the class have been seen.
   */
  readonly rank: (requestClass: string, tokens: number) => SizeFifth | undefined;
}

interface Distribution {
  current: Histogram;
  previous: Histogram | undefined;
}

const createHistogram = (): Histogram =>
  build({
    bitBucketSize: 32,
    autoResize: false,
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxTokens,
    numberOfSignificantValueDigits: 2,
  });

/** Creates the ranks of one router, with no prompts seen. */
export const createPromptSizes = (): PromptSizes => {
  const classes = createBoundedMap<Distribution>(maxTrackedServices);

  const distributionOf = (requestClass: string): Distribution => {
    const known = classes.get(requestClass);
    if (known !== undefined) return known;
    const created: Distribution = { current: createHistogram(), previous: undefined };
    classes.set(requestClass, created);
    return created;
  };

  const count = (distribution: Distribution, tokens: number): void => {
    if (distribution.current.totalCount >= promptsPerDistribution) {
      distribution.previous = distribution.current;
      distribution.current = createHistogram();
    }
    distribution.current.recordValue(tokens);
  };

  return {
    rank: (requestClass, tokens) => {
      const distribution = distributionOf(requestClass);
      const size = Math.min(maxTokens, Math.max(1, Math.round(tokens)));
      count(distribution, size);
      const compared = distribution.previous ?? distribution.current;
      if (compared.totalCount < minPrompts) return undefined;
      const bound = fifthBounds.find(([, percentile]) => size <= compared.getValueAtPercentile(percentile));
      return bound?.[0] ?? 5;
    },
  };
};
