/** Carries out the steps of a plan, each undone after its time, and notes what it struck. */
import { setTimeout as sleep } from "node:timers/promises";
import type { Behaviour, ReportHeaders } from "../../standIns/platform/replica.ts";
import { drainingReport, keys } from "../../standIns/platform/platformSystem.ts";
import type { LoopbackProxy, ProxyMode } from "./loopbackProxy.ts";
import type { Step, StepKind } from "./plan.ts";
import { bounds } from "./soakSystem.ts";
import type { ReplicaSlot, RouterSlot, SoakSystem } from "./soakSystem.ts";
import type { ShutdownRecord, OperatorActions, StepRecord } from "./types.ts";

/** See {@link createFaultInjector}. */
export interface FaultInjector {
  /** Carries out a step and undoes it. */
  readonly carryOut: (step: Step) => Promise<void>;
  readonly steps: readonly StepRecord[];
  readonly shutdowns: readonly ShutdownRecord[];
  readonly operator: OperatorActions;
}

/** Far longer than the grace time: a router that takes longer doesn't end. */
const longestEnd = 20_000;

/** Until a process that was killed is started again, and between two that are ended in turn, milliseconds. */
const restartDelay = 300;
const turnGap = 700;

/** A service that leaves must not be left without replicas. */
const fewestReplicas = 2;

/** What a replica may ask for, seconds; requests that it turns away at most. */
const backoffSeconds = { least: 0.8, most: 2.5 } as const;
const mostRefused = 5_000;

/** How long the store may be away before it returns from a copy, and until the operator writes again, milliseconds. */
const longestAway = 600;
const rewriteDelay = 200;

/** What engines and plain services do on the wire that they should not. */
const misbehaviours = {
  engines: ["shed", "fail", "reset", "cut", "crossed", "unsealed"],
  desk: ["shed", "fail", "reset", "cut", "crossed", "unsealed", "extra", "unframed", "broken"],
} as const satisfies Readonly<Record<string, readonly Behaviour[]>>;
const badAnswers = 12;

const harm = async (proxy: LoopbackProxy | undefined, mode: ProxyMode, duration: number): Promise<void> => {
  proxy?.setMode(mode);
  await sleep(duration);
  proxy?.setMode("pass");
};

const failStore = async (
  place: RouterSlot | undefined,
  fault: "isBusy" | "isSilent",
  duration: number,
): Promise<void> => {
  if (place === undefined) return;
  place.store.faults[fault] = true;
  await sleep(duration);
  place.store.faults[fault] = false;
};

const misbehave = (place: ReplicaSlot | undefined, target: number): void => {
  const first = Math.floor(target * 1_000);
  const known = place?.service === "desk" ? misbehaviours.desk : misbehaviours.engines;
  const behaviours = Array.from(
    { length: badAnswers },
    (_, index) => known[(first + index * 7) % known.length] ?? "fail",
  );
  place?.replica.setBehaviours(...behaviours);
};

/** What becomes of routers' processes. */
const createFates = (system: SoakSystem, ends: ShutdownRecord[]) => {
  const restart = async (place: RouterSlot): Promise<void> => {
    await sleep(restartDelay);
    await system.startRouter(place);
    place.isBusy = false;
  };

  const kill = async (place: RouterSlot | undefined): Promise<void> => {
    if (place?.process === undefined) return;
    place.isBusy = true;
    place.process.kill("SIGKILL");
    await place.process.ended;
    await restart(place);
  };

  const end = async (place: RouterSlot | undefined): Promise<void> => {
    if (place?.process === undefined) return;
    place.isBusy = true;
    const askedAt = performance.now();
    place.process.kill("SIGTERM");
    const outcome = await Promise.race([place.process.ended, sleep(longestEnd, undefined, { ref: false })]);
    ends.push({ router: place.name, askedAt, code: outcome?.code });
    if (outcome === undefined) place.process.kill("SIGKILL");
    await restart(place);
  };

  const endInTurn = async (): Promise<void> => {
    const all: Promise<void>[] = [];
    for (const place of system.routers) {
      if (place.isBusy) continue;
      all.push(end(place));
      await sleep(turnGap);
    }
    await Promise.all(all);
  };

  const freeze = async (place: RouterSlot | undefined, duration: number): Promise<void> => {
    if (place?.process === undefined) return;
    place.isBusy = true;
    place.process.kill("SIGSTOP");
    await sleep(duration);
    place.process.kill("SIGCONT");
    place.isBusy = false;
  };

  return { kill, end, endInTurn, freeze };
};

