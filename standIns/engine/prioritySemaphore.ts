/** A semaphore that lets in the smallest priority number first, and equals in order of arrival. */
export interface PrioritySemaphore {
  /** Resolves with a place taken; rejects, with none, if the signal is aborted first. */
  readonly acquire: (priority: number, signal: AbortSignal) => Promise<void>;
  readonly release: () => void;
  readonly waiting: () => number;
  readonly taken: () => number;
}

interface Waiter {
  readonly priority: number;
  readonly enter: () => void;
}

/** Creates a {@link PrioritySemaphore} with so many places. */
export const createPrioritySemaphore = (places: number): PrioritySemaphore => {
  const queue: Waiter[] = [];
  let taken = 0;

  const enqueue = (waiter: Waiter): void => {
    const position = queue.findIndex(({ priority }) => priority > waiter.priority);
    queue.splice(position === -1 ? queue.length : position, 0, waiter);
  };

  const acquire = (priority: number, signal: AbortSignal): Promise<void> => {
    signal.throwIfAborted();
    if (taken < places) {
      taken += 1;
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      const leave = (): void => {
        queue.splice(queue.indexOf(waiter), 1);
        reject(signal.reason as Error);
      };
      const enter = (): void => {
        signal.removeEventListener("abort", leave);
        resolve();
      };
      const waiter = { priority, enter };
      signal.addEventListener("abort", leave, { once: true });
      enqueue(waiter);
    });
  };

  const release = (): void => {
    const next = queue.shift();
    if (next === undefined) taken -= 1;
    else next.enter();
  };

  return { acquire, release, waiting: () => queue.length, taken: () => taken };
};
