/**
 * Preloaded into a process to simulate a suspended VM: the monotonic clock does not count the time for which the
 * process was stopped, while the time of day continues. The test stops and resumes the process.
 */

/** Interval between readings of the clock, and the shortest gap between them that counts as a stop, milliseconds. */
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
