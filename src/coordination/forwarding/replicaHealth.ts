/** Outlier detection by what requests show: replicas that fail get less work, then none for a while. */
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { smoothingFactor, failuresBeforeEjection, ejectionTimes, maxEjectedShare } from "./constants.ts";

const writeLog = createLogger("replicas");

/** See {@link createReplicaHealth}. */
export interface ReplicaHealth {
  readonly noteSuccess: (replica: ReplicaState) => void;
  /** A connection could be made to a replica that had been silent. */
  readonly noteReachable: (replica: ReplicaState) => void;
  /** @param isCertain - The replica can't be reached at all, or another one has its address. */
  readonly noteFailure: (replica: ReplicaState, isCertain: boolean) => void;
}

/** Judges the replicas of a table. */
export const createReplicaHealth = (replicas: ReplicaTable, clock: Clock): ReplicaHealth => {
  const isEjected = ({ ejectedUntil }: ReplicaState): boolean => clock.monotonic() < ejectedUntil;

  /** A service whose replicas all fail is better served by trying than by refusing. */
  const mayEject = (replica: ReplicaState): boolean => {
    const serving = replicas.serving(replica.entry.service);
    const ejected = serving.filter((other) => other !== replica && isEjected(other)).length;
    return ejected + 1 <= serving.length * maxEjectedShare;
  };

  const eject = (replica: ReplicaState, isCertain: boolean): void => {
    const excess = Math.max(0, replica.failures - failuresBeforeEjection);
    const time = Math.min(ejectionTimes.longest, ejectionTimes.first * 2 ** excess);
    replica.ejectedUntil = clock.monotonic() + time;
    if (isCertain) replica.isUnreachable = true;
    writeLog("ejected", { replica: replica.entry.id, failures: replica.failures, milliseconds: time });
  };

  return {
    noteSuccess: (replica) => {
      replica.failures = 0;
      replica.failureShare -= replica.failureShare * smoothingFactor;
    },
    noteReachable: (replica) => {
      if (!replica.isUnreachable) return;
      replica.isUnreachable = false;
      replica.ejectedUntil = clock.monotonic();
      writeLog("reachable_again", { replica: replica.entry.id });
    },
    noteFailure: (replica, isCertain) => {
      replica.failures += 1;
      replica.failureShare += (1 - replica.failureShare) * smoothingFactor;
      const isOutlier = isCertain || replica.failures >= failuresBeforeEjection;
      if (isOutlier && mayEject(replica)) eject(replica, isCertain);
      if (isCertain) for (const abandon of [...replica.abandon]) abandon();
    },
  };
};
