/**
 * The request classes of each service that had requests recently, by urgency.
 *
 * Handles bursts of long, less urgent prompts: engines compute admitted prompts one after another regardless of their
 * priority, so urgent short prompts that follow them would be late. Only classes with recent requests count, so that
 * less urgent work may use the whole queue while there is no urgent work.
 */
import { priorities } from "../../state/forwarding/replicaState.ts";
import { createBoundedMap } from "../../state/boundedMap.ts";
import type { Clock } from "../clock.ts";
import { maxTrackedServices, recentClassTime } from "./constants.ts";

/** The classes with requests in the last few seconds. Durations are milliseconds. */
export interface RequestClasses {
  /** Records a request of a class. */
  readonly note: (service: string, priority: number, objective: number) => void;
  /** @returns The shortest latency objective of the classes more urgent than this; infinity if there are none. */
  readonly urgentObjective: (service: string, priority: number) => number;
}

/** The shortest objective among the recent requests of one priority. */
interface ClassState {
  objective: number;
  seenAt: number;
}

/** Creates the record of one router. */
export const createRequestClasses = (clock: Clock): RequestClasses => {
  const services = createBoundedMap<ClassState[]>(maxTrackedServices);

  const createStates = (service: string): ClassState[] => {
    const states = Array.from({ length: priorities }, () => ({
      objective: Number.POSITIVE_INFINITY,
      seenAt: Number.NEGATIVE_INFINITY,
    }));
    services.set(service, states);
    return states;
  };

  return {
    note: (service, priority, objective) => {
      const state = (services.get(service) ?? createStates(service))[priority];
      if (state === undefined) return;
      const now = clock.monotonic();
      if (objective > state.objective && now - state.seenAt < recentClassTime) return;
      state.objective = objective;
      state.seenAt = now;
    },
    urgentObjective: (service, priority) => {
      const states = services.get(service);
      const since = clock.monotonic() - recentClassTime;
      let tightest = Number.POSITIVE_INFINITY;
      for (let index = 0; states !== undefined && index < priority; index += 1) {
        const state = states[index];
        if (state !== undefined && state.seenAt > since) tightest = Math.min(tightest, state.objective);
      }
      return tightest;
    },
  };
};
