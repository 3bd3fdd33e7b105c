/**
 * Finds out that a router has missed what others decided, by what their messages say of the requests that they hold
 * back: it was cut off then, or a datagram was lost. The store is read only then.
 */
import type { Clock } from "../clock.ts";
import { differenceDelays, differenceTime } from "./constants.ts";

/** What checking works with. */
export interface RecordsCheckParts {
  readonly clock: Clock;
  /** A number from 0 to 1. */
  readonly random: () => number;
  /** @returns The digest of what this router holds back. */
  readonly digest: () => number;
  /** Takes everything that the store knows. */
  readonly read: () => Promise<boolean>;
}

/** See {@link createRecordsCheck}. */
export interface RecordsCheck {
  /** A peer holds back what has this digest. */
  readonly notePeerDigest: (digest: number) => void;
}

/** Creates a check that has seen no difference. */
export const createRecordsCheck = ({ clock, random, digest, read }: RecordsCheckParts): RecordsCheck => {
  /** By digest that peers have told and this router does not have: since when. */
  const different = new Map<number, number>();
  let mayReadAt = Number.NEGATIVE_INFINITY;
  let delay: number = differenceDelays.first;
  let isReading = false;

  const readNow = async (): Promise<void> => {
    isReading = true;
    const before = digest();
    await read();
    isReading = false;
    const isChanged = digest() !== before;
    delay = isChanged ? differenceDelays.first : Math.min(differenceDelays.longest, delay * 2);
    mayReadAt = clock.monotonic() + delay * (0.5 + random() / 2);
    different.clear();
  };

  return {
    notePeerDigest: (theirs) => {
      // Those that were cut off together agree with one another: that says nothing of the rest.
      if (theirs === digest()) return;
      const now = clock.monotonic();
      const since = different.get(theirs) ?? now;
      different.set(theirs, since);
      // What was decided just now is on its way.
      if (now - since < differenceTime || now < mayReadAt || isReading) return;
      void readNow();
    },
  };
};
