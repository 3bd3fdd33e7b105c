/** Subjects that a router looks after, since it may have to keep them or has been asked about them. */
import type { Clock } from "../clock.ts";
import { takeoverSilence, watchMemory } from "./constants.ts";

/** See {@link createWatches}. */
export interface Watches {
  /** The subject is of use now. */
  readonly watch: (subject: string) => void;
  /** Whether it was watched for so long that silence of others would have shown. */
  readonly isLong: (subject: string) => boolean;
  /** @returns Those that were of use of late. */
  readonly subjects: () => readonly string[];
}

/** Since when a subject is watched, and when it was of use last. */
interface Watch {
  readonly since: number;
  usedAt: number;
}

/** Creates watches of nothing. */
export const createWatches = (clock: Clock): Watches => {
  const watched = new Map<string, Watch>();

  return {
    watch: (subject) => {
      const now = clock.monotonic();
      const known = watched.get(subject);
      if (known === undefined) watched.set(subject, { since: now, usedAt: now });
      else known.usedAt = now;
    },
    isLong: (subject) => {
      const since = watched.get(subject)?.since ?? Number.POSITIVE_INFINITY;
      return clock.monotonic() - since >= takeoverSilence;
    },
    subjects: () => {
      const oldest = clock.monotonic() - watchMemory;
      for (const [subject, { usedAt }] of watched) if (usedAt < oldest) watched.delete(subject);
      return [...watched.keys()];
    },
  };
};
