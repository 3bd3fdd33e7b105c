/**
 * Finds out which weights an engine runs after it has denied those that a request was bound to.
 *
 * The refusal itself is the newest evidence: the engine gets no requests bound to the denied weights until something
 * newer shows otherwise. Its status may be older than the refusal, so it is read again until it names other weights, or
 * names the denied ones so late that they have been loaded since.
 */
import type { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { EngineStatus } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import { isDifferentIncarnation } from "../../state/forwarding/replicaState.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { deniesKnownWeights } from "../../state/forwarding/replicaWeights.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { withTimeLimit } from "../timeLimit.ts";
import { maxStatusAge, weightsCheckIntervals, weightsCheckTime, weightsCheckTimeout } from "./constants.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

/** A refusal of a request because the engine runs other weights. */
export interface DeniedWeights {
  readonly request: string;
  readonly model: string;
  readonly version: number;
}

export interface WeightsChecks {
  /** Records that a replica denies weights, and starts to check which ones it runs. */
  readonly noteDenied: (replica: string, denied: DeniedWeights) => void;
  /** Whether a replica of the service is being checked. */
  readonly isChecking: (service: string) => boolean;
  /** @returns Resolves when a replica's weights are known again or a check ends, or when the signal aborts. */
  readonly nextResult: (signal: AbortSignal) => Promise<void>;
}

export interface WeightsChecksDependencies {
  readonly replicas: ReplicaTable;
  readonly client: Pick<ReplicaClient, "readStatus">;
  readonly clock: Clock;
  /** Announces to peers that a replica runs other weights than they may expect. */
  readonly announce: (replica: string, model: string, version: number) => void;
}

const writeLog = createLogger("replicas");

/** Creates the checks of one router. */
export const createWeightsChecks = (dependencies: WeightsChecksDependencies): WeightsChecks => {
  const { replicas, client, clock, announce } = dependencies;
  /** By id: the service of each replica that is being checked. */
  const checking = new Map<string, string>();
  const waiting = new Set<() => void>();

  const wakeWaiting = (): void => {
    for (const wake of [...waiting]) wake();
  };

  const readStatus = async ({ entry }: ReplicaState): Promise<EngineStatus> =>
    withTimeLimit(clock, undefined, weightsCheckTimeout, (limit) => client.readStatus(entry, limit));

  /** @returns Whether the check is over. */
  const checkOnce = async (replica: ReplicaState, denied: DeniedWeights): Promise<boolean> => {
    const { id } = replica.entry;
    const askedAt = clock.monotonic();
    const status = await readStatus(replica);
    if (isDifferentIncarnation(replica.entry, status)) return true;
    replicas.noteReportedWeights(id, status.weights, askedAt - maxStatusAge);
    const isKnown = !deniesKnownWeights(replica, denied.model);
    writeLog("weights_checked", {
      replica: id,
      request: denied.request,
      model: denied.model,
      deniedVersion: denied.version,
      reportedVersion: status.weights.get(denied.model) ?? null,
      isKnown,
      milliseconds: Math.round(clock.monotonic() - askedAt),
    });
    const known = replica.weights.get(denied.model);
    if (isKnown && known !== undefined) announce(id, denied.model, known);
    return isKnown;
  };

  const check = async (replica: ReplicaState, denied: DeniedWeights): Promise<void> => {
    const { id } = replica.entry;
    const until = clock.monotonic() + weightsCheckTime;
    let interval: number = weightsCheckIntervals.shortest;
    while (clock.monotonic() < until && replicas.get(id) === replica) {
      const isOver = await checkOnce(replica, denied).catch((error: unknown) => {
        writeLog("status_unknown", { replica: id, reason: String(error) });
        return false;
      });
      if (isOver || !deniesKnownWeights(replica, denied.model)) return;
      await pause(clock, interval);
      interval = Math.min(weightsCheckIntervals.longest, interval * 2);
    }
  };

  const start = async (replica: ReplicaState, denied: DeniedWeights): Promise<void> => {
    const { id, service } = replica.entry;
    checking.set(id, service);
    await check(replica, denied).finally(() => checking.delete(id));
    // Where the status can't be read, the next request finds out.
    if (deniesKnownWeights(replica, denied.model)) replica.deniedWeights.delete(denied.model);
    wakeWaiting();
  };

  return {
    noteDenied: (id, denied) => {
      const replica = replicas.get(id);
      if (replica === undefined) return;
      writeLog("weights_denied", { replica: id, ...denied });
      replicas.denyWeights(id, denied.model, denied.version, clock.monotonic());
      if (!checking.has(id)) runInBackground("checkWeights", () => start(replica, denied), id);
    },
    isChecking: (service) => [...checking.values()].includes(service),
    nextResult: (signal) =>
      new Promise((resolve) => {
        const finish = (): void => {
          waiting.delete(finish);
          signal.removeEventListener("abort", finish);
          resolve();
        };
        waiting.add(finish);
        signal.addEventListener("abort", finish);
        if (signal.aborted) finish();
      }),
  };
};
