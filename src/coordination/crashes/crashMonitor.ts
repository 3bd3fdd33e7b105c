/**
 * Tells replicas whose process has ended from those that only broke a connection: the first refuse new ones. What was
 * in flight there when it ended is told with it, since one of these requests may be the cause.
 */
import type { ReplicaCrash, Suspect } from "../../protocol/forwarding/crashMessage.ts";
import type { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { connectionProbeTimeout } from "../forwarding/constants.ts";
import { crashGathering } from "./constants.ts";

/** What watching works with. */
export interface CrashMonitorDependencies {
  readonly replicas: Pick<ReplicaTable, "get">;
  readonly client: Pick<ReplicaClient, "tryConnection">;
  readonly clock: Clock;
  /** Called again where requests of the same replica are found broken later. */
  readonly onCrash: (crash: ReplicaCrash) => void;
}

/** See {@link createCrashMonitor}. */
export interface CrashMonitor {
  /** The connection of a request that was in flight at a replica broke. */
  readonly noteBrokenConnection: (replica: ReplicaState, suspect: Suspect) => void;
}

const writeLog = createLogger("replicas");

/** Creates a watch. */
export const createCrashMonitor = ({
  replicas,
  client,
  clock,
  onCrash,
}: CrashMonitorDependencies): CrashMonitor => {
  /** By id of a replica that is being tried: its broken requests. */
  const gathered = new Map<string, Suspect[]>();

  /** One that leaves ends its process as well, and what it cuts is cut on purpose. */
  const mayCrash = (replica: ReplicaState): boolean =>
    replicas.get(replica.entry.id) === replica && !replica.entry.isDraining;

  const judge = async (replica: ReplicaState): Promise<void> => {
    const { entry } = replica;
    await pause(clock, crashGathering);
    const trial = await client.tryConnection(entry, connectionProbeTimeout);
    const suspects = gathered.get(entry.id) ?? [];
    gathered.delete(entry.id);
    // A router that is cut off hears nothing from any replica: that none of them listens must be known.
    if (trial !== "refused" || !mayCrash(replica)) return;
    const requests = suspects.map(({ fingerprint }) => fingerprint).join(" ");
    writeLog("crashed", { replica: entry.id, service: entry.service, requests });
    onCrash({ replica: entry.id, suspects });
  };

  return {
    noteBrokenConnection: (replica, suspect) => {
      if (!mayCrash(replica)) return;
      const known = gathered.get(replica.entry.id);
      known?.push(suspect);
      if (known !== undefined) return;
      gathered.set(replica.entry.id, [suspect]);
      void judge(replica);
    },
  };
};
