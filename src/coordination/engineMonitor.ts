/**
 * Polls the VM list, and the load reports of the engines whose home is this router, which means that it polls them
 * on behalf of all routers. The reports of other engines arrive from their home routers. If no report of an engine
 * arrives for a long time, this router occasionally polls it directly, whichever router is its home.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { ListedVm } from "../protocol/types.ts";
import type { ModelEngine } from "../protocol/ModelEngine.ts";
import type { VmList } from "../protocol/VmList.ts";
import type { EngineDirectory, EngineReplica } from "../state/engineDirectory.ts";
import type { Clock } from "./clock.ts";
import { withTimeLimit } from "./timeLimit.ts";

/** Intervals are in milliseconds. */
export interface EngineMonitorDependencies {
  readonly directory: EngineDirectory;
  readonly vmList: VmList;
  readonly clock: Clock;
  readonly connect: (engine: EngineReplica) => ModelEngine;
  /** Called with every VM list that was read or restored. */
  readonly onVms: (vms: readonly ListedVm[]) => void;
  /** Whether this router is the engine's home, which polls its load reports. */
  readonly isHome: (engine: EngineReplica) => boolean;
  /** Whether an engine is in this router's data centre, and so may be polled directly if its reports are missing. */
  readonly isLocal: (engine: EngineReplica) => boolean;
  readonly vmListInterval: number;
  readonly loadInterval: number;
  readonly loadTimeout: number;
}

/** Polls until it is disposed. */
export interface EngineMonitor extends AsyncDisposable {
  /** Resolves once the VM list has been read, or a read has failed, for the first time. */
  readonly started: Promise<void>;
  /** The last VM list that was read or restored. */
  readonly lastVms: () => readonly ListedVm[];
  /** Resolves when all running polls of engines have ended, or after {@link firstReportsTimeout}. */
  readonly waitForFirstReports: () => Promise<void>;
  /** Applies a VM list received from a peer, unless this router has read one itself. */
  readonly restoreVms: (vms: readonly ListedVm[]) => void;
}

/** Number of load intervals without a report after which an engine is polled directly. */
const overdueIntervals = 8;

/** Minimum time without a report before an engine is polled directly, in milliseconds. */
const minReportTimeout = 4_000;

/** Maximum number of direct polls in one interval, so that a restarted router does not poll all engines at once. */
const maxDirectPolls = 64;

/** How long a starting router waits for the first reports of its engines, in milliseconds. */
const firstReportsTimeout = 500;

const noop = (): void => undefined;

/** Starts a monitor. */
export const startEngineMonitor = (dependencies: EngineMonitorDependencies): EngineMonitor => {
  const { directory, clock } = dependencies;
  const stop = new AbortController();
  const pendingPolls = new Map<string, Promise<void>>();
  const askedAt = new Map<string, number>();
  const reportTimeout = Math.max(minReportTimeout, overdueIntervals * dependencies.loadInterval);
  let vms: readonly ListedVm[] = [];
  let hasReadList = false;

  const pause = (milliseconds: number): Promise<void> =>
    sleep(milliseconds, undefined, { signal: stop.signal }).catch(noop);

  const readLoad = async (engine: EngineReplica): Promise<void> => {
    const readAt = clock.monotonic();
    const client = dependencies.connect(engine);
    try {
      const load = await withTimeLimit(clock, stop.signal, dependencies.loadTimeout, (limit) =>
        client.readLoad(limit),
      );
      directory.applyLoad(engine.id, load, readAt);
    } catch {
      if (!stop.signal.aborted) directory.markFailed(engine.id, clock.monotonic());
    }
  };

  const pollEngine = (engine: EngineReplica): void => {
    askedAt.set(engine.id, clock.monotonic());
    const poll = readLoad(engine).finally(() => pendingPolls.delete(engine.id));
    pendingPolls.set(engine.id, poll);
  };

  /** Whether an engine should be polled directly because its last report is too old, or there is none. */
  const isReportOverdue = (engine: EngineReplica, now: number): boolean => {
    const wasPolledRecently = now - (askedAt.get(engine.id) ?? Number.NEGATIVE_INFINITY) < reportTimeout;
    if (wasPolledRecently || !dependencies.isLocal(engine)) return false;
    return engine.state === "unconfirmed" || now - engine.loadReadAt > reportTimeout;
  };

  const pollEngines = (): void => {
    const now = clock.monotonic();
    const idle = directory.all().filter((engine) => !pendingPolls.has(engine.id));
    const ownEngines = idle.filter((engine) => dependencies.isHome(engine));
    const overdue = idle.filter((engine) => !dependencies.isHome(engine) && isReportOverdue(engine, now));
    [...ownEngines, ...overdue.slice(0, maxDirectPolls)].forEach(pollEngine);
  };

  const pollEnginesPeriodically = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      pollEngines();
      await pause(dependencies.loadInterval);
    }
    await Promise.all(pendingPolls.values());
  };

  const applyVms = (list: readonly ListedVm[]): void => {
    vms = list;
    directory.applyVms(list);
    dependencies.onVms(list);
    for (const id of askedAt.keys()) {
      if (directory.get(id) === undefined) askedAt.delete(id);
    }
    pollEngines();
  };

  const readList = async (): Promise<void> => {
    if (stop.signal.aborted) return;
    try {
      const list = await dependencies.vmList.read();
      hasReadList = true;
      applyVms(list);
    } catch {
      // The last list stays in use while the platform is unavailable.
    }
  };

  const started = readList();
  const pollListPeriodically = async (): Promise<void> => {
    await started;
    while (!stop.signal.aborted) {
      await pause(dependencies.vmListInterval);
      await readList();
    }
  };
  const list = pollListPeriodically();
  const engines = pollEnginesPeriodically();

  return {
    started,
    lastVms: () => vms,
    waitForFirstReports: async () => {
      const cancelWait = new AbortController();
      const timeout = sleep(firstReportsTimeout, undefined, { signal: cancelWait.signal }).catch(noop);
      await Promise.race([Promise.all(pendingPolls.values()), timeout]);
      cancelWait.abort();
    },
    restoreVms: (restored) => {
      if (!hasReadList) applyVms(restored);
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await Promise.all([list, engines]);
    },
  };
};
