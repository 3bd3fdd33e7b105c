/** News by subject that is repeated for a while, since the messages that carry it get lost. */
import type { Clock } from "../clock.ts";

/** See {@link createUpdates}. */
export interface Updates<T> {
  readonly add: (subject: string, value: T) => void;
  readonly entries: () => readonly (readonly [string, T])[];
}

/** @param lifetime - How long each piece is repeated, milliseconds. */
export const createUpdates = <T>(clock: Clock, lifetime: number): Updates<T> => {
  const pieces = new Map<string, { readonly value: T; readonly until: number }>();

  const entries = (): readonly (readonly [string, T])[] => {
    const now = clock.monotonic();
    for (const [subject, { until }] of pieces) if (until < now) pieces.delete(subject);
    return [...pieces].map(([subject, { value }]) => [subject, value] as const);
  };

  return {
    add: (subject, value) => {
      pieces.set(subject, { value, until: clock.monotonic() + lifetime });
    },
    entries,
  };
};
