/**
 * Detects unreachable replicas before the registry drops them: a replica that owes a response and sends nothing is
 * probed with a new connection. While it can't be connected to, it gets no work, and requests that may be repeated are
 * sent to another replica.
 */
import type { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import {
  connectionProbeTimeout,
  idleTimeBeforeProbe,
  unreachableProbeInterval,
  replicaMonitorInterval,
} from "./constants.ts";
import type { ReplicaHealth } from "./replicaHealth.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";
import { startPeriodicTask } from "../periodicTask.ts";

export interface ReplicaMonitorDependencies {
  readonly replicas: ReplicaTable;
  readonly client: Pick<ReplicaClient, "probeConnection">;
  readonly health: ReplicaHealth;
  readonly clock: Clock;
  /**
   * Whether this router keeps probing an unreachable replica. Where there are many routers only its owner does, and
   * notifies the others: 195 routers would make 2.5 connections a second each to every engine that is down.
   */
  readonly isResponsibleFor: (replica: ReplicaState) => boolean;
}

const writeLog = createLogger("replicas");

/** Monitors the replicas of a table until it is disposed of. */
export const startReplicaMonitor = ({
  replicas,
  client,
  health,
  clock,
  isResponsibleFor,
}: ReplicaMonitorDependencies): AsyncDisposable => {
  const probing = new Set<string>();

  const probe = async (replica: ReplicaState): Promise<void> => {
    const { entry } = replica;
    probing.add(entry.id);
    replica.isSuspected = false;
    const probed = client.probeConnection(entry, connectionProbeTimeout);
    const isReachable = (await probed.finally(() => probing.delete(entry.id))) === "made";
    if (replicas.get(entry.id) !== replica) return;
    replica.quietSince = clock.monotonic();
    if (isReachable) health.noteReachable(replica);
    else {
      writeLog("unreachable", { replica: entry.id, requests: replica.requests });
      health.noteFailure(replica, true);
    }
  };

  const isDue = (replica: ReplicaState, now: number): boolean => {
    const idleTime = now - replica.quietSince;
    if (replica.isSuspected) return true;
    if (replica.isUnreachable) return idleTime > unreachableProbeInterval && isResponsibleFor(replica);
    return replica.requests > 0 && idleTime > idleTimeBeforeProbe;
  };

  const poll = (): number => {
    const now = clock.monotonic();
    let hasWork = false;
    for (const replica of replicas.all()) {
      hasWork ||= replica.requests > 0 || replica.isUnreachable;
      if (isDue(replica, now) && !probing.has(replica.entry.id))
        runInBackground("probeReplica", () => probe(replica), replica.entry.id);
    }
    // Without work, a request that begins now can't be overdue before the next poll.
    return hasWork ? replicaMonitorInterval : idleTimeBeforeProbe;
  };
  const cancelPoll = startPeriodicTask(clock, "monitorReplicas", replicaMonitorInterval, poll);

  return {
    [Symbol.asyncDispose]: () => {
      cancelPoll();
      return Promise.resolve();
    },
  };
};
