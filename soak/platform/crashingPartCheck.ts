/** Checks that requests with a crashing prompt part reach few replicas once it has crashed some. */
import { hasDeadlyPart } from "../../tests/support/crashingReplicas.ts";
import type { Violation } from "../types.ts";
import { updateBlockingSteps } from "./stepGroups.ts";
import type { SoakHistory } from "./types.ts";

/** Crashes that decide, and the requests that may follow later than the contact time after them, milliseconds. */
const allowed = { crashes: 5, later: 3, contactTime: 3_000 } as const;

export const findCrashingPartOverruns = ({ replicas, steps }: SoakHistory): readonly Violation[] => {
  const runs = replicas
    .flatMap((replica) => replica.runs)
    .filter(hasDeadlyPart)
    .sort((left, right) => left.at - right.at);
  const decidedAt = runs[allowed.crashes - 1]?.at ?? Number.POSITIVE_INFINITY;
  const isInContact = (at: number): boolean =>
    !steps.some(
      ({ kind, from, until }) =>
        updateBlockingSteps.has(kind) && from <= at && at <= until + allowed.contactTime,
    );
  const late = runs.filter(({ at }) => at > decidedAt + allowed.contactTime && isInContact(at));
  if (late.length <= allowed.later) return [];
  return [
    {
      promise: "a crashing prompt part reaches few replicas",
      detail: `${late.length} requests reached replicas later than the contact time after the fifth crash`,
    },
  ];
};
