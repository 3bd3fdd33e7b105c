/**
 * Detects that a router has missed a decision of others, because it was cut off or a datagram was lost, by the
 * digests of quarantined requests in its peers' messages. The store is read only after such a difference.
 */
import type { Clock } from "../clock.ts";
import { digestMismatchReadDelays, digestMismatchGrace } from "./constants.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

export interface DigestCheckDependencies {
  readonly clock: Clock;
  /** @returns A number from 0 to 1. */
  readonly random: () => number;
  /** @returns The digest of this router's quarantined requests. */
  readonly digest: () => number;
  /** Applies all records that the store has; resolves with whether the store could be reached. */
  readonly read: () => Promise<boolean>;
  /** Asks peers instead, where the store can't be reached. */
  readonly queryPeers: () => void;
}

export interface DigestCheck {
  /** Records the digest of a peer's quarantined requests. */
  readonly notePeerDigest: (digest: number) => void;
}

/** Creates a check that has seen no difference. */
export const createDigestCheck = ({
  clock,
  random,
  digest,
  read,
  queryPeers,
}: DigestCheckDependencies): DigestCheck => {
  /** By digest of a peer that differs from this router's: the time since which it has been received. */
  const mismatches = new Map<number, number>();
  let mayReadAt = Number.NEGATIVE_INFINITY;
  let delay: number = digestMismatchReadDelays.first;
  let isReading = false;

  const readNow = async (): Promise<void> => {
    isReading = true;
    const before = digest();
    try {
      if (!(await read())) queryPeers();
    } finally {
      isReading = false;
    }
    const isChanged = digest() !== before;
    delay = isChanged
      ? digestMismatchReadDelays.first
      : Math.min(digestMismatchReadDelays.longest, delay * 2);
    mayReadAt = clock.monotonic() + delay * (0.5 + random() / 2);
    mismatches.clear();
  };

  return {
    notePeerDigest: (peerDigest) => {
      // Routers that were cut off together agree with one another, so a match must not clear mismatches with other
      // peers.
      if (peerDigest === digest()) return;
      const now = clock.monotonic();
      const since = mismatches.get(peerDigest) ?? now;
      mismatches.set(peerDigest, since);
      // A decision made just now is still on its way to some routers.
      if (now - since < digestMismatchGrace || now < mayReadAt || isReading) return;
      runInBackground("readQuarantine", readNow);
    },
  };
};
