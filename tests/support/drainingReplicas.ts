/** Replicas that leave, and the requests that still arrive there. */
import type { ReplicaStandIn } from "../../standIns/platform/replica.ts";
import type { PlatformSystem, RequestOptions } from "../../standIns/platform/platformSystem.ts";
import { hosts } from "../../standIns/platform/platformSystem.ts";
import { startReadySystem } from "./readySystem.ts";

/** Time within which requests must stop after the store has accepted that a replica leaves, milliseconds. */
export const drainBound = 600;

/** A request that any of the plain replicas can serve. */
export const readRequest: RequestOptions = { host: hosts.desk, path: "/read/2f", body: "look up" };

/** Starts six routers before eight plain replicas, and waits until all routers are ready. */
export const startDrainingSystem = (): Promise<PlatformSystem> =>
  startReadySystem(
    {
      desks: 8,
      engines: 0,
      desk: { serviceTime: 30 },
      // Keys stay valid while the store is unavailable.
      bounds: { drain: drainBound, keyRevocation: 60_000 },
    },
    6,
  );

/** The requests that arrived at a replica after it should have received none, milliseconds after its report. */
export const lateArrivals = (
  { arrivals }: Pick<ReplicaStandIn, "arrivals">,
  reportedAt: number,
): readonly number[] =>
  arrivals.map(({ at }) => Math.round(at - reportedAt)).filter((age) => age > drainBound);

/** @returns The number of late arrivals and the last one, for a test's output. */
export const describeLate = (late: readonly number[]): string =>
  `${late.length} late arrivals, the last after ${late.at(-1) ?? 0} ms`;
