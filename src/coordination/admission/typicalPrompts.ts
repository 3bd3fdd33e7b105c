/**
 * How long a typical prompt of each request class takes to compute.
 *
 * Admission is decided as for a typical prompt, whatever the size of the one that asks. If each prompt counted its own
 * size, small ones would fill the queue up to a limit at which no large one is admitted any more.
 */
import { createBoundedMap } from "../../state/boundedMap.ts";
import { maxTrackedServices, typicalPromptSmoothing } from "./constants.ts";

export interface TypicalPrompts {
  /**
   * Counts a prompt of a class.
   *
   * @param computingTime - Predicted time that a replica takes for it, milliseconds.
   * @returns The average over the recent prompts of the class, this one included; milliseconds.
   */
  readonly note: (requestClass: string, computingTime: number) => number;
}

/** Creates the averages of one router. */
export const createTypicalPrompts = (): TypicalPrompts => {
  const averages = createBoundedMap<number>(maxTrackedServices);
  return {
    note: (requestClass, computingTime) => {
      const before = averages.get(requestClass) ?? computingTime;
      const average = before + (computingTime - before) * typicalPromptSmoothing;
      averages.set(requestClass, average);
      return average;
    },
  };
};
