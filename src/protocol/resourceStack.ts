/** Ownership of several resources; Node 20 has no `AsyncDisposableStack` yet. */

/** Disposes of what it holds, the last taken first. */
export interface ResourceStack extends AsyncDisposable {
  /** Takes a resource. @returns The same resource. */
  readonly use: <T extends AsyncDisposable>(resource: T) => T;
  /** Takes something to be done at the end. */
  readonly defer: (dispose: () => Promise<unknown> | undefined) => void;
  /** Hands everything over to another owner; this stack holds nothing afterwards. */
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

/** Makes an empty stack. */
export const createResourceStack = (): ResourceStack => {
  let disposers: (() => unknown)[] = [];

  const take = (): readonly (() => unknown)[] => {
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
      const taken = take();
      return { [Symbol.asyncDispose]: () => disposeAll(taken) };
    },
    [Symbol.asyncDispose]: () => disposeAll(take()),
  };
};
