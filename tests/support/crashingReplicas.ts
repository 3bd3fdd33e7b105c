/** Replicas that crash under some requests and are back as new incarnations after a while, before real routers. */
import { setTimeout as sleep } from "node:timers/promises";
import type { ReplicaSettings, ReplicaStandIn, ExecutedRequest } from "../../standIns/platform/replica.ts";
import { startReplicaStandIn } from "../../standIns/platform/replica.ts";
import type { PlatformSystem } from "../../standIns/platform/platformSystem.ts";

/** How a body asks for what becomes of the replica that runs it. */
export const bodies = { deadly: "deadly", deadlyToo: "deadly too", deadlyMidway: "deadly midway" } as const;

/** Until the registry names a crashed replica no more, and until it is back, milliseconds. */
const times = { registered: 500, gone: 1_000 } as const;

const pollInterval = 5;

/** Keeps a number of replicas of each service running. */
export interface CrashingReplicas extends AsyncDisposable {
  /** Runs of all incarnations with a body, the first one first. */
  readonly runsOf: (body: string) => readonly ExecutedRequest[];
  readonly crashes: () => number;
  /** Those that run now. */
  readonly running: () => readonly ReplicaStandIn[];
}

const crashesOn = ({ body }: ExecutedRequest): "never" | "begin" | "midway" => {
  if (body === bodies.deadlyMidway) return "midway";
  return body === bodies.deadly || body === bodies.deadlyToo ? "begin" : "never";
};

/** @param engineFields - Of every engine. */
export const startCrashingReplicas = async (
  { store, register }: Pick<PlatformSystem, "store" | "register">,
  count: { readonly desks: number; readonly engines: number },
  engineFields: Partial<ReplicaSettings> = {},
): Promise<CrashingReplicas> => {
  const all: ReplicaStandIn[] = [];
  const over = new AbortController();

  /** Looks after one place until the end: whatever runs there is replaced once it has crashed. */
  const keepUp = async (name: string, settings: Omit<ReplicaSettings, "id">, first: ReplicaStandIn) => {
    let replica = first;
    for (let start = 2; ; start += 1) {
      while (!replica.hasCrashed()) {
        if (over.signal.aborted) return;
        await sleep(pollInterval);
      }
      const { id } = replica;
      await sleep(times.registered);
      store.put("keyed.servers", id, undefined);
      await sleep(times.gone - times.registered);
      replica = await startReplicaStandIn({ ...settings, id: `${name}-start${start}` });
      all.push(replica);
      register(replica, settings.model === undefined ? { service: "desk" } : {});
    }
  };

  const tasks: Promise<void>[] = [];
  const start = async (name: string, settings: Omit<ReplicaSettings, "id">): Promise<void> => {
    const replica = await startReplicaStandIn({ ...settings, id: `${name}-start1` });
    all.push(replica);
    register(replica, settings.model === undefined ? { service: "desk" } : {});
    tasks.push(keepUp(name, settings, replica));
  };
  for (let index = 0; index < count.desks; index += 1) await start(`plain-${index}`, { crashesOn });
  for (let index = 0; index < count.engines; index += 1) {
    await start(`model-${index}`, { model: { name: "m", version: 1 }, crashesOn, ...engineFields });
  }

  return {
    runsOf: (body) => all.flatMap(({ runs }) => runs.filter((run) => run.body === body)),
    crashes: () => all.filter((replica) => replica.hasCrashed()).length,
    running: () => all.filter((replica) => !replica.hasCrashed()),
    [Symbol.asyncDispose]: async () => {
      over.abort();
      await Promise.all(tasks);
      await Promise.all(all.map((replica) => replica[Symbol.asyncDispose]()));
    },
  };
};