/** @param writeAgain - What the operator does a moment after a return. */
const createReturns = (system: SoakSystem, writeAgain: () => void) => {
  let isReturning = false;
  return async ({ duration, target }: Step): Promise<void> => {
    if (isReturning) return;
    isReturning = true;
    await system.restoreStore(duration, longestAway * target);
    await sleep(rewriteDelay);
    writeAgain();
    isReturning = false;
  };
};

/** @param spareKeys - Keys that the operator may take away, first to last. */
export const createFaultInjector = (system: SoakSystem, spareKeys: readonly string[]): FaultInjector => {
  const steps: StepRecord[] = [];
  const ends: ShutdownRecord[] = [];
  const keysTaken: { readonly key: string; readonly at: number }[] = [];
  const weights: { readonly version: number; readonly at: number }[] = [];
  let version = 1;
  let keysLeft = [...spareKeys];
  const { kill, end, endInTurn, freeze } = createFates(system, ends);

  const pick = <T>(items: readonly T[], target: number): T | undefined =>
    items[Math.min(items.length - 1, Math.floor(target * items.length))];

  const pickRouter = (target: number): RouterSlot | undefined =>
    pick(
      system.routers.filter(({ isBusy, process }) => !isBusy && process !== undefined),
      target,
    );

  const pickReplica = (target: number): ReplicaSlot | undefined =>
    pick(
      system.replicas.filter(
        ({ drainingSince: leftAt, isReporting }) => leftAt === undefined && !isReporting,
      ),
      target,
    );

  /** Other replicas of its service that take requests. */
  const countOthers = (place: ReplicaSlot): number =>
    system.replicas.filter(
      (other) =>
        other !== place &&
        other.service === place.service &&
        other.drainingSince === undefined &&
        !other.isReporting,
    ).length;

  const leave = async (place: ReplicaSlot | undefined): Promise<void> => {
    if (place === undefined || countOthers(place) < fewestReplicas) return;
    system.register(place, "draining");
    place.drainingSince = performance.now();
    await sleep(bounds.drain * 2);
    system.register(place, undefined);
  };

  /** Its answers say so long before the registry does. */
  const reportDraining = async (place: ReplicaSlot | undefined, duration: number): Promise<void> => {
    if (place === undefined || countOthers(place) < fewestReplicas) return;
    place.isReporting = true;
    place.replica.setReportHeaders(drainingReport);
    await sleep(duration);
    await leave(place);
  };

  const askForBackoff = async (
    place: ReplicaSlot | undefined,
    duration: number,
    target: number,
  ): Promise<void> => {
    if (place === undefined || countOthers(place) < fewestReplicas) return;
    place.isReporting = true;
    const seconds = String(backoffSeconds.least + (backoffSeconds.most - backoffSeconds.least) * target);
    place.replica.setReportHeaders((behaviour): ReportHeaders =>
      behaviour === "shed" ? { "retry-after": seconds } : {},
    );
    place.replica.setBehaviours(...Array.from({ length: mostRefused }, () => "shed" as const));
    await sleep(duration);
    place.replica.setBehaviours();
    place.replica.setReportHeaders({});
    place.isReporting = false;
  };

  const publish = (fields: Readonly<Record<string, unknown>> = {}): void => {
    version += 1 + (version % 3);
    system.publish(version, { ...fields, tenants: createTenants(keysLeft) });
  };

  const takeKey = (): void => {
    const [key, ...rest] = keysLeft;
    if (key === undefined) return;
    keysLeft = rest;
    publish();
    keysTaken.push({ key, at: performance.now() });
  };

  const nameWeights = (): void => {
    const newest = (weights.at(-1)?.version ?? 1) + 1;
    system.publishWeightsVersion(newest);
    weights.push({ version: newest, at: performance.now() });
  };

  const returnStore = createReturns(system, () => {
    system.publish(version, { tenants: createTenants(keysLeft) });
    const newest = weights.at(-1);
    if (newest !== undefined) system.publishWeightsVersion(newest.version);
  });

  const changeSettings = async (place: RouterSlot | undefined, target: number): Promise<void> => {
    if (place === undefined) return;
    await system.writeSettings(place, bounds.retryReserve + Math.floor(target * 10));
    place.process?.kill("SIGHUP");
  };

  const ways: Readonly<
    Record<StepKind, (step: Step, router: RouterSlot | undefined) => Promise<void> | void>
  > = {
    killRouter: (_, router) => kill(router),
    endRouter: (_, router) => end(router),
    endRoutersInTurn: endInTurn,
    freezeRouter: ({ duration }, router) => freeze(router, duration),
    killAllRouters: async () => {
      await Promise.all(system.routers.filter(({ isBusy }) => !isBusy).map(kill));
    },
    storeBusy: ({ duration }, router) => failStore(router, "isBusy", duration),
    storeSilent: ({ duration }, router) => failStore(router, "isSilent", duration),
    storeLosesAnswers: (_, router) => {
      if (router !== undefined) router.store.faults.loseAppends = 3;
    },
    storeCut: ({ duration }, router) => harm(router?.storeProxy, "reset", duration),
    storeDelayed: ({ duration }, router) => harm(router?.storeProxy, "delay", duration),
    storeMuted: ({ duration }, router) => harm(router?.storeProxy, "mute", duration),
    replicaReset: ({ duration, target }) => harm(pickReplica(target)?.proxy, "reset", duration),
    replicaSilent: ({ duration, target }) => harm(pickReplica(target)?.proxy, "silent", duration),
    replicaOneWay: ({ duration, target }) => harm(pickReplica(target)?.proxy, "oneWay", duration),
    replicaDelayed: ({ duration, target }) => harm(pickReplica(target)?.proxy, "delay", duration),
    replicaMuted: ({ duration, target }) => harm(pickReplica(target)?.proxy, "mute", duration),
    replicaMisbehaves: ({ target }) => misbehave(pickReplica(target), target),
    replicaReportsDraining: ({ target, duration }) => reportDraining(pickReplica(target), duration),
    replicaAsksForBackoff: ({ target, duration }) => askForBackoff(pickReplica(target), duration, target),
    replicaLeaves: ({ target }) => leave(pickReplica(target)),
    takeKey,
    nameWeights,
    storeReturns: returnStore,
    changeConfiguration: () => publish(),
    changeSettings: ({ target }, router) => changeSettings(router, target),
  };

  return {
    steps,
    shutdowns: ends,
    operator: { revokedKeys: keysTaken, weights },
    carryOut: async (step) => {
      const router = pickRouter(step.target);
      const from = performance.now();
      await ways[step.kind](step, router);
      steps.push({ kind: step.kind, from, until: performance.now(), router: router?.name });
    },
  };
};

/** The organisations of the stand-in's configuration, the first with keys that may be taken away. */
export const createTenants = (spareKeys: readonly string[]) => [
  { name: "one", apiKeys: [keys.known, ...spareKeys], priority: 1, isolated: false },
  { name: "two", apiKeys: [keys.isolated], priority: 1, isolated: true },
];
