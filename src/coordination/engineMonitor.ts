/**
 * Follows the VM list, and the load reports of the engines that this router is home of; the others' reports come
 * from their homes. An engine whose home has been silent for long is asked directly, now and then, whoever its
 * home is.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { ListedVm } from "../protocol/types.ts";
import type { ModelEngine } from "../protocol/ModelEngine.ts";
import type { VmList } from "../protocol/VmList.ts";
import type { EngineDirectory, EngineReplica } from "../state/engineDirectory.ts";
import type { Clock } from "./clock.ts";
import { withTimeLimit } from "./timeLimit.ts";

/** What a monitor works with. Intervals are milliseconds. */
export interface EngineMonitorDependencies {
  readonly directory: EngineDirectory;
  readonly vmList: VmList;
  readonly clock: Clock;
  readonly connect: (engine: EngineReplica) => ModelEngine;
  /** Told of every list that was read. */
  readonly onVms: (vms: readonly ListedVm[]) => void;
  /** Whether this router is the one that asks an engine for its reports. */
  readonly isHome: (engine: EngineReplica) => boolean;
  /** Whether an engine is worth a direct question where its home is silent. */
  readonly isLocal: (engine: EngineReplica) => boolean;
  readonly vmListInterval: number;
  readonly loadInterval: number;
  readonly loadTimeout: number;
}

/** Runs until it is disposed. */
export interface EngineMonitor extends AsyncDisposable {
  /** Resolves after the VM list has been read, or has failed, for the first time. */
  readonly started: Promise<void>;
  /** The last VM list that was read. */
  readonly lastVms: () => readonly ListedVm[];
  /** Resolves when the engines of this data centre known by now have been asked, or after a short wait. */
  readonly waitForFirstReports: () => Promise<void>;
  /** Takes a peer's VM list, unless one has been read. */
  readonly restoreVms: (vms: readonly ListedVm[]) => void;
}

/** Load intervals without a report after which an engine is asked directly. */
const silentIntervals = 8;

/** Shortest such silence, milliseconds. */
const shortestSilence = 4_000;

/** Engines asked directly in one interval: a restarted router asks them all, but not all at once. */
const maximumDirect = 64;

/** Longest wait of a starting router for its engines' first reports, milliseconds. */
const confirmPatience = 500;

const ignore = (): void => undefined;

/** Starts a monitor. */
export const startEngineMonitor = (parts: EngineMonitorDependencies): EngineMonitor => {
  const { directory, clock } = parts;
  const stop = new AbortController();
  const asking = new Map<string, Promise<void>>();
  const askedAt = new Map<string, number>();
  const silence = Math.max(shortestSilence, silentIntervals * parts.loadInterval);
  let vms: readonly ListedVm[] = [];
  let hasRead = false;

  const pause = (milliseconds: number): Promise<void> =>
    sleep(milliseconds, undefined, { signal: stop.signal }).catch(ignore);

  const readLoad = async (engine: EngineReplica): Promise<void> => {
    const readAt = clock.monotonic();
    const engineClient = parts.connect(engine);
    try {
      const load = await withTimeLimit(clock, stop.signal, parts.loadTimeout, (limit) =>
        engineClient.readLoad(limit),
      );
      directory.applyLoad(engine.id, load, readAt);
    } catch {
      if (!stop.signal.aborted) directory.markFailed(engine.id, clock.monotonic());
    }
  };

  const askLoad = (engine: EngineReplica): void => {
    askedAt.set(engine.id, clock.monotonic());
    const asked = readLoad(engine).finally(() => asking.delete(engine.id));
    asking.set(engine.id, asked);
  };

  /** Whether nothing has been heard of an engine for long, or nothing yet. */
  const isSilent = (engine: EngineReplica, now: number): boolean => {
    const askedBefore = now - (askedAt.get(engine.id) ?? Number.NEGATIVE_INFINITY) < silence;
    if (askedBefore || !parts.isLocal(engine)) return false;
    return engine.state === "unconfirmed" || now - engine.loadReadAt > silence;
  };

  const askAll = (): void => {
    const now = clock.monotonic();
    const idle = directory.all().filter((engine) => !asking.has(engine.id));
    const home = idle.filter((engine) => parts.isHome(engine));
    const silent = idle.filter((engine) => !parts.isHome(engine) && isSilent(engine, now));
    [...home, ...silent.slice(0, maximumDirect)].forEach(askLoad);
  };

  const followEngines = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      askAll();
      await pause(parts.loadInterval);
    }
    await Promise.all(asking.values());
  };

  const takeVms = (list: readonly ListedVm[]): void => {
    vms = list;
    directory.applyVms(list);
    parts.onVms(list);
    for (const id of askedAt.keys()) {
      if (directory.get(id) === undefined) askedAt.delete(id);
    }
    askAll();
  };

  const readList = async (): Promise<void> => {
    if (stop.signal.aborted) return;
    try {
      const list = await parts.vmList.read();
      hasRead = true;
      takeVms(list);
    } catch {
      // The last list stays in force while the platform can't be asked.
    }
  };

  const started = readList();
  const followList = async (): Promise<void> => {
    await started;
    while (!stop.signal.aborted) {
      await pause(parts.vmListInterval);
      await readList();
    }
  };
  const list = followList();
  const engines = followEngines();

  return {
    started,
    lastVms: () => vms,
    waitForFirstReports: async () => {
      const callOff = new AbortController();
      const wait = sleep(confirmPatience, undefined, { signal: callOff.signal }).catch(ignore);
      await Promise.race([Promise.all(asking.values()), wait]);
      callOff.abort();
    },
    restoreVms: (restored) => {
      if (!hasRead) takeVms(restored);
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await Promise.all([list, engines]);
    },
  };
};
