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
 * Way back: a lost service is checked a few times a second, with one connection. Once it is accepted, all marks that
 * replicas of the service got meanwhile are dropped.
 */
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import { metricNames } from "../../state/constants.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import type { PathEvidence, ReplicaHealth } from "../forwarding/replicaHealth.ts";
import {
  failureCheckInterval,
  lostCheckIntervals,
  maxProofAge,
  pollIntervals,
  probeRounds,
  silenceBeforeCheck,
  silenceCheckInterval,
} from "./constants.ts";
import type { PathProbes } from "./pathProbes.ts";

export interface ReplicaPathsDependencies {
  readonly replicas: Pick<ReplicaTable, "all" | "serving" | "subscribe">;
  readonly probes: Pick<PathProbes, "anyAccepts" | "sample">;
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

/** The paths to one service. Times are milliseconds on the monotonic clock. */
interface ServicePaths {
  /** When the paths were found lost; `undefined` while there is one. */
  lostAt: number | undefined;
  /** When the last check ended. */
  checkedAt: number;
  /** Checks since the paths were lost; the interval between them grows with it. */
  checks: number;
  /** The check in progress. */
  check: Promise<void> | undefined;
}

const writeLog = createLogger("paths");

/** @returns Whether responses are pending, and whether nothing has arrived for a while from where they are. */
const observePending = (
  replicas: readonly ReplicaState[],
  now: number,
): { readonly isPending: boolean; readonly isSilent: boolean } => {
  const pending = replicas.filter(({ requests }) => requests > 0);
  const isPending = pending.length > 0;
  const isSilent = pending.every(({ quietSince }) => now - quietSince > silenceBeforeCheck);
  return { isPending, isSilent: isPending && isSilent };
};

/** Starts to monitor the paths. */
export const startReplicaPaths = (dependencies: ReplicaPathsDependencies): ReplicaPaths => {
  const { replicas, probes, health, clock, metrics } = dependencies;
  const services = new Map<string, ServicePaths>();
  let silenceCheckedAt = Number.NEGATIVE_INFINITY;
  /** When an answer, or a connection that was accepted, last showed a path to any replica. */
  let provenAt = Number.NEGATIVE_INFINITY;
  let isDisposed = false;

  const stateOf = (service: string): ServicePaths => {
    const known = services.get(service);
    if (known !== undefined) return known;
    const created = {
      lostAt: undefined,
      checkedAt: Number.NEGATIVE_INFINITY,
      checks: 0,
      check: undefined,
    };
    services.set(service, created);
    return created;
  };

  const listServices = (): ReadonlySet<string> =>
    new Set(replicas.all().flatMap(({ entry }) => (entry.isDraining ? [] : [entry.service])));

  /** Requests on connections that live on go on. */
  const abandonSilentRequests = (service: string): void => {
    const now = clock.monotonic();
    for (const { abandon, quietSince } of replicas.serving(service)) {
      if (now - quietSince > silenceBeforeCheck) for (const each of [...abandon]) each();
    }
  };

  const noteLost = (service: string, state: ServicePaths): void => {
    if (state.lostAt !== undefined) return;
    state.lostAt = clock.monotonic();
    state.checks = 0;
    metrics.count(metricNames.pathLosses, 1, { service });
    writeLog("lost", { service, replicas: replicas.serving(service).length });
    abandonSilentRequests(service);
    // A partition from one service is usually one from all.
    for (const other of listServices()) if (stateOf(other).lostAt === undefined) check(other, "failure");
  };

  const noteFound = (service: string, state: ServicePaths): void => {
    if (state.lostAt === undefined) return;
    writeLog("found", { service, milliseconds: Math.round(clock.monotonic() - state.lostAt) });
    state.lostAt = undefined;
    for (const replica of replicas.serving(service)) health.forgetFailures(replica);
  };

  /** @returns Whether a replica of the service accepts a connection; `undefined` if it has none. */
  const findPath = async (service: string, reason: CheckReason): Promise<boolean | undefined> => {
    const tried = new Set<ReplicaState>();
    for (const count of probeRounds[reason]) {
      const untried = replicas.serving(service).filter((replica) => !tried.has(replica));
      const sample = probes.sample(untried, count);
      if (sample.length === 0) break;
      if (await probes.anyAccepts(sample)) return true;
      for (const replica of sample) tried.add(replica);
    }
    return tried.size === 0 ? undefined : false;
  };

  const runCheck = async (service: string, state: ServicePaths, reason: CheckReason): Promise<void> => {
    state.checks += 1;
    const hasPath = await findPath(service, reason);
    state.checkedAt = clock.monotonic();
    state.check = undefined;
    if (isDisposed) return;
    if (hasPath === true) provenAt = state.checkedAt;
    if (hasPath === false) noteLost(service, state);
    else noteFound(service, state);
  };

  const check = (service: string, reason: CheckReason): void => {
    const state = stateOf(service);
    state.check ??= runCheck(service, state, reason);
  };

  /** Probes one replica first: a lone long prompt is silent until its first token, and no reason to doubt all paths. */
  const checkSilence = async (): Promise<void> => {
    silenceCheckedAt = clock.monotonic();
    const serving = replicas.all().filter(({ entry }) => !entry.isDraining);
    if (await probes.anyAccepts(probes.sample(serving, 1))) provenAt = clock.monotonic();
    else if (!isDisposed) checkAll();
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

  const poll = (): void => {
    const now = clock.monotonic();
    const { isPending, isSilent } = observePending(replicas.all(), now);
    const isDue = now - silenceCheckedAt > silenceCheckInterval;
    if (isSilent && isDue && !isPartitioned()) void checkSilence();
    checkLost(now);
    cancelPoll = clock.after(isPending ? pollIntervals.busy : pollIntervals.idle, poll);
  };
  let cancelPoll = clock.after(pollIntervals.idle, poll);
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
      if (!isPartitioned() && now - silenceCheckedAt > failureCheckInterval) void checkSilence();
      return false;
    },
    noteAnswer: () => {
      provenAt = clock.monotonic();
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
