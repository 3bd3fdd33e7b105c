/**
 * Determines when a read of the store proves that nothing newer was published.
 *
 * After the store returns from an older copy, reads don't find records that it had acknowledged and lost, until the
 * operator has written them again. A starting router can't know whether the store has just returned; its peers can.
 */
import type { EpochSource } from "../../protocol/storeEpoch.ts";
import { noEpochChanges } from "../../protocol/storeEpoch.ts";
import type { Clock } from "../clock.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";
import { joinTimeout, recoveryShare, recoveryDuration } from "./constants.ts";

export interface RecoveryWindow {
  /** @returns Whether a read that was sent at a time proves anything, milliseconds on the monotonic clock. */
  readonly allowsProof: (at: number) => boolean;
  /** @returns Milliseconds until the end of a window that this router has observed itself; 0 if there is none. */
  readonly remaining: () => number;
  /** Applies the remaining time that a peer has observed itself; only a router that has just started relies on it. */
  readonly extend: (remaining: number) => void;
  /** Records that a peer has been in contact since this router started, or that there is no peer. */
  readonly noteContact: () => void;
}

/** A window that never opens: all reads prove something. */
export const noRecovery: RecoveryWindow = {
  allowsProof: () => true,
  remaining: () => 0,
  extend: () => undefined,
  noteContact: () => undefined,
};

/** The epoch-related dependencies for a store without epochs. */
export const noEpochs = {
  onNewerEpoch: () => undefined,
  epochs: noEpochChanges,
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
  let hasObservedReturn = false;
  let from = Number.POSITIVE_INFINITY;
  let until = Number.NEGATIVE_INFINITY;

  epochs.subscribe(() => {
    const now = clock.monotonic();
    hasObservedReturn = true;
    if (until <= now) from = now;
    until = now + Math.min(recoveryDuration, bounds.keyRevocation * recoveryShare);
  });

  return {
    allowsProof: (at) => {
      if (!isInContact && clock.monotonic() < startedAt + joinTimeout) return false;
      return at < from || at >= until;
    },
    remaining: () => (hasObservedReturn ? Math.max(0, until - clock.monotonic()) : 0),
    extend: (remaining) => {
      const now = clock.monotonic();
      if (hasObservedReturn || remaining === 0 || now > startedAt + recoveryDuration) return;
      // This router has started since the store returned, so none of its reads precede the return.
      from = Number.NEGATIVE_INFINITY;
      until = Math.max(until, now + remaining);
    },
    noteContact: () => {
      isInContact = true;
    },
  };
};
