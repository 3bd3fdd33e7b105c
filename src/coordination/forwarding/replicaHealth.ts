/** Passive outlier detection: replicas whose requests fail get less work, then none for a while (ejection). */
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import {
  ejectionTimes,
  endlessAnswersBeforeEjection,
  endlessEjectionTimes,
  failuresBeforeEjection,
  maxEjectedShare,
  smoothingFactor,
} from "./constants.ts";

const writeLog = createLogger("replicas");

export interface ReplicaHealth {
  readonly noteSuccess: (replica: ReplicaState) => void;
  /** A connection to a replica that was unreachable has succeeded. */
  readonly noteReachable: (replica: ReplicaState) => void;
  /** Forgets failures that don't come from the replica. */
  readonly forgetFailures: (replica: ReplicaState) => void;
  /** A replica has broken the connection of a request. */
  readonly noteBrokenConnection: (replica: ReplicaState) => void;
  /** A replica has sent bytes that seemed to have no end. */
  readonly noteEndless: (replica: ReplicaState) => void;
  /** @param isCertain - The replica can't be reached at all, so that it is ejected at the first failure. */
  readonly noteFailure: (replica: ReplicaState, isCertain: boolean) => void;
}

/** What learns of connections to replicas. */
export interface PathEvidence {
  /** A replica of the service can't be connected to, or broke a connection. */
  readonly noteFailure: (service: string) => void;
  /** A replica has answered. */
  readonly noteAnswer: () => void;
}

const noPathEvidence: PathEvidence = { noteFailure: () => undefined, noteAnswer: () => undefined };

/**
 * Creates the outlier detection for the replicas of a table.
 *
 * @param paths - Learns what answers and broken connections show about the paths to the replicas.
 */
export const createReplicaHealth = (
  replicas: ReplicaTable,
  clock: Clock,
  paths: PathEvidence = noPathEvidence,
): ReplicaHealth => {
  const isEjected = ({ ejectedUntil }: ReplicaState): boolean => clock.monotonic() < ejectedUntil;

  /** Limits the share of ejected replicas: where all of a service fail, trying them is better than refusing. */
  const mayEject = (replica: ReplicaState): boolean => {
    const serving = replicas.serving(replica.entry.service);
    const ejected = serving.filter((other) => other !== replica && isEjected(other)).length;
    return ejected + 1 <= serving.length * maxEjectedShare;
  };

  const ejectionTimeOf = ({ failures }: ReplicaState): number => {
    const excess = Math.max(0, failures - failuresBeforeEjection);
    return Math.min(ejectionTimes.longest, ejectionTimes.first * 2 ** excess);
  };

  const eject = (replica: ReplicaState, time: number): void => {
    replica.ejectedUntil = Math.max(replica.ejectedUntil, clock.monotonic() + time);
    writeLog("ejected", { replica: replica.entry.id, failures: replica.failures, milliseconds: time });
  };

  return {
    noteSuccess: (replica) => {
      paths.noteAnswer();
      replica.failures = 0;
      replica.failureShare -= replica.failureShare * smoothingFactor;
    },
    noteReachable: (replica) => {
      if (!replica.isUnreachable) return;
      replica.isUnreachable = false;
      replica.ejectedUntil = clock.monotonic();
      writeLog("reachable_again", { replica: replica.entry.id });
    },
    forgetFailures: (replica) => {
      replica.isUnreachable = false;
      replica.isSuspected = false;
      replica.failures = 0;
      replica.ejectedUntil = Math.min(replica.ejectedUntil, clock.monotonic());
    },
    noteEndless: (replica) => {
      replica.endlessAnswers += 1;
      writeLog("endless_answer", { replica: replica.entry.id, count: replica.endlessAnswers });
      const excess = replica.endlessAnswers - endlessAnswersBeforeEjection;
      if (excess < 0 || !mayEject(replica)) return;
      eject(replica, Math.min(endlessEjectionTimes.longest, endlessEjectionTimes.first * 2 ** excess));
    },
    noteBrokenConnection: ({ entry }) => paths.noteFailure(entry.service),
    noteFailure: (replica, isCertain) => {
      replica.failures += 1;
      replica.failureShare += (1 - replica.failureShare) * smoothingFactor;
      const isOutlier = isCertain || replica.failures >= failuresBeforeEjection;
      if (isOutlier && mayEject(replica)) {
        if (isCertain) replica.isUnreachable = true;
        eject(replica, ejectionTimeOf(replica));
      }
      if (!isCertain) return;
      paths.noteFailure(replica.entry.service);
      for (const abandon of [...replica.abandon]) abandon();
    },
  };
};
