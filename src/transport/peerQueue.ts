/** Messages to be sent to a peer, consumed by one reader. */

/** A bounded queue. */
export interface PeerQueue {
  /** @returns False if the queue has ended, or ends now since it is full. */
  readonly add: (message: Uint8Array) => boolean;
  /** Ends the queue; messages that the reader has not yet taken are dropped. */
  readonly end: () => void;
  readonly messages: () => AsyncIterable<Uint8Array>;
}

/**
 * Creates an empty queue.
 *
 * @param maximumBytes - The queue ends when several messages with more bytes than this are queued: its reader is
 * too slow. A single message may be larger. Messages that the reader has taken as a batch are not counted.
 */
export const createPeerQueue = (maximumBytes: number): PeerQueue => {
  let queued: Uint8Array[] = [];
  let queuedBytes = 0;
  let hasEnded = false;
  let wake = (): void => undefined;

  const end = (): void => {
    hasEnded = true;
    wake();
  };

  const add = (message: Uint8Array): boolean => {
    if (hasEnded) return false;
    queued.push(message);
    queuedBytes += message.length;
    if (queued.length > 1 && queuedBytes > maximumBytes) end();
    wake();
    return !hasEnded;
  };

  const nextChange = (): Promise<void> =>
    new Promise((resolve) => {
      wake = resolve;
    });

  const messages = async function* (): AsyncIterable<Uint8Array> {
    for (;;) {
      if (hasEnded) return;
      if (queued.length === 0) {
        await nextChange();
        continue;
      }
      const batch = queued;
      queued = [];
      queuedBytes = 0;
      yield* batch;
    }
  };

  return { add, end, messages };
};
