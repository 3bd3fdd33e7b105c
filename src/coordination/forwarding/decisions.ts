/**
 * Assembles everything that makes decisions about a request: admission by the configuration, load shedding, waiting
 * for prompt parts, placement and attempts. Replicas and peers are only reached through the given dependencies, so that
 * simulations can replace them.
 */
import type { RelayClient } from "../../protocol/forwarding/RelayClient.ts";
import type { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import { createResourceStack } from "../../protocol/resourceStack.ts";
import type { RegistryFreshness } from "../storeReading/registryFreshness.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import type { CrashMonitor } from "../crashes/crashMonitor.ts";
import { createCrashMonitor } from "../crashes/crashMonitor.ts";
import type { QuarantineChecks } from "../crashes/quarantine.ts";
import type { ReplicaLimits } from "../replicaLimits/replicaLimits.ts";
import type { ReplicaOwners } from "../replicaOwners/replicaOwners.ts";
import { createAvailability } from "../replicaReports/availability.ts";
import { createReplicaGate } from "../replicaReports/replicaGate.ts";
import { noteRefusal } from "../replicaReports/backoff.ts";
import { createReportObserver } from "../replicaReports/reportObserver.ts";
import type { UsageLimits } from "../usageLimits/usageLimits.ts";
import type { RequestAdmission } from "../admission/requestAdmission.ts";
import { createAnswerCheck } from "./answerCheck.ts";
import type { AttemptLoopDependencies } from "./attemptLoop.ts";
import type { CacheHolders } from "./cacheHolders.ts";
import type { CacheStoreFollower } from "./cacheStoreFollower.ts";
import type { ConfigurationState } from "./configurationState.ts";
import { createBatchMemory } from "../placement/batchMemory.ts";
import { createEnginePlacement } from "../placement/enginePlacement.ts";
import { finiteAge } from "./finiteAge.ts";
import { createForwardAttempt } from "./forwardAttempt.ts";
import type { Forwarder } from "./forwarder.ts";
import { createForwarder } from "./forwarder.ts";
import { createLimitGrants } from "../admission/limitGrants.ts";
import { createFairAdmission } from "../admission/fairAdmission.ts";
import { createLoadAdmission } from "../admission/loadAdmission.ts";
import type { LoadFeatures } from "./loadFeatures.ts";
import type { LoadPolicy } from "./loadPolicy.ts";
import { noOrganisation, organisationKeyOf } from "./organisationKey.ts";
import type { PathProbes } from "../replicaPaths/pathProbes.ts";
import { createPathProbes } from "../replicaPaths/pathProbes.ts";
import type { ReplicaPaths } from "../replicaPaths/replicaPaths.ts";
import { startReplicaPaths } from "../replicaPaths/replicaPaths.ts";
import type { Relay } from "../relaying/relay.ts";
import { createRelay, noRelay } from "../relaying/relay.ts";
import { createRelayTargets } from "../relaying/relayTargets.ts";
import { createPartSaving } from "../placement/partSaving.ts";
import { countOtherDataCentres } from "../placement/dataCentreCounter.ts";
import { registerMemoryGauge } from "../placement/memoryGauge.ts";
import { createPartWait } from "../placement/partWait.ts";
import { createPlacement } from "../placement/placement.ts";
import { createReplicaEstimates } from "../estimates/replicaEstimates.ts";
import type { ReplicaEstimates } from "../estimates/replicaEstimates.ts";
import type { ReplicaSpeeds } from "../estimates/replicaSpeeds.ts";
import { createReplicaHealth } from "./replicaHealth.ts";
import { startReplicaMonitor } from "./replicaMonitor.ts";
import { createPromptSizes } from "../admission/promptSizes.ts";
import { createWeightsExclusion } from "./weightsExclusion.ts";
import { createWeightsChecks } from "./weightsChecks.ts";
import type { RetryShare } from "./retryShare.ts";
import type { RouterPeers } from "./routerPeers.ts";
import type { Shutdown } from "./shutdown.ts";
import type { ForwardingBounds } from "./types.ts";
import { createPrecedenceRule, weightedPriorityOf } from "../admission/urgency.ts";
import { createUsageAdmission } from "../admission/usageAdmission.ts";

/** The parts of a router's view of the system that decisions use. */
export interface DecisionView {
  readonly configuration: ConfigurationState;
  readonly replicas: ReplicaTable;
  readonly holders: CacheHolders;
  readonly peers: Pick<
    RouterPeers,
    | "countServing"
    | "announceCheckedWeights"
    | "announceHolder"
    | "announceWork"
    | "announceLeaving"
    | "broadcastBackoff"
    | "relayCandidates"
  >;
  readonly owners: Pick<ReplicaOwners, "isEnabled" | "isOwnerOf" | "query" | "reports">;
  readonly cacheStore: Pick<CacheStoreFollower, "findStore">;
  /** Present if learned speeds are used. */
  readonly speeds?: ReplicaSpeeds | undefined;
  readonly limits: UsageLimits;
  readonly replicaLimits: ReplicaLimits;
  readonly quarantine: QuarantineChecks;
  /** @returns Milliseconds since the time up to which all records of the registry are known. */
  readonly registryAge: () => number;
  readonly registryFreshness: RegistryFreshness;
}

export interface DecisionDependencies {
  /** This router's data centre. */
  readonly dataCentre: string;
  readonly client: ReplicaClient;
  /** Without it, requests are not passed on to other routers. */
  readonly relayClient?: RelayClient;
  readonly view: DecisionView;
  readonly retryShare: RetryShare;
  readonly admit: RequestAdmission;
  readonly shutdown: Shutdown;
  readonly bounds: ForwardingBounds;
  readonly policy: LoadPolicy;
  readonly features: LoadFeatures;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** @returns A random number from 0 to 1. */
  readonly random: () => number;
}

/** The assembled forwarder; monitors replicas until it is disposed of. */
export interface Decisions extends AsyncDisposable {
  readonly forwarder: Forwarder;
  readonly paths: Pick<ReplicaPaths, "isPartitioned" | "isProven">;
}

const writeLog = createLogger("router");

/** Logs changes of replicas, and drops the cache holders and estimates of those that leave. */
const forgetDepartedReplicas = (
  { replicas, holders, registryAge }: DecisionView,
  client: ReplicaClient,
  estimates: ReplicaEstimates,
): void => {
  replicas.subscribe((entry, departure) => {
    const { source, detail } = replicas.get(entry.id)?.draining ?? {};
    writeLog("replica", {
      replica: entry.id,
      service: entry.service,
      state: departure ?? "ready",
      registryAge: finiteAge(registryAge()),
      ...(source === undefined ? {} : { source, detail: detail ?? "" }),
    });
    if (departure !== undefined) holders.forget(entry.id);
    if (departure === undefined || departure === "draining") return;
    estimates.forget(entry.id);
    client.forget(entry);
  });
};

const createRelayOf = ({ relayClient, view, clock, metrics, random }: DecisionDependencies): Relay => {
  if (relayClient === undefined) return noRelay;
  const targets = createRelayTargets({ candidates: view.peers.relayCandidates, clock, random });
  return createRelay({ client: relayClient, targets, clock, metrics });
};

/** Observes what replicas report of themselves in their answers. */
const observeReports = (dependencies: DecisionDependencies): void => {
  const { client, view, clock, metrics, random } = dependencies;
  const { replicas, owners, peers } = view;
  const observe = createReportObserver({
    limits: view.replicaLimits,
    replicas,
    // With many routers, a broadcast costs more than the one request after which each router learns it itself.
    onDraining: (id) => {
      if (!owners.isEnabled()) peers.announceLeaving(id);
    },
    // With many routers, the work report to the replica's owner carries it instead.
    onBackoff: peers.broadcastBackoff,
    metrics,
    clock,
    random,
  });
  client.useGate(createReplicaGate({ replicas, observe, metrics, clock }));
};

const monitorCrashes = (
  { client, view, metrics, clock }: DecisionDependencies,
  paths: PathProbes,
): CrashMonitor => {
  const { replicas, quarantine } = view;
  return createCrashMonitor({ replicas, client, paths, metrics, clock, onCrash: quarantine.noteCrash });
};

/** Creates the forwarder and starts to monitor replicas. */
export const createDecisions = (dependencies: DecisionDependencies): Decisions => {
  const { dataCentre, client, view, bounds, policy, features, clock, metrics, random } = dependencies;
  const organisationKey = features.fairShares ? organisationKeyOf : (): number => noOrganisation;
  const { configuration, replicas, holders, peers, owners, cacheStore, quarantine } = view;
  const resources = createResourceStack();
  const { speeds } = view;
  const estimates = createReplicaEstimates(speeds && { replicas, clock, speeds });
  const health = createReplicaHealth(replicas, clock, {
    noteFailure: (service) => paths.noteFailure(service),
    noteAnswer: () => paths.noteAnswer(),
  });
  const probes = createPathProbes({ replicas, client, clock });
  const paths: ReplicaPaths = resources.use(startReplicaPaths({ replicas, probes, health, clock, metrics }));
  resources.use(
    startReplicaMonitor({
      replicas,
      client,
      health,
      clock,
      // While paths are lost, one connection at a time looks for them.
      isResponsibleFor: (replica) =>
        paths.lostFor(replica.entry.service) === undefined &&
        (!owners.isEnabled() || owners.isOwnerOf(replica)),
    }),
  );
  forgetDepartedReplicas(view, client, estimates);
  observeReports(dependencies);
  const availability = createAvailability({ replicas, clock, countRouters: peers.countServing, random });

  const saving = createPartSaving({
    clock,
    policy,
    routerCount: peers.countServing,
    storeCount: () => (features.batchMemory ? (configuration.table()?.cacheStores.length ?? 1) : 1),
  });
  const placementDependencies = { replicas, estimates, clock, random };
  const memory = features.batchMemory ? createBatchMemory() : undefined;
  const priorityOf = features.fairShares ? createPrecedenceRule() : weightedPriorityOf;
  const sheddingThreshold = policy.latenessTurnedAway;
  const fair = features.fairShares
    ? createFairAdmission({
        sheddingThreshold,
        priorityOf,
        organisationKey,
        replicasPerRouter: (service) => replicas.serving(service).length / peers.countServing(),
        clock,
        random,
      })
    : undefined;
  const engines = createEnginePlacement({
    ...placementDependencies,
    configuration,
    holders,
    bounds,
    policy,
    findStore: cacheStore.findStore,
    saving,
    memory,
    priorityOf,
    packingLimit: (admission) => fair?.packingLimit(admission) ?? Number.POSITIVE_INFINITY,
    organisationKey,
  });
  if (features.batchMemory) registerMemoryGauge({ replicas, owners, metrics });
  const announce = peers.announceCheckedWeights;
  const weightsChecks = createWeightsChecks({ replicas, client, clock, announce });
  const attempt = createForwardAttempt({
    client,
    check: createAnswerCheck({
      replicas,
      weightsChecks,
      onLeaving: peers.announceLeaving,
      onEndless: health.noteEndless,
      clock,
      onRefused: (replica) => noteRefusal(replica, clock.monotonic(), random()),
    }),
    holders,
    // Routers query owners for the holders of parts; without owners, holders are announced to every peer.
    announceHolder: (replica, key, holder, isReady) => {
      if (owners.isEnabled()) owners.reports.noteHolder(replica, key, holder, isReady);
      else peers.announceHolder(key, holder, isReady);
    },
    announceToHomeOwner: (home, key, holder, isReady) => {
      if (owners.isEnabled()) owners.reports.noteHolder(home, key, holder, isReady);
    },
    announcesSaves: owners.isEnabled,
    onLongPrompt: peers.announceWork,
    reports: owners.reports,
    estimates,
    speeds,
    health,
    crashes: monitorCrashes(dependencies, probes),
    quarantine,
    saving,
    memory,
    organisationKey,
    metrics,
    clock,
  });
  const usage = createUsageAdmission({ limits: view.limits, metrics });
  const loopDependencies: AttemptLoopDependencies = {
    requestAdmission: dependencies.admit,
    placement: createPlacement({ ...placementDependencies, availability, dataCentre, engines }),
    availability,
    owners,
    organisationKey,
    attempt: countOtherDataCentres(attempt, dataCentre, metrics),
    paths,
    relay: createRelayOf(dependencies),
    usage,
    partWait: createPartWait({ holders, clock, share: policy.partWaitShare }),
    quarantine,
    grants: createLimitGrants({ limits: view.replicaLimits, metrics, clock }),
    registryAge: view.registryAge,
    registryFreshness: view.registryFreshness,
    weightsExclusion: createWeightsExclusion({ availability, weightsChecks, clock }),
    retryShare: dependencies.retryShare,
    load: createLoadAdmission({ sheddingThreshold, fair, metrics, clock, random }),
    metrics,
    clock,
    random,
  };
  return {
    forwarder: createForwarder({
      ...loopDependencies,
      configuration,
      shutdown: dependencies.shutdown,
      usage,
      promptSizes: createPromptSizes(),
    }),
    paths,
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
