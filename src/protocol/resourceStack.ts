/** A replacement for `AsyncDisposableStack`, which Node 20 does not have yet. */

/** Owns several resources and disposes of them in reverse order. */
export interface ResourceStack extends AsyncDisposable {
  /** Adds a resource. @returns The same resource. */
  readonly use: <T extends AsyncDisposable>(resource: T) => T;
  /** Adds a callback to run on disposal. */
  readonly defer: (dispose: () => Promise<unknown> | undefined) => void;
  /** Transfers all resources to a new owner and leaves this stack empty. */
  readonly move: () => AsyncDisposable;
}

const disposeAll = async (disposers: readonly (() => unknown)[]): Promise<void> => {
  const failures: unknown[] = [];
  for (const dispose of [...disposers].reverse()) {
    try {
      await dispose();
    } catch (error) {
      failures.push(error);
    }
  }
  if (failures.length > 0) throw new AggregateError(failures, "Some resources could not be disposed of.");
};

/** Creates an empty stack. */
export const createResourceStack = (): ResourceStack => {
  let disposers: (() => unknown)[] = [];

  const removeAll = (): readonly (() => unknown)[] => {
    const taken = disposers;
    disposers = [];
    return taken;
  };

  return {
    use: (resource) => {
      disposers.push(() => resource[Symbol.asyncDispose]());
      return resource;
    },
    defer: (dispose) => {
      disposers.push(dispose);
    },
    move: () => {
      const taken = removeAll();
      return { [Symbol.asyncDispose]: () => disposeAll(taken) };
    },
    [Symbol.asyncDispose]: () => disposeAll(removeAll()),
  };
};
