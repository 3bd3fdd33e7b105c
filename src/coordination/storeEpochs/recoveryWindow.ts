/**
 * When reads of the store prove that nothing newer was published.
 *
 * After a return from a copy a read finds nothing of what was acknowledged before and lost, until the operator has
 * written it again. A router that starts can't tell whether the store has just returned; its peers can.
 */
import type { EpochSource } from "../../protocol/storeEpoch.ts";
import { defaultEpoch } from "../../protocol/storeEpoch.ts";
import type { Clock } from "../clock.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";
import { joinTimeout, recoveryShare, recoveryTime } from "./constants.ts";

/** See {@link createRecoveryWindow}. */
export interface RecoveryWindow {
  /** Whether a read that was sent at a moment proves anything, milliseconds on the monotonic clock. */
  readonly allowsProof: (at: number) => boolean;
  /** @returns Milliseconds until this is over, by what this router has seen of the store itself; 0 if it is. */
  readonly remaining: () => number;
  /** Takes what a peer has seen itself; only a router that has just started has to rely on that. */
  readonly extend: (remaining: number) => void;
  /** A peer has been in contact with this router since it started, or there is none. */
  readonly noteContact: () => void;
}

/** Where all reads prove something. */
export const noRecovery: RecoveryWindow = {
  allowsProof: () => true,
  remaining: () => 0,
  extend: () => undefined,
  noteContact: () => undefined,
};

/** What routers exchange about a store without epochs. */
export const noEpochs = {
  onNewerEpoch: () => undefined,
  epochs: { current: () => defaultEpoch },
  recovery: noRecovery,
} as const;

/** Creates the window of a router that starts now. */
export const createRecoveryWindow = (
  epochs: EpochSource,
  clock: Clock,
  bounds: Pick<ForwardingBounds, "keyRevocation">,
): RecoveryWindow => {
  const startedAt = clock.monotonic();
  let isInContact = false;
  let hasSeenReturn = false;
  let from = Number.POSITIVE_INFINITY;
  let until = Number.NEGATIVE_INFINITY;

  epochs.subscribe(() => {
    const now = clock.monotonic();
    hasSeenReturn = true;
    if (until <= now) from = now;
    until = now + Math.min(recoveryTime, bounds.keyRevocation * recoveryShare);
  });

  return {
    allowsProof: (at) => {
      if (!isInContact && clock.monotonic() < startedAt + joinTimeout) return false;
      return at < from || at >= until;
    },
    remaining: () => (hasSeenReturn ? Math.max(0, until - clock.monotonic()) : 0),
    extend: (remaining) => {
      const now = clock.monotonic();
      if (hasSeenReturn || remaining === 0 || now > startedAt + recoveryTime) return;
      // This router has started since the store returned: none of its reads are from before.
      from = Number.NEGATIVE_INFINITY;
      until = Math.max(until, now + remaining);
    },
    noteContact: () => {
      isInContact = true;
    },
  };
};
