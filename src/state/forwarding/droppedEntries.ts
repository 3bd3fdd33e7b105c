import type { ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { StorePosition } from "../../protocol/StorePosition.ts";
import { createBoundedMap } from "../boundedMap.ts";
import { createLogger } from "../log.ts";

/** Why an entry of the registry has no effect. */
export type DropReason = "departed" | "late_write" | "replaces_draining";

/** Logs entries of the registry that have no effect. */
export type LogDroppedEntry = (entry: ReplicaEntry, reason: DropReason, position: StorePosition) => void;

/** Entries that are remembered in order to log each of them once: a replica repeats its entry with every heartbeat. */
const maxRememberedEntries = 4_096;

const writeLog = createLogger("replicas");

/** Creates a log without entries. */
export const createDroppedEntryLog = (): LogDroppedEntry => {
  const logged = createBoundedMap<true>(maxRememberedEntries);
  return ({ id, isDraining }, reason, position) => {
    const key = `${id} ${reason} ${isDraining}`;
    if (logged.has(key)) return;
    logged.set(key, true);
    writeLog("entry_dropped", { replica: id, reason, isDraining, position: position.toString() });
  };
};
