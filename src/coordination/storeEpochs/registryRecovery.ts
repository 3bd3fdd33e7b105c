/** Keeps replicas that are missing in an older copy of the registry until they have had time to register again. */
import { presentValues } from "../../protocol/forwarding/RecordFeed.ts";
import type { FeedPage, FeedRecord, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { StorePosition } from "../../protocol/StorePosition.ts";
import { createLogger } from "../../state/log.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import { recoveryDuration } from "./constants.ts";

const writeLog = createLogger("storeEpochs");

/** Applies the registry's records to the table of replicas, across changes of the store's epoch. */
export interface RegistryRecovery {
  /** Applies a whole read: the newest record of every key. */
  readonly replace: (page: FeedPage<ReplicaEntry>) => void;
  /** Applies changed records. */
  readonly apply: (page: FeedPage<ReplicaEntry>) => void;
  /** Records that everything written before a time is known, milliseconds on the monotonic clock. */
  readonly confirm: (at: number) => void;
  /** @returns The position after the last record that changed placement; `undefined` before the first read. */
  readonly lastChangePosition: () => StorePosition | undefined;
}

/** Creates an empty view of the registry. */
export const createRegistryRecovery = (
  replicas: Pick<ReplicaTable, "merge" | "put" | "remove" | "replaceAll">,
  clock: Clock,
): RegistryRecovery => {
  let lastChange: StorePosition | undefined;
  /** Names of replicas that are missing in the copy. */
  const missing = new Set<string>();
  let removeFrom = Number.POSITIVE_INFINITY;

  const mergeCopy = (page: FeedPage<ReplicaEntry>): void => {
    missing.clear();
    replicas.merge(presentValues(page)).forEach((name) => missing.add(name));
    removeFrom = clock.monotonic() + recoveryDuration;
    lastChange = page.next;
    writeLog("registry_read", { epoch: page.next.epoch, missing: missing.size });
  };

  const removeMissing = (): void => {
    missing.forEach(replicas.remove);
    writeLog("registry_recovered", { removed: missing.size });
    missing.clear();
    removeFrom = Number.POSITIVE_INFINITY;
  };

  const applyRecord = ({ position, key, value }: FeedRecord<ReplicaEntry>): void => {
    missing.delete(key);
    const isChange = value === undefined ? replicas.remove(key) : replicas.put(value, position);
    if (isChange && lastChange?.isBefore(position.advancedBy(1)) === true)
      lastChange = position.advancedBy(1);
  };

  return {
    replace: (page) => {
      if (lastChange !== undefined && lastChange.epoch !== page.next.epoch) {
        mergeCopy(page);
        return;
      }
      const isChange = replicas.replaceAll(presentValues(page));
      if (isChange || lastChange === undefined) lastChange = page.next;
    },
    apply: ({ records }) => records.forEach(applyRecord),
    confirm: (at) => {
      if (at >= removeFrom) removeMissing();
    },
    lastChangePosition: () => lastChange,
  };
};
