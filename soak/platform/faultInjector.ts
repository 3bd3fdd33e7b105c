/** Carries out the steps of a plan, undoes each one after its duration, and records what it affected. */
import { setTimeout as sleep } from "node:timers/promises";
import { brokenStreams } from "../../standIns/platform/rawStreams.ts";
import type { Behaviour, ReportHeaders } from "../../standIns/platform/replica.ts";
import { drainingReport, keys } from "../../standIns/platform/platformSystem.ts";
import { partitionModes } from "../../standIns/platform/routerNetwork.ts";
import { frequentFailures } from "../../tests/support/retryWindows.ts";
import { firstReplicaStart } from "./constants.ts";
import type { SoakCallers } from "./callers.ts";
import { floodingOrganisation } from "./callers.ts";
import { createForeignRecords } from "../../standIns/platform/foreignRecords.ts";
import { holdCrowd } from "./misbehavingClients.ts";
import type { LoopbackProxy, ProxyMode } from "./loopbackProxy.ts";
import type { Step, StepKind } from "./plan.ts";
import { maxAddedReserve } from "./retryBudgetCheck.ts";
import { bounds } from "./soakSystem.ts";
import type { ReplicaSlot, RouterSlot, SoakSystem } from "./soakSystem.ts";
import type { ShutdownRecord, OperatorActions, StepRecord } from "./types.ts";

/** Carries out the steps of a plan and records them. */
export interface FaultInjector {
  /** Carries out a step and undoes it. */
  readonly carryOut: (step: Step) => Promise<void>;
  readonly steps: readonly StepRecord[];
  readonly shutdowns: readonly ShutdownRecord[];
  readonly operator: OperatorActions;
}

/** Milliseconds, far longer than the grace period: a router that takes longer is recorded as not ended. */
const shutdownTimeout = 20_000;

/** Delay before a stopped process is started again, and between two shutdowns of a rolling restart, milliseconds. */
const restartDelay = 300;
const rollingRestartGap = 700;

/** Factor of the speed of an engine that slows down. */
const engineSlowness = 0.3;

/** Other active replicas that a service must have before one of its replicas is drained or asks for backoff. */
const minOtherReplicas = 2;

/** Range of the backoff that a replica asks for, seconds, and the most requests that it sheds meanwhile. */
const backoffSeconds = { least: 0.8, most: 2.5 } as const;
const maxShedRequests = 5_000;

/** Longest outage of the store before it is restored, and delay until the operator publishes again, milliseconds. */
const maxStoreOutage = 600;
const republishDelay = 200;

/** Time between two starts of a replica, and step of its clock, milliseconds. */
const replicaUptime = 1_000;
const replicaClockStep = 5_000;

/** The version of the configuration that the run publishes before the faults begin. */
export const firstVersion = 2;

/** Misbehaviours of engines and plain services on the wire. */
const misbehaviours = {
  engines: ["shed", "fail", "reset", "cut", "crossed", "unsealed"],
  desk: ["shed", "fail", "reset", "cut", "crossed", "unsealed", "extra", "unframed", "broken"],
} as const satisfies Readonly<Record<string, readonly Behaviour[]>>;
const misbehaviourCount = 12;

/** Streams without a length or chunks, in each way of ending, and one that is framed. */
const streamEndings: readonly Behaviour[] = [
  ...(Object.keys(brokenStreams) as (keyof typeof brokenStreams)[]),
  "unframed",
  "well",
];

/** More requests than a replica gets in one step. */
const maxEndlessAnswers = 1_000;

/** More streams than an engine gets in one step. */
const maxBrokenStreams = 1_000;

const disturbLink = async (
  proxy: LoopbackProxy | undefined,
  mode: ProxyMode,
  duration: number,
): Promise<void> => {
  proxy?.setMode(mode);
  await sleep(duration);
  proxy?.setMode("pass");
};

