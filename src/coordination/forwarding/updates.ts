/** Updates by key, which are repeated in every message for a while, since messages may be lost. */
import type { Clock } from "../clock.ts";

export interface Updates<T> {
  readonly add: (key: string, value: T) => void;
  readonly entries: () => readonly (readonly [string, T])[];
}

/**
 * Creates an empty set of updates.
 *
 * @param lifetime - How long each update is repeated, milliseconds.
 */
export const createUpdates = <T>(clock: Clock, lifetime: number): Updates<T> => {
  const updates = new Map<string, { readonly value: T; readonly until: number }>();

  const entries = (): readonly (readonly [string, T])[] => {
    const now = clock.monotonic();
    for (const [key, { until }] of updates) if (until < now) updates.delete(key);
    return [...updates].map(([key, { value }]) => [key, value] as const);
  };

  return {
    add: (key, value) => {
      updates.set(key, { value, until: clock.monotonic() + lifetime });
    },
    entries,
  };
};
