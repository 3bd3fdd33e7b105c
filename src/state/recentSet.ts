/** See {@link createRecentSet}. */
export interface RecentSet {
  readonly has: (key: string) => boolean;
  readonly add: (key: string) => void;
}

/**
 * Creates a set of bounded size.
 *
 * @param capacity - Keys that are kept; beyond it the key that was added longest ago is dropped.
 */
export const createRecentSet = (capacity: number): RecentSet => {
  const keys = new Set<string>();
  return {
    has: (key) => keys.has(key),
    add: (key) => {
      keys.delete(key);
      keys.add(key);
      const oldest = keys.size > capacity ? keys.values().next().value : undefined;
      if (oldest !== undefined) keys.delete(oldest);
    },
  };
};
