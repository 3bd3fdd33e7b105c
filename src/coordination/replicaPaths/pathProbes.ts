/** Opens connections to replicas only to learn whether this router has paths to them. */
import type { AnswerProbeResult, ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import { maxProbeDelay, pathProbeTimeout, probesPerProof } from "./constants.ts";

export interface PathProbesDependencies {
  readonly replicas: Pick<ReplicaTable, "all">;
  readonly client: Pick<ReplicaClient, "probeConnection" | "probeAnswer">;
  readonly clock: Clock;
}

export interface PathProbes {
  /** @returns Whether one of the replicas accepts a connection; resolves with the first one that does. */
  readonly anyAccepts: (replicas: readonly ReplicaState[]) => Promise<boolean>;
  /** @returns The best that one of the engines gives; resolves with the first answer. */
  readonly askAny: (engines: readonly ReplicaState[]) => Promise<AnswerProbeResult>;
  /**
   * Whether another replica accepts a connection, so that failures at this one say something about it. Replicas of its
   * data centre are asked first, since this router may be cut off from a data centre only.
   *
   * @returns `true` also if there is no other replica.
   */
  readonly hasOtherPath: (replica: ReplicaState) => Promise<boolean>;
  /** @returns At most a number of replicas, other ones each time, those first that were not found unreachable. */
  readonly sample: (replicas: readonly ReplicaState[], count: number) => readonly ReplicaState[];
}

/** @returns Resolves with `true` once one of the promises does, with `false` when none has. */
const anyTrue = (promises: readonly Promise<boolean>[]): Promise<boolean> =>
  new Promise((resolve, reject) => {
    const resolveIfTrue = (value: boolean): void => {
      if (value) resolve(true);
    };
    Promise.all(promises.map((each) => each.then(resolveIfTrue))).then(() => resolve(false), reject);
  });

/** Creates the probes of the replicas in a table. */
export const createPathProbes = ({ replicas, client, clock }: PathProbesDependencies): PathProbes => {
  const probeOnceMoreIfDelayed = async (probe: () => Promise<boolean>): Promise<boolean> => {
    const startedAt = clock.monotonic();
    if (await probe()) return true;
    // Where this process did not run, the timeout passed without a chance for an answer.
    const wasDelayed = clock.monotonic() - startedAt > pathProbeTimeout + maxProbeDelay;
    return wasDelayed && (await probe());
  };

  const accepts = async ({ entry }: ReplicaState): Promise<boolean> =>
    (await client.probeConnection(entry, pathProbeTimeout)) === "made";

  const anyAccepts = (probed: readonly ReplicaState[]): Promise<boolean> =>
    anyTrue(probed.map((replica) => probeOnceMoreIfDelayed(() => accepts(replica))));

  const askAny = async (engines: readonly ReplicaState[]): Promise<AnswerProbeResult> => {
    const results = new Set<AnswerProbeResult>();
    const ask = async ({ entry }: ReplicaState): Promise<boolean> => {
      const result = await client.probeAnswer(entry, pathProbeTimeout);
      results.add(result);
      return result === "answered";
    };
    const isAnswered = await anyTrue(engines.map((engine) => probeOnceMoreIfDelayed(() => ask(engine))));
    if (isAnswered) return "answered";
    return results.has("accepted") ? "accepted" : "none";
  };

  // Routers that start at different times begin with different replicas.
  let nextIndex = Math.floor(clock.monotonic());

  const sample = (candidates: readonly ReplicaState[], count: number): readonly ReplicaState[] => {
    const start = nextIndex % Math.max(1, candidates.length);
    nextIndex += count;
    const rotated = [...candidates.slice(start), ...candidates.slice(0, start)];
    const reached = rotated.filter(({ isUnreachable }) => !isUnreachable);
    const unreached = rotated.filter(({ isUnreachable }) => isUnreachable);
    return [...reached, ...unreached].slice(0, count);
  };

  return {
    anyAccepts,
    askAny,
    hasOtherPath: async (accused) => {
      const others = replicas.all().filter((replica) => replica !== accused);
      const near = others.filter(({ entry }) => entry.dataCentre === accused.entry.dataCentre);
      const probed = near.length > 0 ? near : others;
      return probed.length === 0 || (await anyAccepts(sample(probed, probesPerProof)));
    },
    sample,
  };
};
