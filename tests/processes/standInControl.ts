/** Reads the executions that stand-ins have recorded, sets their faults, and waits until routers see all engines. */
import { setTimeout as sleep } from "node:timers/promises";
import { operatorKey } from "../../demo/processes.ts";
import type { System, SystemProcess } from "../../demo/processes.ts";

const pollInterval = 20;

/** One execution of a request by an engine or a plain service. */
export interface Execution {
  readonly upstream: string;
  readonly attempt: string;
  readonly idempotencyKey?: string;
  /** Only for executions by engines. */
  readonly state?: string;
}

const readExecutions = async ({ name, process }: SystemProcess): Promise<readonly Execution[]> => {
  const answer = await fetch(`${process.url}/stand-in/executions`);
  const { executions } = (await answer.json()) as { readonly executions: readonly Execution[] };
  return executions.map((execution) => ({ ...execution, upstream: name }));
};

/** @returns All executions that the running upstreams have recorded. */
export const listExecutions = async (system: System): Promise<readonly Execution[]> => {
  const upstreams = system.processes().filter(({ kind }) => kind === "engine" || kind === "service");
  return (await Promise.all(upstreams.map(readExecutions))).flat();
};

/** @returns The number of executions by idempotency key, over all running upstreams. */
export const countExecutionsByKey = async (system: System): Promise<ReadonlyMap<string, number>> => {
  const counts = new Map<string, number>();
  for (const { idempotencyKey } of await listExecutions(system)) {
    if (idempotencyKey !== undefined) counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
  }
  return counts;
};

/**
 * Sets fault switches of a stand-in.
 *
 * @param url - The stand-in's base URL.
 */
export const setFaults = async (url: string, faults: Readonly<Record<string, unknown>>): Promise<void> => {
  await fetch(`${url}/stand-in/faults`, { method: "POST", body: JSON.stringify(faults) });
};

/** Waits until every router reports every engine as live. */
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
