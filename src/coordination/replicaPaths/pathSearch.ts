/** Looks for replicas that this router has a path to. */
import type { AnswerProbeResult } from "../../protocol/forwarding/ReplicaClient.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { PathProbes } from "./pathProbes.ts";

export interface PathSearchDependencies {
  readonly replicas: Pick<ReplicaTable, "all" | "serving">;
  readonly probes: Pick<PathProbes, "anyAccepts" | "askAny" | "sample">;
}

export interface PathSearch {
  /**
   * @param rounds - The number of replicas that are probed at once, one round after another until one accepts.
   * @returns Whether a replica of the service accepts a connection; `undefined` if it has none.
   */
  readonly findAccepting: (service: string, rounds: readonly number[]) => Promise<boolean | undefined>;
  /** @returns The best that a number of engines give; `undefined` if there are none. */
  readonly askEngines: (count: number) => Promise<AnswerProbeResult | undefined>;
}

/** Only engines run weights; they have a status to ask for. */
export const isEngine = ({ entry }: ReplicaState): boolean => entry.weights.size > 0;

/** Creates a search with the given probes. */
export const createPathSearch = ({ replicas, probes }: PathSearchDependencies): PathSearch => ({
  findAccepting: async (service, rounds) => {
    const tried = new Set<ReplicaState>();
    for (const count of rounds) {
      const untried = replicas.serving(service).filter((replica) => !tried.has(replica));
      const sample = probes.sample(untried, count);
      if (sample.length === 0) break;
      if (await probes.anyAccepts(sample)) return true;
      for (const replica of sample) tried.add(replica);
    }
    return tried.size === 0 ? undefined : false;
  },
  askEngines: async (count) => {
    const engines = replicas.all().filter((replica) => !replica.entry.isDraining && isEngine(replica));
    const sample = probes.sample(engines, count);
    return sample.length === 0 ? undefined : probes.askAny(sample);
  },
});
