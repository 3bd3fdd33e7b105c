/** Shrinks a failing plan by removing steps while the rest still fails. */
import type { Step } from "./plan.ts";

/**
 * Tries to remove halves of the plan, then quarters, down to single steps, and keeps each removal that still fails.
 *
 * @param fails - Runs a plan; for an intermittent failure it may have to run the plan several times.
 * @returns A failing plan from which none of the parts tried could be removed.
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
