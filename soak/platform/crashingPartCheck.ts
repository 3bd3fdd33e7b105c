/** Checks that requests with a crashing prompt part reach few replicas once it has crashed some. */
import { hasDeadlyPart } from "../../tests/support/crashingReplicas.ts";
import type { Violation } from "../types.ts";
import type { SoakHistory } from "./types.ts";

/** Crashes that decide, and the requests that may follow later than the contact time after them, milliseconds. */
const allowed = { crashes: 5, later: 3, contactTime: 3_000 } as const;

/** Steps during which routers are not in contact with one another or the store, or forget what they knew. */
const contactSteps: ReadonlySet<string> = new Set([
  "freezeRouter",
  "killRouter",
  "killAllRouters",
  "endRouter",
  "endRoutersInTurn",
  "storeBusy",
  "storeSilent",
  "storeCut",
  "storeDelayed",
  "storeMuted",
  "storeLosesAnswers",
  "storeReturns",
]);

export const findCrashingPartOverruns = ({ replicas, steps }: SoakHistory): readonly Violation[] => {
  const runs = replicas
    .flatMap((replica) => replica.runs)
    .filter(hasDeadlyPart)
    .sort((left, right) => left.at - right.at);
  const decidedAt = runs[allowed.crashes - 1]?.at ?? Number.POSITIVE_INFINITY;
  const isInContact = (at: number): boolean =>
    !steps.some(
      ({ kind, from, until }) => contactSteps.has(kind) && from <= at && at <= until + allowed.contactTime,
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
