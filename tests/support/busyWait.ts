/**
 * Keeps the event loop busy, as work on a connection would.
 *
 * @param duration - Milliseconds.
 */
export const busyWait = (duration: number): void => {
  const until = performance.now() + duration;
  while (performance.now() < until);
};
