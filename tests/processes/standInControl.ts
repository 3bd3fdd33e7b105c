/** What the stand-ins of a running system have recorded. */
import { setTimeout as sleep } from "node:timers/promises";
import { operatorKey } from "../../demo/processes.ts";
import type { System, SystemProcess } from "../../demo/processes.ts";

const pollInterval = 20;

/** One execution, by an engine or a plain service. */
export interface Execution {
  readonly upstream: string;
  readonly attempt: string;
  readonly idempotencyKey?: string;
  /** Of an engine's execution. */
  readonly state?: string;
}

const readExecutions = async ({ name, process }: SystemProcess): Promise<readonly Execution[]> => {
  const answer = await fetch(`${process.url}/stand-in/executions`);
  const { executions } = (await answer.json()) as { readonly executions: readonly Execution[] };
  return executions.map((execution) => ({ ...execution, upstream: name }));
};

/** Every execution of every upstream that still runs. */
export const listExecutions = async (system: System): Promise<readonly Execution[]> => {
  const upstreams = system.processes().filter(({ kind }) => kind === "engine" || kind === "service");
  return (await Promise.all(upstreams.map(readExecutions))).flat();
};

/** How often each idempotency key was executed, over all upstreams. */
export const countExecutionsByKey = async (system: System): Promise<ReadonlyMap<string, number>> => {
  const counts = new Map<string, number>();
  for (const { idempotencyKey } of await listExecutions(system)) {
    if (idempotencyKey !== undefined) counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
  }
  return counts;
};

/** Sets fault switches of a stand-in. */
export const setFaults = async (url: string, faults: Readonly<Record<string, unknown>>): Promise<void> => {
  await fetch(`${url}/stand-in/faults`, { method: "POST", body: JSON.stringify(faults) });
};

/** Waits until every router has heard from every engine. */
export const waitForEngines = async (system: System): Promise<void> => {
  const wanted = system.processes().filter(({ kind }) => kind === "engine").length;
  const headers = { authorization: `Bearer ${operatorKey}` };
  for (const { process } of system.routers()) {
    for (let live = 0; live < wanted;) {
      const answer = await fetch(`${process.url}/operator/engines`, { headers });
      const { engines } = (await answer.json()) as { engines: readonly { readonly state: string }[] };
      live = engines.filter(({ state }) => state === "live").length;
      await sleep(pollInterval);
    }
  }
};
