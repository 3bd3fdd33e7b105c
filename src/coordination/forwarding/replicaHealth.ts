/** Outlier detection by what requests show: replicas that fail get less work, then none for a while. */
import type { ReplicaState, ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { averageGain, ejectionFailures, ejectionTimes, mostEjected } from "./constants.ts";

const writeLog = createLogger("replicas");

/** See {@link createReplicaHealth}. */
export interface ReplicaHealth {
  readonly noteSuccess: (replica: ReplicaState) => void;
  /** @param isCertain - The replica can't be reached at all, or another one has its address. */
  readonly noteFailure: (replica: ReplicaState, isCertain: boolean) => void;
}

/** Judges the replicas of a table. */
export const createReplicaHealth = (replicas: ReplicaTable, clock: Clock): ReplicaHealth => {
  const isEjected = ({ ejectedUntil }: ReplicaState): boolean => clock.monotonic() < ejectedUntil;

  /** A service whose replicas all fail is better served by trying than by refusing. */
  const mayEject = ({ entry }: ReplicaState): boolean => {
    const serving = replicas.serving(entry.service);
    const ejected = serving.filter(isEjected).length;
    return ejected + 1 <= serving.length * mostEjected;
  };

  const eject = (replica: ReplicaState): void => {
    const excess = Math.max(0, replica.failures - ejectionFailures);
    const time = Math.min(ejectionTimes.longest, ejectionTimes.first * 2 ** excess);
    replica.ejectedUntil = clock.monotonic() + time;
    writeLog("ejected", { replica: replica.entry.id, failures: replica.failures, milliseconds: time });
  };

  return {
    noteSuccess: (replica) => {
      replica.failures = 0;
      replica.failureShare -= replica.failureShare * averageGain;
    },
    noteFailure: (replica, isCertain) => {
      replica.failures += 1;
      replica.failureShare += (1 - replica.failureShare) * averageGain;
      const isOutlier = isCertain || replica.failures >= ejectionFailures;
      if (isOutlier && !isEjected(replica) && mayEject(replica)) eject(replica);
    },
  };
};
