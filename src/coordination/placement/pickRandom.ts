/**
 * Picks random elements of a list.
 *
 * @param random - Returns a random number from 0 to 1.
 * @returns Up to `count` distinct elements; the whole list if it is no longer than that.
 */
export const pickRandom = <T>(from: readonly T[], count: number, random: () => number): readonly T[] => {
  if (from.length <= count) return from;
  const first = Math.floor(random() * from.length);
  // Neighbours in the list are often in the same data centre, so the elements are taken at a random step.
  const step = 1 + Math.floor(random() * (from.length - 1));
  const chosen = new Set<T>();
  for (let index = 0; index < count; index += 1) {
    const picked = from[(first + index * step) % from.length];
    if (picked !== undefined) chosen.add(picked);
  }
  return [...chosen];
};
