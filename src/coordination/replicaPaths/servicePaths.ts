/** What a router knows of its paths to each service. */
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { silenceBeforeCheck } from "./constants.ts";

/** The paths to one service. Times are milliseconds on the monotonic clock. */
export interface ServicePaths {
  /** When the paths were found lost; `undefined` while there is one. */
  lostAt: number | undefined;
  /** When the last check ended. */
  checkedAt: number;
  /** Checks since the paths were lost; the interval between them grows with it. */
  checks: number;
  /** The check in progress. */
  check: Promise<void> | undefined;
}

/** The services that have replicas, and those that have been checked. */
export interface ServiceTable {
  readonly services: ReadonlyMap<string, ServicePaths>;
  readonly stateOf: (service: string) => ServicePaths;
  /** @returns The services that replicas are registered for. */
  readonly listServices: () => ReadonlySet<string>;
}

/** Creates a table in which no service has been checked. */
export const createServiceTable = (replicas: Pick<ReplicaTable, "all">): ServiceTable => {
  const services = new Map<string, ServicePaths>();
  const stateOf = (service: string): ServicePaths => {
    const known = services.get(service);
    if (known !== undefined) return known;
    const created = {
      lostAt: undefined,
      checkedAt: Number.NEGATIVE_INFINITY,
      checks: 0,
      check: undefined,
    };
    services.set(service, created);
    return created;
  };
  const listServices = (): ReadonlySet<string> =>
    new Set(replicas.all().flatMap(({ entry }) => (entry.isDraining ? [] : [entry.service])));
  return { services, stateOf, listServices };
};

/** @returns Whether responses are pending, and whether nothing has arrived for a while from where they are. */
export const observePending = (
  replicas: readonly ReplicaState[],
  now: number,
): { readonly isPending: boolean; readonly isSilent: boolean } => {
  const pending = replicas.filter(({ requests }) => requests > 0);
  const isPending = pending.length > 0;
  const isSilent = pending.every(({ quietSince }) => now - quietSince > silenceBeforeCheck);
  return { isPending, isSilent: isPending && isSilent };
};
