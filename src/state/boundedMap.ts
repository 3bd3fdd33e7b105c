/** A map that keeps the entries set most recently. */
export interface BoundedMap<T> {
  readonly has: (key: string) => boolean;
  readonly get: (key: string) => T | undefined;
  readonly set: (key: string, value: T) => void;
  readonly delete: (key: string) => void;
}

/**
 * Creates a map of bounded size.
 *
 * @param capacity - Maximum number of entries; beyond it the entry that was set least recently is removed.
 */
export const createBoundedMap = <T>(capacity: number): BoundedMap<T> => {
  const entries = new Map<string, T>();
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
