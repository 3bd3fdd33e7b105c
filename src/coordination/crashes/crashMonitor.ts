/**
 * Distinguishes replicas whose process has ended from those that only broke a connection: the former refuse new
 * connections. A crash is reported with the requests that were in flight there, since one of them may be the cause.
 *
 * The network can refuse connections as well. A refusal proves a crash only if this router reaches other replicas:
 * otherwise routers that are cut off would have requests quarantined that other routers serve.
 */
import type { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { metricNames } from "../../state/constants.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import type { PathProbes } from "../replicaPaths/pathProbes.ts";
import { connectionProbeTimeout } from "../forwarding/constants.ts";
import type { BrokenRequest, OwnCrash } from "./brokenRequests.ts";
import { describeBroken } from "./brokenRequests.ts";
import { crashProbeDelay } from "./constants.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

export interface CrashMonitorDependencies {
  readonly replicas: Pick<ReplicaTable, "get">;
  readonly client: Pick<ReplicaClient, "probeConnection">;
  readonly paths: Pick<PathProbes, "hasOtherPath">;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** Called again if more broken requests of the same replica are found later. */
  readonly onCrash: (crash: OwnCrash) => void;
}

export interface CrashMonitor {
  /** Records that the connection of a request in flight at a replica broke. */
  readonly noteBrokenConnection: (replica: ReplicaState, request: BrokenRequest) => void;
  /**
   * Records that the connection of a request ended in a way that a crash may have caused.
   *
   * @returns Whether the replica has crashed.
   */
  readonly checkAfterEnd: (replica: ReplicaState, request: BrokenRequest) => Promise<boolean>;
}

const writeLog = createLogger("replicas");

/** Creates a monitor that probes a replica after a broken connection. */
export const createCrashMonitor = ({
  replicas,
  client,
  paths,
  metrics,
  clock,
  onCrash,
}: CrashMonitorDependencies): CrashMonitor => {
  /** By id of a replica that is being probed: its broken requests, and whether it has crashed. */
  const pending = new Map<
    string,
    { readonly broken: BrokenRequest[]; readonly hasCrashed: Promise<boolean> }
  >();

  /** A draining replica also ends its process, and breaks its connections on purpose. */
  const mayCrash = (replica: ReplicaState): boolean =>
    replicas.get(replica.entry.id) === replica && !replica.entry.isDraining;

  const refusesConnections = async ({ entry }: ReplicaState): Promise<boolean> =>
    (await client.probeConnection(entry, connectionProbeTimeout)) === "refused";

  const hasCrashed = async (replica: ReplicaState): Promise<boolean> => {
    // A router that is cut off from the network gets no response from any replica.
    if (!(await refusesConnections(replica))) return false;
    if (await paths.hasOtherPath(replica)) return true;
    writeLog("crash_unproven", { replica: replica.entry.id, service: replica.entry.service });
    return false;
  };

  const probe = async (replica: ReplicaState, broken: readonly BrokenRequest[]): Promise<boolean> => {
    const { entry } = replica;
    await pause(clock, crashProbeDelay);
    const isCrash = await hasCrashed(replica).finally(() => pending.delete(entry.id));
    if (!isCrash || !mayCrash(replica)) return false;
    writeLog("crashed", { replica: entry.id, service: entry.service, ...describeBroken(broken) });
    metrics.count(metricNames.replicaCrashes, 1, { service: entry.service });
    onCrash({ replica: entry.id, broken });
    return true;
  };

  const checkAfterEnd = async (replica: ReplicaState, request: BrokenRequest): Promise<boolean> => {
    if (!mayCrash(replica)) return false;
    const known = pending.get(replica.entry.id);
    if (known !== undefined) {
      known.broken.push(request);
      return known.hasCrashed;
    }
    const broken = [request];
    const probing = probe(replica, broken);
    pending.set(replica.entry.id, { broken, hasCrashed: probing });
    return probing;
  };

  return {
    noteBrokenConnection: (replica, request) => {
      runInBackground("checkForCrash", () => checkAfterEnd(replica, request), replica.entry.id);
    },
    checkAfterEnd,
  };
};
