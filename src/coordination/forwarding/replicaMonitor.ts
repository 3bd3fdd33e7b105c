/**
 * Finds replicas that have fallen silent before the registry drops them: one that owes an answer and sends nothing
 * is tried with a new connection. While none can be made it gets no work, and what may run again goes elsewhere.
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

/** What watching works with. */
export interface ReplicaMonitorDependencies {
  readonly replicas: ReplicaTable;
  readonly client: Pick<ReplicaClient, "tryConnection">;
  readonly health: ReplicaHealth;
  readonly clock: Clock;
  /**
   * Whether this router looks after a replica that can't be reached. Where there are many routers its owner does, and
   * tells the others: 195 routers would make 2.5 connections a second each to every engine that is dark.
   */
  readonly isResponsibleFor: (replica: ReplicaState) => boolean;
}

const writeLog = createLogger("replicas");

/** Watches until it is disposed of. */
export const startReplicaMonitor = ({
  replicas,
  client,
  health,
  clock,
  isResponsibleFor: looksAfter,
}: ReplicaMonitorDependencies): AsyncDisposable => {
  const probing = new Set<string>();

  const probe = async (replica: ReplicaState): Promise<void> => {
    const { entry } = replica;
    probing.add(entry.id);
    replica.isSuspected = false;
    const isReachable = (await client.tryConnection(entry, connectionProbeTimeout)) === "made";
    probing.delete(entry.id);
    if (replicas.get(entry.id) !== replica) return;
    replica.quietSince = clock.monotonic();
    if (isReachable) health.noteReachable(replica);
    else {
      writeLog("unreachable", { replica: entry.id, requests: replica.requests });
      health.noteFailure(replica, true);
    }
  };

  const isDue = (replica: ReplicaState, now: number): boolean => {
    const quiet = now - replica.quietSince;
    if (replica.isSuspected) return true;
    if (replica.isUnreachable) return quiet > unreachableProbeInterval && looksAfter(replica);
    return replica.requests > 0 && quiet > idleTimeBeforeProbe;
  };

  const look = (): void => {
    const now = clock.monotonic();
    let hasWork = false;
    for (const replica of replicas.all()) {
      hasWork ||= replica.requests > 0 || replica.isUnreachable;
      if (isDue(replica, now) && !probing.has(replica.entry.id)) void probe(replica);
    }
    // What begins now can't be overdue before then.
    callOff = clock.after(hasWork ? replicaMonitorInterval : idleTimeBeforeProbe, look);
  };
  let callOff = clock.after(replicaMonitorInterval, look);

  return {
    [Symbol.asyncDispose]: () => {
      callOff();
      return Promise.resolve();
    },
  };
};
