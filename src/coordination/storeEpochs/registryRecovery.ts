/** Keeps replicas that an older copy of the registry lacks until they have had time to register again. */
import { presentValues } from "../../protocol/forwarding/RecordFeed.ts";
import type { FeedPage, FeedRecord, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { StorePosition } from "../../protocol/StorePosition.ts";
import { createLogger } from "../../state/log.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import { recoveryTime } from "./constants.ts";

const writeLog = createLogger("storeEpochs");

/** Applies the registry's records to the table of replicas, over changes of the store's epoch. */
export interface RegistryRecovery {
  /** Takes the newest record of every key. */
  readonly replace: (page: FeedPage<ReplicaEntry>) => void;
  readonly apply: (page: FeedPage<ReplicaEntry>) => void;
  /** Everything written before a moment is known. */
  readonly confirm: (at: number) => void;
  /** @returns The position after the last record that changed who gets work; nothing before the first read. */
  readonly lastChangePosition: () => StorePosition | undefined;
}

/** Creates an empty view of the registry. */
export const createRegistryRecovery = (
  replicas: Pick<ReplicaTable, "merge" | "put" | "remove" | "replaceAll">,
  clock: Clock,
): RegistryRecovery => {
  let changedAt: StorePosition | undefined;
  /** Replicas that the copy lacks, by name. */
  const missing = new Set<string>();
  let removeFrom = Number.POSITIVE_INFINITY;

  const mergeCopy = (page: FeedPage<ReplicaEntry>): void => {
    missing.clear();
    replicas.merge(presentValues(page)).forEach((name) => missing.add(name));
    removeFrom = clock.monotonic() + recoveryTime;
    changedAt = page.next;
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
    const isChange = value === undefined ? replicas.remove(key) : replicas.put(value);
    if (isChange && changedAt?.isBefore(position.advancedBy(1)) === true) changedAt = position.advancedBy(1);
  };

  return {
    replace: (page) => {
      if (changedAt !== undefined && changedAt.epoch !== page.next.epoch) {
        mergeCopy(page);
        return;
      }
      const isChange = replicas.replaceAll(presentValues(page));
      if (isChange || changedAt === undefined) changedAt = page.next;
    },
    apply: ({ records }) => records.forEach(applyRecord),
    confirm: (at) => {
      if (at >= removeFrom) removeMissing();
    },
    lastChangePosition: () => changedAt,
  };
};