const failStore = async (
  slot: RouterSlot | undefined,
  fault: "isBusy" | "isUnresponsive",
  duration: number,
): Promise<void> => {
  if (slot === undefined) return;
  slot.store.faults[fault] = true;
  await sleep(duration);
  slot.store.faults[fault] = false;
};

const slowDown = async (slot: ReplicaSlot | undefined, duration: number): Promise<void> => {
  slot?.replica.load?.slowDown(engineSlowness);
  await sleep(duration);
  slot?.replica.load?.slowDown(1);
};

const misbehave = (slot: ReplicaSlot | undefined, target: number): void => {
  const first = Math.floor(target * 1_000);
  const available = slot?.service === "desk" ? misbehaviours.desk : misbehaviours.engines;
  const behaviours = Array.from(
    { length: misbehaviourCount },
    (_, index) => available[(first + index * 7) % available.length] ?? "fail",
  );
  slot?.replica.setBehaviours(...behaviours);
};

const breakStreams = async (slot: ReplicaSlot | undefined, duration: number): Promise<void> => {
  const endings = Array.from(
    { length: maxBrokenStreams },
    (_, index) => streamEndings[index % streamEndings.length] ?? "well",
  );
  slot?.replica.setBehaviours(...endings);
  await sleep(duration);
  slot?.replica.setBehaviours();
};

const answerEndlessly = async (slot: ReplicaSlot | undefined, duration: number): Promise<void> => {
  if (slot?.isReporting === true) return;
  slot?.replica.setBehaviours(
    ...Array.from({ length: maxEndlessAnswers }, (_, index) => (index % 2 === 0 ? "endless" : "well")),
  );
  await sleep(duration);
  if (slot?.isReporting === false) slot.replica.setBehaviours();
};

/** The replicas of one service fail; which one is decided by the target. */
const failOften = async (slots: readonly ReplicaSlot[], target: number, duration: number): Promise<void> => {
  const service = target < 0.5 ? "desk" : "engines";
  const failing = slots.filter((slot) => slot.service === service && !slot.isReporting);
  for (const { replica } of failing) replica.setBehaviours(...frequentFailures);
  await sleep(duration);
  for (const { replica, isReporting } of failing) if (!isReporting) replica.setBehaviours();
};

/** Other writers write records that can't be used, and later remove them. */
const writeForeignRecords = async (
  { put }: SoakSystem["store"],
  target: number,
  duration: number,
): Promise<void> => {
  const records = createForeignRecords(target);
  for (const { topic, key, value } of records) put(topic, key, value);
  await sleep(duration);
  for (const { topic, key } of records) put(topic, key, undefined);
};

/** Partitions routers from all replicas. Their processes may end and start again meanwhile. */
const partitionRouters = async (
  slots: readonly RouterSlot[],
  target: number,
  duration: number,
): Promise<void> => {
  const mode = partitionModes[Math.floor(target * 1_000) % partitionModes.length] ?? "hang";
  for (const { partition } of slots) partition(mode);
  await sleep(duration);
  for (const { partition } of slots) partition(null);
};

/** Creates the faults of routers' processes. */
const createRouterFaults = (system: SoakSystem, shutdowns: ShutdownRecord[]) => {
  const restart = async (slot: RouterSlot): Promise<void> => {
    await sleep(restartDelay);
    await system.startRouter(slot);
    slot.isBusy = false;
  };

  const kill = async (slot: RouterSlot | undefined): Promise<void> => {
    if (slot?.process === undefined) return;
    slot.isBusy = true;
    slot.process.kill("SIGKILL");
    await slot.process.ended;
    await restart(slot);
  };

  const shutDown = async (slot: RouterSlot | undefined): Promise<void> => {
    if (slot?.process === undefined) return;
    slot.isBusy = true;
    const askedAt = performance.now();
    slot.process.kill("SIGTERM");
    const outcome = await Promise.race([
      slot.process.ended,
      sleep(shutdownTimeout, undefined, { ref: false }),
    ]);
    shutdowns.push({ router: slot.name, askedAt, code: outcome?.code });
    if (outcome === undefined) slot.process.kill("SIGKILL");
    await restart(slot);
  };

  const shutDownInTurn = async (): Promise<void> => {
    const all: Promise<void>[] = [];
    for (const slot of system.routers) {
      if (slot.isBusy) continue;
      all.push(shutDown(slot));
      await sleep(rollingRestartGap);
    }
    await Promise.all(all);
  };

  const freeze = async (slot: RouterSlot | undefined, duration: number): Promise<void> => {
    if (slot?.process === undefined) return;
    slot.isBusy = true;
    slot.process.kill("SIGSTOP");
    await sleep(duration);
    slot.process.kill("SIGCONT");
    slot.isBusy = false;
  };

  return { kill, shutDown, shutDownInTurn, freeze };
};

