/** A semaphore that serves the smallest priority number first, and equal priorities in order of arrival. */
export interface PrioritySemaphore {
  /** Resolves once a permit is acquired; rejects without one if the signal is aborted first. */
  readonly acquire: (priority: number, signal: AbortSignal) => Promise<void>;
  readonly release: () => void;
  readonly waiting: () => number;
  readonly acquired: () => number;
}

interface Waiter {
  readonly priority: number;
  readonly grant: () => void;
}

/**
 * Creates a {@link PrioritySemaphore}.
 *
 * @param permits - How many holders it admits at a time.
 */
export const createPrioritySemaphore = (permits: number): PrioritySemaphore => {
  const queue: Waiter[] = [];
  let acquired = 0;

  const enqueue = (waiter: Waiter): void => {
    const position = queue.findIndex(({ priority }) => priority > waiter.priority);
    queue.splice(position === -1 ? queue.length : position, 0, waiter);
  };

  const acquire = (priority: number, signal: AbortSignal): Promise<void> => {
    signal.throwIfAborted();
    if (acquired < permits) {
      acquired += 1;
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      const cancel = (): void => {
        queue.splice(queue.indexOf(waiter), 1);
        reject(signal.reason as Error);
      };
      const grant = (): void => {
        signal.removeEventListener("abort", cancel);
        resolve();
      };
      const waiter = { priority, grant };
      signal.addEventListener("abort", cancel, { once: true });
      enqueue(waiter);
    });
  };

  const release = (): void => {
    const next = queue.shift();
    if (next === undefined) acquired -= 1;
    else next.grant();
  };

  return { acquire, release, waiting: () => queue.length, acquired: () => acquired };
};
