/**
 * Picks some of a list at random.
 *
 * @param random - A number from 0 to 1.
 * @returns Different ones, `count` at most and one at least; all where there are no more.
 */
export const pickSome = <T>(from: readonly T[], count: number, random: () => number): readonly T[] => {
  if (from.length <= count) return from;
  const first = Math.floor(random() * from.length);
  // A step over the list: neighbours in it are often in one data centre.
  const step = 1 + Math.floor(random() * (from.length - 1));
  const chosen = new Set<T>();
  for (let turn = 0; turn < count; turn += 1) {
    const picked = from[(first + turn * step) % from.length];
    if (picked !== undefined) chosen.add(picked);
  }
  return [...chosen];
};
