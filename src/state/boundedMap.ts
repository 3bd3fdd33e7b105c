/** A map that keeps the entries set most recently. */
export interface BoundedMap<T, K = string> {
  readonly has: (key: K) => boolean;
  readonly get: (key: K) => T | undefined;
  readonly set: (key: K, value: T) => void;
  readonly delete: (key: K) => void;
}

/**
 * Creates a map of bounded size.
 *
 * @param capacity - Maximum number of entries; beyond it the entry that was set least recently is removed.
 */
export const createBoundedMap = <T, K = string>(capacity: number): BoundedMap<T, K> => {
  const entries = new Map<K, T>();
  return {
    has: (key) => entries.has(key),
    get: (key) => entries.get(key),
    delete: (key) => {
      entries.delete(key);
    },
    set: (key, value) => {
      entries.delete(key);
      entries.set(key, value);
      const oldest = entries.size > capacity ? entries.keys().next().value : undefined;
      if (oldest !== undefined) entries.delete(oldest);
    },
  };
};
