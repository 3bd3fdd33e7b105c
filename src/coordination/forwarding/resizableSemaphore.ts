/** A semaphore whose number of permits may change at any time. */

/** A permit; disposing of it releases it. */
export interface Permit extends AsyncDisposable {
  /** False if the signal aborted before a permit was available. */
  readonly isAcquired: boolean;
}

export interface ResizableSemaphore {
  readonly acquiredCount: () => number;
  /**
   * Waits for a permit. Waiting callers get permits in the order of their calls.
   *
   * @param signal - Cancels the wait.
   */
  readonly acquire: (signal: AbortSignal) => Promise<Permit>;
}

/**
 * @param maxPermits - Returns the number of permits. It is read when a permit is acquired or released, so an increase
 * takes effect for waiting callers at the next release.
 */
export const createResizableSemaphore = (maxPermits: () => number): ResizableSemaphore => {
  const waiting: (() => void)[] = [];
  let acquired = 0;

  const release = (): void => {
    acquired -= 1;
    while (acquired < maxPermits()) {
      const next = waiting.shift();
      if (next === undefined) return;
      acquired += 1;
      next();
    }
  };

  const createPermit = (): Permit => ({
    isAcquired: true,
    [Symbol.asyncDispose]: () => {
      release();
      return Promise.resolve();
    },
  });

  const notAcquired: Permit = { isAcquired: false, [Symbol.asyncDispose]: () => Promise.resolve() };

  return {
    acquiredCount: () => acquired,
    acquire: async (signal) => {
      if (signal.aborted) return notAcquired;
      if (acquired < maxPermits()) {
        acquired += 1;
        return createPermit();
      }
      return new Promise((resolve) => {
        const begin = (): void => {
          signal.removeEventListener("abort", leave);
          resolve(createPermit());
        };
        const leave = (): void => {
          const index = waiting.indexOf(begin);
          if (index < 0) return;
          waiting.splice(index, 1);
          resolve(notAcquired);
        };
        waiting.push(begin);
        signal.addEventListener("abort", leave, { once: true });
      });
    },
  };
};
