/** Follows the VM list and the engines' load reports: one task for the list, one for each engine. */
import { setTimeout as sleep } from "node:timers/promises";
import type { ListedVm } from "../protocol/types.ts";
import type { ModelEngine } from "../protocol/ModelEngine.ts";
import type { VmList } from "../protocol/VmList.ts";
import type { EngineDirectory, EngineReplica } from "../state/engineDirectory.ts";
import type { Clock } from "./clock.ts";

/** What a monitor works with. Intervals are milliseconds. */
export interface EngineMonitorParts {
  readonly directory: EngineDirectory;
  readonly vmList: VmList;
  readonly clock: Clock;
  readonly connect: (engine: EngineReplica) => ModelEngine;
  /** Told of every list that was read. */
  readonly onVms: (vms: readonly ListedVm[]) => void;
  /** Whether this router is the one that asks an engine for its reports. */
  readonly isHome: (engineId: string) => boolean;
  readonly vmListInterval: number;
  readonly loadInterval: number;
  readonly loadTimeout: number;
}

/** Runs until it is disposed. */
export interface EngineMonitor extends AsyncDisposable {
  /** Resolves after the VM list has been read, or has failed, for the first time. */
  readonly started: Promise<void>;
}

const ignore = (): void => undefined;

/** Starts a monitor. */
export const startEngineMonitor = (parts: EngineMonitorParts): EngineMonitor => {
  const { directory, clock } = parts;
  const stop = new AbortController();
  const tasks = new Map<string, Promise<void>>();

  const pause = (milliseconds: number): Promise<void> =>
    sleep(milliseconds, undefined, { signal: stop.signal }).catch(ignore);

  const readLoad = async (engine: EngineReplica): Promise<void> => {
    const readAt = clock.monotonic();
    const timeout = AbortSignal.any([stop.signal, AbortSignal.timeout(parts.loadTimeout)]);
    try {
      directory.applyLoad(engine.id, await parts.connect(engine).readLoad(timeout), readAt);
    } catch {
      if (!stop.signal.aborted) directory.markFailed(engine.id, clock.monotonic());
    }
  };

  const followEngine = async (id: string): Promise<void> => {
    while (!stop.signal.aborted) {
      const engine = directory.get(id);
      if (engine === undefined) break;
      if (parts.isHome(id)) await readLoad(engine);
      await pause(parts.loadInterval);
    }
    tasks.delete(id);
  };

  const readList = async (): Promise<void> => {
    if (stop.signal.aborted) return;
    try {
      const vms = await parts.vmList.read();
      directory.applyVms(vms);
      parts.onVms(vms);
    } catch {
      // The last list stays in force while the platform can't be asked.
    }
    for (const engine of directory.all()) {
      if (!tasks.has(engine.id)) tasks.set(engine.id, followEngine(engine.id));
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

  return {
    started,
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await Promise.all([list, ...tasks.values()]);
    },
  };
};
