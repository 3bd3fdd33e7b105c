/** Messages that wait to be sent, taken out by one reader. */

/** A bounded queue. */
export interface PeerQueue {
  /** @returns False if the queue has ended, or is full and ends now. */
  readonly add: (message: Uint8Array) => boolean;
  readonly end: () => void;
  readonly messages: () => AsyncIterable<Uint8Array>;
}

/**
 * Makes an empty queue.
 *
 * @param maximumBytes - A queue that held more ends instead: its reader is too slow to be told anything.
 */
export const createPeerQueue = (maximumBytes: number): PeerQueue => {
  let waiting: Uint8Array[] = [];
  let waitingBytes = 0;
  let ended = false;
  let wake = (): void => undefined;

  const end = (): void => {
    ended = true;
    wake();
  };

  const add = (message: Uint8Array): boolean => {
    if (ended) return false;
    waiting.push(message);
    waitingBytes += message.length;
    if (waiting.length > 1 && waitingBytes > maximumBytes) end();
    wake();
    return !ended;
  };

  const changed = (): Promise<void> =>
    new Promise((resolve) => {
      wake = resolve;
    });

  const messages = async function* (): AsyncIterable<Uint8Array> {
    for (;;) {
      if (ended) return;
      if (waiting.length === 0) {
        await changed();
        continue;
      }
      const taken = waiting;
      waiting = [];
      waitingBytes = 0;
      yield* taken;
    }
  };

  return { add, end, messages };
};
