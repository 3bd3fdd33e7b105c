/** Reports records of the platform's store that can't be used. */
import { createLogger } from "./log.ts";

/** Keys of refused records that are remembered, in order to log each only once. */
const maxLoggedKeys = 200;

const writeLog = createLogger("store");

/** The refused records of one topic. */
export interface RefusedRecords {
  /** Counts a record, and logs it unless the last record of its key was refused as well. */
  readonly note: (key: string, position: string, error: unknown) => void;
  /** Records that the newest record of a key can be used. */
  readonly forget: (key: string) => void;
}

/** @param onRefused - Called for each refused record. */
export const createRefusedRecords = (topic: string, onRefused: (topic: string) => void): RefusedRecords => {
  const logged = new Set<string>();
  return {
    note: (key, position, error) => {
      onRefused(topic);
      if (logged.has(key) || logged.size >= maxLoggedKeys) return;
      logged.add(key);
      writeLog("record_refused", { topic, key, position, reason: String(error) });
    },
    forget: (key) => {
      logged.delete(key);
    },
  };
};
