/** Runs some of the routers of the store calls bench on a thread and reports when each applies a change. */
import { parentPort, workerData } from "node:worker_threads";
import type { ForwardingSettings } from "../../src/daemons/forwardingSettings.ts";
import { setLogSink } from "../../src/state/log.ts";
import { startPlatformRouter } from "../../standIns/platform/platformSystem.ts";

/** The routers that a thread runs. */
export interface WorkerTask {
  readonly routers: readonly ForwardingSettings[];
}

/** A line of a router's log that tells when it applied a change. */
export interface AppliedChange {
  readonly event: string;
  readonly version: number;
  /** Unix milliseconds. */
  readonly at: number;
}

const reportedEvents = new Set(["applied", "weights_wanted"]);

setLogSink((part, event, { version }) => {
  if (part !== "configuration" || !reportedEvents.has(event)) return;
  const at = performance.timeOrigin + performance.now();
  parentPort?.postMessage({ event, version: Number(version), at } satisfies AppliedChange);
});

const { routers } = workerData as WorkerTask;
for (const settings of routers) await startPlatformRouter(settings);
