/** Replicas behind real routers. They crash on certain requests and restart later as new incarnations. */
import { setTimeout as sleep } from "node:timers/promises";
import type { ReplicaSettings, ReplicaStandIn, ExecutedRequest } from "../../standIns/platform/replica.ts";
import { startReplicaStandIn } from "../../standIns/platform/replica.ts";
import type { PlatformSystem } from "../../standIns/platform/platformSystem.ts";

/** Request bodies that crash the replica that runs them: at the start, or in the middle of the answer. */
export const bodies = { deadly: "deadly", deadlyToo: "deadly too", deadlyMidway: "deadly midway" } as const;

/** Prompt parts that crash the engine that begins to answer on them, unless they are the last part of the prompt. */
export const deadlyParts = ["dead0001", "dead0002"] as const;

/** Time from a crash until the registry entry is removed, and until the replica is restarted, milliseconds. */
const restartTimes = { deregistered: 500, restarted: 1_000 } as const;

const pollInterval = 5;

/** A number of replicas of each service, restarted after crashes. */
export interface CrashingReplicas extends AsyncDisposable {
  /** Runs of requests with a body, by incarnation in the order in which they started. */
  readonly runsOf: (body: string) => readonly ExecutedRequest[];
  /** All runs, by incarnation in the order in which they started. */
  readonly allRuns: () => readonly ExecutedRequest[];
  readonly crashes: () => number;
  /** The incarnations that have not crashed. */
  readonly running: () => readonly ReplicaStandIn[];
}

/** @returns The ids of the shared parts of a request's prompt. */
const sharedPartsOf = ({ headers }: ExecutedRequest): readonly string[] =>
  String(headers["x-prefix-hash"] ?? "")
    .split(",")
    .slice(0, -1)
    .map((part) => part.split(":", 1).join());

/** @returns Whether a request has a shared prompt part that crashes engines. */
export const hasDeadlyPart = (run: ExecutedRequest): boolean =>
  sharedPartsOf(run).some((part) => deadlyParts.some((deadly) => deadly === part));

const crashesOn = (run: ExecutedRequest): "never" | "begin" | "midway" => {
  const { body } = run;
  if (hasDeadlyPart(run)) return "begin";
  if (body === bodies.deadlyMidway) return "midway";
  return body === bodies.deadly || body === bodies.deadlyToo ? "begin" : "never";
};

/**
 * @param count - Replicas to run: `desks` serve the plain service, `engines` the model.
 * @param engineFields - Settings of every engine.
 */
export const startCrashingReplicas = async (
  { store, register }: Pick<PlatformSystem, "store" | "register">,
  count: { readonly desks: number; readonly engines: number },
  engineFields: Partial<ReplicaSettings> = {},
): Promise<CrashingReplicas> => {
  const all: ReplicaStandIn[] = [];
  const disposal = new AbortController();

  /** Starts a new incarnation each time the replica has crashed, until the fixture is disposed. */
  const restartAfterCrashes = async (
    name: string,
    settings: Omit<ReplicaSettings, "id">,
    first: ReplicaStandIn,
  ) => {
    let replica = first;
    for (let start = 2; ; start += 1) {
      while (!replica.hasCrashed()) {
        if (disposal.signal.aborted) return;
        await sleep(pollInterval);
      }
      const { id } = replica;
      await sleep(restartTimes.deregistered);
      store.put("keyed.servers", id, undefined);
      await sleep(restartTimes.restarted - restartTimes.deregistered);
      replica = await startReplicaStandIn({ ...settings, id: `${name}-start${start}` });
      all.push(replica);
      register(replica, settings.model === undefined ? { service: "desk" } : {});
    }
  };

  const restarts: Promise<void>[] = [];
  const start = async (name: string, settings: Omit<ReplicaSettings, "id">): Promise<void> => {
    const replica = await startReplicaStandIn({ ...settings, id: `${name}-start1` });
    all.push(replica);
    register(replica, settings.model === undefined ? { service: "desk" } : {});
    restarts.push(restartAfterCrashes(name, settings, replica));
  };
  for (let index = 0; index < count.desks; index += 1) await start(`plain-${index}`, { crashesOn });
  for (let index = 0; index < count.engines; index += 1) {
    await start(`model-${index}`, { model: { name: "m", version: 1 }, crashesOn, ...engineFields });
  }

  return {
    allRuns: () => all.flatMap(({ runs }) => runs),
    runsOf: (body) => all.flatMap(({ runs }) => runs.filter((run) => run.body === body)),
    crashes: () => all.filter((replica) => replica.hasCrashed()).length,
    running: () => all.filter((replica) => !replica.hasCrashed()),
    [Symbol.asyncDispose]: async () => {
      disposal.abort();
      await Promise.all(restarts);
      await Promise.all(all.map((replica) => replica[Symbol.asyncDispose]()));
    },
  };
};