/**
 * Creates the step that restores the store from a backup; it does nothing while another restore is in progress.
 *
 * @param republish - Publishes the operator's records again shortly after the restore.
 */
const createStoreRestore = (system: SoakSystem, republish: () => void) => {
  let isRestoring = false;
  return async ({ duration, target }: Step): Promise<void> => {
    if (isRestoring) return;
    isRestoring = true;
    await system.restoreStore(duration, maxStoreOutage * target);
    await sleep(republishDelay);
    republish();
    isRestoring = false;
  };
};

const pick = <T>(items: readonly T[], target: number): T | undefined =>
  items[Math.min(items.length - 1, Math.floor(target * items.length))];

/** Creates the faults of replicas, except those of their connections. */
const createReplicaFaults = (system: SoakSystem) => {
  const usualReplicas = (): readonly ReplicaSlot[] =>
    system.replicas.filter(({ drainingSince, isReporting }) => drainingSince === undefined && !isReporting);

  const pickReplica = (target: number): ReplicaSlot | undefined => pick(usualReplicas(), target);

  const pickEngine = (target: number): ReplicaSlot | undefined =>
    pick(
      usualReplicas().filter(({ service }) => service === "engines"),
      target,
    );

  /** Counts the other replicas of its service that accept requests. */
  const countOthers = (slot: ReplicaSlot): number =>
    system.replicas.filter(
      (other) =>
        other !== slot &&
        other.service === slot.service &&
        other.drainingSince === undefined &&
        !other.isReporting,
    ).length;

  const drain = async (slot: ReplicaSlot | undefined): Promise<void> => {
    if (slot === undefined || countOthers(slot) < minOtherReplicas) return;
    system.register(slot, "draining");
    slot.drainingSince = performance.now();
    await sleep(bounds.drain * 2);
    system.register(slot, undefined);
  };

  /** The replica's answers report draining long before its registration does. */
  const reportDraining = async (slot: ReplicaSlot | undefined, duration: number): Promise<void> => {
    if (slot === undefined || countOthers(slot) < minOtherReplicas) return;
    slot.isReporting = true;
    slot.replica.setReportHeaders(drainingReport);
    await sleep(duration);
    await drain(slot);
  };

  /** Its next heartbeat registers it again; later it drains. */
  const lapse = async (slot: ReplicaSlot | undefined, duration: number): Promise<void> => {
    if (slot === undefined) return;
    system.register(slot, undefined);
    await sleep(duration);
    await drain(slot);
  };

  const registerStart = (slot: ReplicaSlot, bornAt: number): void => {
    slot.bornAt = bornAt;
    system.register(slot, "ready");
  };

  /** It restarts twice under its name, the second time with a clock that has stepped; later it drains. */
  const restart = async (slot: ReplicaSlot | undefined, duration: number, target: number): Promise<void> => {
    if (slot === undefined) return;
    const bornAt = (slot.bornAt ?? firstReplicaStart) + replicaUptime;
    registerStart(slot, bornAt);
    await sleep(duration);
    if (slot.drainingSince !== undefined) return;
    registerStart(slot, bornAt + replicaUptime + (target < 0.5 ? -replicaClockStep : replicaClockStep));
    await sleep(duration);
    await drain(slot);
  };

  const askForBackoff = async (
    slot: ReplicaSlot | undefined,
    duration: number,
    target: number,
  ): Promise<void> => {
    if (slot === undefined || countOthers(slot) < minOtherReplicas) return;
    slot.isReporting = true;
    const seconds = String(backoffSeconds.least + (backoffSeconds.most - backoffSeconds.least) * target);
    slot.replica.setReportHeaders((behaviour): ReportHeaders =>
      behaviour === "shed" ? { "retry-after": seconds } : {},
    );
    slot.replica.setBehaviours(...Array.from({ length: maxShedRequests }, () => "shed" as const));
    await sleep(duration);
    slot.replica.setBehaviours();
    slot.replica.setReportHeaders({});
    slot.isReporting = false;
  };

  return { pickReplica, pickEngine, drain, reportDraining, lapse, restart, askForBackoff };
};

