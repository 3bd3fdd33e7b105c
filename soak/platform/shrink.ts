/** Cuts a failing plan down: leaves out parts as long as what is left still fails. */
import type { Step } from "./plan.ts";

/**
 * Halves, then quarters and so on down to single steps are left out where the rest fails without them.
 *
 * @param fails - Runs a plan; a failure that comes by chance may have to be run more than once.
 * @returns A plan that failed, of which no part tried could be left out.
 */
export const shrinkPlan = async (
  plan: readonly Step[],
  fails: (plan: readonly Step[]) => Promise<boolean>,
): Promise<readonly Step[]> => {
  let remaining = plan;
  for (let size = Math.ceil(plan.length / 2); size >= 1; size = size === 1 ? 0 : Math.ceil(size / 2)) {
    for (let start = 0; start < remaining.length;) {
      const candidate = [...remaining.slice(0, start), ...remaining.slice(start + size)];
      if (candidate.length > 0 && (await fails(candidate))) remaining = candidate;
      else start += size;
    }
  }
  return remaining;
};
