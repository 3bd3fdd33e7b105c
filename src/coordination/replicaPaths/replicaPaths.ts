/**
 * Tells a router that has lost its paths to the replicas of a service from replicas that are down.
 *
 * Load pattern: the network between some routers and all replicas fails, while callers, the store and other routers
 * reach these routers. Connections hang, are reset, or live on while new ones are refused.
 *
 * Decision: failed connections, and silence of all replicas that owe responses, lead to a check that opens connections
 * to several replicas of the service. If none accepts one, the service is lost to this router. That says nothing about
 * its replicas: requests go through other routers, and only where those have no path either is the service down.
 *
 * A connection that is accepted shows no path if something in between accepts it and hands nothing on. After silence an
 * engine must answer; where none does for a while, engines and the services that are silent are lost until one has
 * answered.
 *
 * Way back: a lost service is checked a few times a second, with one connection. Once it is accepted, all marks that
 * replicas of the service got meanwhile are dropped.
 */
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import { metricNames } from "../../state/constants.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import type { PathEvidence, ReplicaHealth } from "../forwarding/replicaHealth.ts";
import {
  enginesPerAnswer,
  failureCheckInterval,
  lostCheckIntervals,
  maxProofAge,
  pollIntervals,
  probeRounds,
  silenceBeforeCheck,
  silenceCheckInterval,
  unansweredCheckInterval,
} from "./constants.ts";
import type { PathProbes } from "./pathProbes.ts";
import type { ServicePaths } from "./servicePaths.ts";
import { createServiceTable, observePending } from "./servicePaths.ts";
import { createPathSearch, isEngine } from "./pathSearch.ts";
import { createUnansweredTime } from "./unansweredTime.ts";
import { runInBackground, runTask } from "../../state/backgroundTasks.ts";
import { startPeriodicTask } from "../periodicTask.ts";

