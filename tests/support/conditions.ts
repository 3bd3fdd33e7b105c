/** Waits for conditions, within a timeout. */
import { setTimeout as sleep } from "node:timers/promises";

/** @returns Milliseconds until a condition held; infinity if it did not within the timeout, milliseconds. */
export const timeUntil = async (
  timeout: number,
  condition: () => boolean | Promise<boolean>,
): Promise<number> => {
  const since = performance.now();
  while (performance.now() - since < timeout) {
    if (await condition()) return performance.now() - since;
    await sleep(20);
  }
  return Number.POSITIVE_INFINITY;
};

/** Timeout of the conditions that a test begins with, milliseconds. */
const setUpTimeout = 10_000;

/** Waits until a condition holds; throws after a timeout. */
export const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  const time = await timeUntil(setUpTimeout, condition);
  if (!Number.isFinite(time))
    throw new Error(`A condition of the test did not hold within ${setUpTimeout} ms.`);
};
