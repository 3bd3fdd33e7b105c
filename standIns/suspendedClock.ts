/**
 * Loaded into a process before its program: its steady clock doesn't count the time for which the process was stopped,
 * as that of a VM doesn't that was suspended. The time of day goes on. Stopping and resuming is the test's.
 */

/** Between two looks at the clock, and the shortest gap between looks that is a stop, milliseconds. */
const polling = { interval: 50, gap: 700 } as const;

const readClock = performance.now.bind(performance);
let suspendedTime = 0;
let last = readClock();

performance.now = (): number => {
  const now = readClock();
  if (now - last > polling.gap) suspendedTime += now - last;
  last = now;
  return now - suspendedTime;
};

setInterval(() => performance.now(), polling.interval).unref();