export interface ReplicaPathsDependencies {
  readonly replicas: Pick<ReplicaTable, "all" | "serving" | "subscribe">;
  readonly probes: Pick<PathProbes, "anyAccepts" | "askAny" | "sample">;
  readonly health: Pick<ReplicaHealth, "forgetFailures">;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Which services this router has paths to; monitored until disposed of. */
export interface ReplicaPaths extends PathEvidence, AsyncDisposable {
  /** @returns For how long this router has had no path to a service, milliseconds; `undefined` if it has one. */
  readonly lostFor: (service: string) => number | undefined;
  /** Whether this router has no path to any service that has replicas. */
  readonly isPartitioned: () => boolean;
  /** Whether this router had a path to any replica a moment ago. If that is not known, a check begins. */
  readonly isProven: () => boolean;
  /** @returns Resolves when a check of the service that is in progress has ended, at once if there is none. */
  readonly whenChecked: (service: string) => Promise<void>;
}

/** Why a service is checked. */
type CheckReason = keyof typeof probeRounds;

const writeLog = createLogger("paths");

/** Requests on connections that live on go on. */
const abandonSilentRequests = (replicas: readonly ReplicaState[], now: number): void => {
  for (const { abandon, quietSince } of replicas) {
    if (now - quietSince > silenceBeforeCheck) for (const each of [...abandon]) each();
  }
};

/** Starts to monitor the paths. */
export const startReplicaPaths = (dependencies: ReplicaPathsDependencies): ReplicaPaths => {
  const { replicas, probes, health, clock, metrics } = dependencies;
  const { stateOf, listServices, services } = createServiceTable(replicas);
  const search = createPathSearch({ replicas, probes });
  let silenceCheckedAt = Number.NEGATIVE_INFINITY;
  /** When an answer, or a connection that was accepted, last showed a path to any replica. */
  let provenAt = Number.NEGATIVE_INFINITY;
  const unanswered = createUnansweredTime();
  let isDisposed = false;

  const noteLost = (service: string, state: ServicePaths): void => {
    if (state.lostAt !== undefined) return;
    state.lostAt = clock.monotonic();
    state.checks = 0;
    metrics.count(metricNames.pathLosses, 1, { service });
    writeLog("lost", { service, replicas: replicas.serving(service).length });
    abandonSilentRequests(replicas.serving(service), clock.monotonic());
    // A partition from one service is usually one from all.
    for (const other of listServices()) if (stateOf(other).lostAt === undefined) check(other, "failure");
  };

  const noteFound = (service: string, state: ServicePaths): void => {
    if (state.lostAt === undefined) return;
    writeLog("found", { service, milliseconds: Math.round(clock.monotonic() - state.lostAt) });
    state.lostAt = undefined;
    for (const replica of replicas.serving(service)) health.forgetFailures(replica);
  };

  /** Plain replicas can't be asked without running something: their silence tells, as long as no engine answers. */
  const needsAnswer = (service: string): boolean => {
    if (!unanswered.isTooLong()) return false;
    const serving = replicas.serving(service);
    const isLost = stateOf(service).lostAt !== undefined;
    return isLost || serving.some(isEngine) || observePending(serving, clock.monotonic()).isSilent;
  };

  const findPath = async (service: string, reason: CheckReason): Promise<boolean | undefined> => {
    if (!needsAnswer(service)) return search.findAccepting(service, probeRounds[reason]);
    const isAnswered = (await search.askEngines(1)) === "answered";
    if (isAnswered) unanswered.end();
    return isAnswered;
  };

  const runCheck = async (service: string, state: ServicePaths, reason: CheckReason): Promise<void> => {
    state.checks += 1;
    const hasPath = await findPath(service, reason);
    state.checkedAt = clock.monotonic();
    if (isDisposed) return;
    if (hasPath === true) provenAt = state.checkedAt;
    if (hasPath === false) noteLost(service, state);
    else noteFound(service, state);
  };

  const check = (service: string, reason: CheckReason): void => {
    const state = stateOf(service);
    state.check ??= runTask("checkPath", () => runCheck(service, state, reason), service).finally(() => {
      state.check = undefined;
    });
  };

  const noteUnanswered = (since: number): void => {
    unanswered.noteSilence(since);
    if (!unanswered.isTooLong()) return;
    for (const service of listServices()) if (needsAnswer(service)) noteLost(service, stateOf(service));
  };

  /** Asks one engine first: a lone long prompt is silent until its first token, and no reason to doubt all paths. */
  const checkSilence = async (): Promise<void> => {
    const startedAt = clock.monotonic();
    silenceCheckedAt = startedAt;
    let result = await search.askEngines(1);
    if (result === "accepted" && unanswered.needsConfirmation(startedAt))
      result = await search.askEngines(enginesPerAnswer);
    if (isDisposed) return;
    if (result === "accepted") {
      noteUnanswered(startedAt);
      return;
    }
    unanswered.end();
    const serving = replicas.all().filter(({ entry }) => !entry.isDraining);
    const hasPath =
      result === undefined ? await probes.anyAccepts(probes.sample(serving, 1)) : result === "answered";
    if (hasPath) provenAt = clock.monotonic();
    else checkAll();
  };

  const checkAll = (): void => {
    for (const service of listServices()) check(service, "silence");
  };

  const checkLost = (now: number): void => {
    for (const [service, { lostAt, checkedAt, checks }] of services) {
      if (lostAt === undefined) continue;
      const interval = Math.min(lostCheckIntervals.longest, lostCheckIntervals.shortest * 2 ** checks);
      if (now - checkedAt >= interval) check(service, "lost");
    }
  };

  const isPartitioned = (): boolean => {
    const listed = [...listServices()];
    return listed.length > 0 && listed.every((service) => services.get(service)?.lostAt !== undefined);
  };

  const poll = (): number => {
    const now = clock.monotonic();
    const { isPending, isSilent } = observePending(replicas.all(), now);
    const interval = unanswered.isSilent() ? unansweredCheckInterval : silenceCheckInterval;
    if ((isSilent || unanswered.isSilent()) && now - silenceCheckedAt > interval && !isPartitioned())
      runInBackground("checkSilence", checkSilence);
    checkLost(now);
    return isPending ? pollIntervals.busy : pollIntervals.idle;
  };
  const cancelPoll = startPeriodicTask(clock, "monitorPaths", pollIntervals.idle, poll);
  // A router may start without paths. Its first requests must not be what shows it.
  replicas.subscribe(({ service }, departure) => {
    if (departure === undefined && !services.has(service)) check(service, "failure");
  });

  return {
    lostFor: (service) => {
      const lostAt = services.get(service)?.lostAt;
      return lostAt === undefined ? undefined : clock.monotonic() - lostAt;
    },
    isPartitioned,
    isProven: () => {
      const now = clock.monotonic();
      if (now - provenAt < maxProofAge) return true;
      if (!isPartitioned() && now - silenceCheckedAt > failureCheckInterval)
        runInBackground("checkSilence", checkSilence);
      return false;
    },
    noteAnswer: () => {
      provenAt = clock.monotonic();
      unanswered.end();
    },
    noteFailure: (service) => {
      const { lostAt, checkedAt } = stateOf(service);
      if (lostAt === undefined && clock.monotonic() - checkedAt > failureCheckInterval)
        check(service, "failure");
    },
    whenChecked: async (service) => services.get(service)?.check,
    [Symbol.asyncDispose]: () => {
      isDisposed = true;
      cancelPoll();
      return Promise.resolve();
    },
  };
};
