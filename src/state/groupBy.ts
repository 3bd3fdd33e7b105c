/** @returns The items by key, both in the order in which they come. */
export const groupBy = <Item, Key>(
  items: Iterable<Item>,
  keyOf: (item: Item) => Key,
): ReadonlyMap<Key, readonly Item[]> => {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
};
