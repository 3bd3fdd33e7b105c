/** The keys that a router monitors, since it may have to coordinate them or has been queried for them. */
import type { Clock } from "../clock.ts";
import { monitorRetention, takeoverTimeout } from "./constants.ts";

/** Keys that are monitored from their first use until they have not been active for {@link monitorRetention}. */
export interface Monitors {
  /** Marks a key as active now, and starts to monitor it if need be. */
  readonly monitor: (key: string) => void;
  /** Whether a key has been monitored long enough for unreachable predecessors to be detected. */
  readonly isEstablished: (key: string) => boolean;
  /** @returns The keys that were active recently. */
  readonly keys: () => readonly string[];
}

interface MonitoredKey {
  readonly monitoredSince: number;
  lastActiveAt: number;
}

/** Creates monitors without keys. */
export const createMonitors = (clock: Clock): Monitors => {
  const monitored = new Map<string, MonitoredKey>();

  return {
    monitor: (key) => {
      const now = clock.monotonic();
      const known = monitored.get(key);
      if (known === undefined) monitored.set(key, { monitoredSince: now, lastActiveAt: now });
      else known.lastActiveAt = now;
    },
    isEstablished: (key) => {
      const since = monitored.get(key)?.monitoredSince ?? Number.POSITIVE_INFINITY;
      return clock.monotonic() - since >= takeoverTimeout;
    },
    keys: () => {
      const oldest = clock.monotonic() - monitorRetention;
      for (const [key, { lastActiveAt }] of monitored) if (lastActiveAt < oldest) monitored.delete(key);
      return [...monitored.keys()];
    },
  };
};