/**
 * Creates a fault injector for a system.
 *
 * @param spareKeys - API keys that the operator may revoke, in this order.
 * @param callers - Run the load of a step.
 */
export const createFaultInjector = (
  system: SoakSystem,
  spareKeys: readonly string[],
  { runLoad, moveAway }: Pick<SoakCallers, "runLoad" | "moveAway">,
): FaultInjector => {
  const steps: StepRecord[] = [];
  const shutdowns: ShutdownRecord[] = [];
  const keysTaken: { readonly key: string; readonly at: number }[] = [];
  const weights: { readonly version: number; readonly at: number }[] = [];
  let version = firstVersion;
  let remainingKeys = [...spareKeys];
  const { kill, shutDown, shutDownInTurn, freeze } = createRouterFaults(system, shutdowns);
  const { pickReplica, pickEngine, drain, reportDraining, lapse, restart, askForBackoff } =
    createReplicaFaults(system);

  const pickRouter = (target: number): RouterSlot | undefined =>
    pick(
      system.routers.filter(({ isBusy, process }) => !isBusy && process !== undefined),
      target,
    );

  const publish = (fields: Readonly<Record<string, unknown>> = {}): void => {
    version += 1 + (version % 3);
    system.publish(version, { ...fields, tenants: createTenants(remainingKeys) });
  };

  const takeKey = (): void => {
    const [key, ...rest] = remainingKeys;
    if (key === undefined) return;
    remainingKeys = rest;
    publish();
    keysTaken.push({ key, at: performance.now() });
  };

  const nameWeights = (): void => {
    const newest = (weights.at(-1)?.version ?? 1) + 1;
    system.publishWeightsVersion(newest);
    weights.push({ version: newest, at: performance.now() });
  };

  const restoreStore = createStoreRestore(system, () => {
    system.publish(version, { tenants: createTenants(remainingKeys) });
    const newest = weights.at(-1);
    if (newest !== undefined) system.publishWeightsVersion(newest.version);
  });

  const changeSettings = async (slot: RouterSlot | undefined, target: number): Promise<void> => {
    if (slot === undefined) return;
    await system.writeSettings(slot, bounds.retryReserve + Math.floor(target * maxAddedReserve));
    slot.process?.kill("SIGHUP");
  };

  const actions: Readonly<
    Record<StepKind, (step: Step, router: RouterSlot | undefined) => Promise<void> | void>
  > = {
    killRouter: (_, router) => kill(router),
    endRouter: (_, router) => shutDown(router),
    endRoutersInTurn: shutDownInTurn,
    freezeRouter: ({ duration }, router) => freeze(router, duration),
    killAllRouters: async () => {
      await Promise.all(system.routers.filter(({ isBusy }) => !isBusy).map(kill));
    },
    storeBusy: ({ duration }, router) => failStore(router, "isBusy", duration),
    storeSilent: ({ duration }, router) => failStore(router, "isUnresponsive", duration),
    storeLosesAnswers: (_, router) => {
      if (router !== undefined) router.store.faults.loseAppends = 3;
    },
    storeCut: ({ duration }, router) => disturbLink(router?.storeProxy, "reset", duration),
    storeDelayed: ({ duration }, router) => disturbLink(router?.storeProxy, "delay", duration),
    storeMuted: ({ duration }, router) => disturbLink(router?.storeProxy, "mute", duration),
    replicaReset: ({ duration, target }) => disturbLink(pickReplica(target)?.proxy, "reset", duration),
    replicaSilent: ({ duration, target }) => disturbLink(pickReplica(target)?.proxy, "silent", duration),
    replicaOneWay: ({ duration, target }) => disturbLink(pickReplica(target)?.proxy, "oneWay", duration),
    replicaDelayed: ({ duration, target }) => disturbLink(pickReplica(target)?.proxy, "delay", duration),
    replicaMuted: ({ duration, target }) => disturbLink(pickReplica(target)?.proxy, "mute", duration),
    replicaMisbehaves: ({ target }) => misbehave(pickReplica(target), target),
    streamsBreakOff: ({ target, duration }) => breakStreams(pickEngine(target), duration),
    replicaReportsDraining: ({ target, duration }) => reportDraining(pickReplica(target), duration),
    replicaAsksForBackoff: ({ target, duration }) => askForBackoff(pickReplica(target), duration, target),
    replicaLeaves: ({ target }) => drain(pickReplica(target)),
    replicaRestarts: ({ target, duration }) => restart(pickReplica(target), duration, target),
    entryLapses: ({ target, duration }) => lapse(pickReplica(target), duration),
    routerPartitioned: ({ target, duration }, router) =>
      partitionRouters(router === undefined ? [] : [router], target, duration),
    routersPartitioned: ({ target, duration }, router) =>
      partitionRouters(
        system.routers.filter((slot) => slot !== router),
        target,
        duration,
      ),
    callersMove: ({ target, duration }) =>
      moveAway(
        system.routers.filter((_, index) => index % 2 === (target < 0.5 ? 0 : 1)).map(({ name }) => name),
        duration,
      ),
    replicasFailOften: ({ target, duration }) => failOften(system.replicas, target, duration),
    crashingParts: ({ duration }) => runLoad("crashingParts", duration),
    connectionHerd: ({ duration }) => runLoad("connectionHerd", duration),
    answersDoNotEnd: ({ target, duration }) => answerEndlessly(pickReplica(target), duration),
    foreignRecords: ({ target, duration }) => writeForeignRecords(system.store, target, duration),
    clientsMisbehave: ({ target, duration }) => holdCrowd(system.routers, target, duration),
    takeKey,
    nameWeights,
    organisationFloods: ({ duration }) => runLoad("organisationFloods", duration),
    memoryFills: ({ duration }) => runLoad("memoryFills", duration),
    callersStopReading: ({ duration }) => runLoad("callersStopReading", duration),
    engineSlows: ({ target, duration }) => slowDown(pickReplica(target), duration),
    storeReturns: restoreStore,
    changeConfiguration: () => publish(),
    changeSettings: ({ target }, router) => changeSettings(router, target),
  };

  return {
    steps,
    shutdowns,
    operator: { revokedKeys: keysTaken, weights },
    carryOut: async (step) => {
      const router = pickRouter(step.target);
      const from = performance.now();
      await actions[step.kind](step, router);
      steps.push({ kind: step.kind, from, until: performance.now(), router: router?.name });
    },
  };
};

/** Creates the organisations of the stand-in's configuration; the first one gets the keys that may be revoked. */
export const createTenants = (spareKeys: readonly string[]) => [
  { name: "one", apiKeys: [keys.known, ...spareKeys], priority: 1, isolated: false },
  { name: "two", apiKeys: [keys.isolated], priority: 1, isolated: true },
  { name: floodingOrganisation.name, apiKeys: [floodingOrganisation.key], priority: 1, isolated: false },
];
