/** A simulated router: the production decisions with their own state, and peers over delayed datagrams. */
import { createRequestAdmission } from "../../src/coordination/admission/requestAdmission.ts";
import { createCacheHolders } from "../../src/coordination/forwarding/cacheHolders.ts";
import { followCacheStores } from "../../src/coordination/forwarding/cacheStoreFollower.ts";
import { createConfigurationState } from "../../src/coordination/forwarding/configurationState.ts";
import type { ConfigurationState } from "../../src/coordination/forwarding/configurationState.ts";
import { cachedMemoryShare } from "../../src/coordination/forwarding/constants.ts";
import { createDecisions } from "../../src/coordination/forwarding/decisions.ts";
import { createSettledShare } from "../../src/coordination/forwarding/reserveShare.ts";
import { createRetryShare } from "../../src/coordination/forwarding/retryShare.ts";
import type { Forwarder } from "../../src/coordination/forwarding/forwarder.ts";
import { createReplicaSpeeds } from "../../src/coordination/estimates/replicaSpeeds.ts";
import type { LoadFeatures } from "../../src/coordination/forwarding/loadFeatures.ts";
import type { LoadPolicy } from "../../src/coordination/forwarding/loadPolicy.ts";
import { createRouterPeers } from "../../src/coordination/forwarding/routerPeers.ts";
import {
  countComputedTokens,
  createReplicaOwners,
} from "../../src/coordination/replicaOwners/replicaOwners.ts";
import { createKeyCoordination } from "../../src/coordination/coordinators/keyCoordination.ts";
import { createReplicaLimits } from "../../src/coordination/replicaLimits/replicaLimits.ts";
import { noEpochs } from "../../src/coordination/storeEpochs/recoveryWindow.ts";
import { createShutdown } from "../../src/coordination/forwarding/shutdown.ts";
import { noQuarantine } from "../../src/coordination/crashes/quarantine.ts";
import { noUsageLimits } from "../../src/coordination/usageLimits/usageLimits.ts";
import type { ForwardingBounds } from "../../src/coordination/forwarding/types.ts";
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import type { DatagramLink } from "../../src/protocol/forwarding/DatagramLink.ts";
import type {
  ForwardingConfiguration,
  OperatorRecord,
  RouterEntry,
} from "../../src/protocol/forwarding/types.ts";
import { MemoryMetrics } from "../../src/state/MemoryMetrics.ts";
import { alwaysFresh } from "../../src/coordination/storeReading/registryFreshness.ts";
import type { ReplicaTable } from "../../src/state/forwarding/replicaTable.ts";
import { createReplicaTable } from "../../src/state/forwarding/replicaTable.ts";
import { organisationsOf } from "./demand.ts";
import type { Experiment } from "./experiment.ts";
import type { LabFleet } from "./fleet.ts";
import { labNames } from "./fleet.ts";
import { LabReplicaClient } from "./LabReplicaClient.ts";
import { StorePosition } from "../../src/protocol/StorePosition.ts";
import { defaultEpoch } from "../../src/protocol/storeEpoch.ts";

/** A router of a run. */
export interface LabRouter {
  readonly forwarder: Forwarder;
  readonly replicas: ReplicaTable;
  readonly configuration: ConfigurationState;
  /** Applies a record as if an operator had published it. */
  readonly publish: (record: OperatorRecord) => void;
  readonly self: RouterEntry;
  /** Makes routers that start later known to it. */
  readonly addPeers: (routers: readonly RouterEntry[]) => void;
  /** Closes the connection of each caller whose request is in progress. */
  readonly connections: Set<() => void>;
}

export interface LabRouterDependencies {
  readonly experiment: Experiment;
  readonly policy: LoadPolicy;
  readonly features: LoadFeatures;
  readonly clock: ManualClock;
  readonly fleet: LabFleet;
  readonly self: RouterEntry;
  /** All routers that run, `self` included. */
  readonly allRouters: readonly RouterEntry[];
  readonly link: DatagramLink;
  readonly random: () => number;
}

/** Settings of the routers as deployments have them; the lab's faults affect few of them. Times are milliseconds. */
const bounds: ForwardingBounds = {
  keyRevocation: 5_000,
  drain: 2_000,
  lease: 3_000,
  weights: 8_000,
  shutdownGrace: 8_000,
  retryRatio: 0.2,
  retryWindow: 10_000,
  retryReserve: 58,
  limitWindow: 8_000,
  limitOvershoot: 0.1,
  limitReserve: 0,
};

/** Time between two confirmations that the configuration is current, milliseconds. */
const confirmationInterval = 500;

/** @returns The API key of an organisation. */
export const keyOf = (organisation: string): string => `key-${organisation}`;

const createOrganisations = (experiment: Experiment): ForwardingConfiguration["organisations"] => {
  const organisations = organisationsOf(experiment).map(({ name, priority }) => ({
    name,
    keys: [keyOf(name)],
    priority,
    isIsolated: false,
    limit: undefined,
  }));
  return organisations.length === 0 ? undefined : organisations;
};

/** @returns The routers' configuration for an experiment. */
export const labConfiguration = (experiment: Experiment): ForwardingConfiguration => ({
  version: 1,
  routes: experiment.kinds.map((kind) => ({
    name: kind.name,
    host: "lab.example",
    pathPrefix: `/${kind.name}/`,
    kind: kind.isResumable ? "resumableEventStream" : "eventStream",
    timeout: kind.deadline,
    latencyObjective: kind.objective,
    priority: kind.priority,
    targets: [{ service: labNames.service, weight: 1 }],
    maximumAttempts: kind.maximumAttempts,
    isAnonymous: experiment.organisations.length === 0,
  })),
  services: [
    {
      name: labNames.service,
      maximumConnections: undefined,
      engine: { ...experiment.engines, models: [labNames.model] },
      cacheStore: undefined,
    },
    {
      name: "store",
      maximumConnections: undefined,
      engine: undefined,
      cacheStore: experiment.store && {
        address: labNames.store,
        dataCentre: "centre-0",
        linkMegabits: experiment.store.linkMegabits,
      },
    },
  ],
  organisations: createOrganisations(experiment),
  limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeout: 3_000, idleTimeout: 15_000 },
});

/** Creates and starts a router. */
export const createLabRouter = (dependencies: LabRouterDependencies): LabRouter => {
  const { experiment, policy, features, clock, fleet, self, allRouters, link, random } = dependencies;
  const client = new LabReplicaClient(fleet, clock, self.name);
  const replicas = createReplicaTable();
  for (const { entry } of fleet.replicas) replicas.put(entry);
  const configuration = createConfigurationState(clock);
  const startPosition = new StorePosition(defaultEpoch, 0);
  const publish = (record: OperatorRecord): void =>
    configuration.apply({
      records: [{ position: startPosition, key: record.kind, value: record }],
      next: startPosition.advancedBy(1),
      isComplete: true,
    });
  publish({ kind: "configuration", configuration: labConfiguration(experiment) });

  const confirmConfiguration = (): void => {
    configuration.confirm(clock.monotonic());
    clock.after(confirmationInterval, confirmConfiguration);
  };
  confirmConfiguration();

  const holders = createCacheHolders({
    clock,
    computedTokens: (id) => countComputedTokens(replicas.get(id), owners, peers),
    memoryTokens: (id) =>
      replicas.get(id) === undefined
        ? Number.POSITIVE_INFINITY
        : experiment.engines.memoryTokens * cachedMemoryShare,
  });
  const { minSpeedSpread: minSpread } = features;
  const speeds =
    minSpread === undefined
      ? undefined
      : createReplicaSpeeds({
          replicas,
          clock,
          minSpread,
          isMeasured: (replica) => !owners.isEnabled() || owners.isOwnerOf(replica),
          isOwnerOf: (replica) => owners.isOwnerOf(replica),
        });
  const peers = createRouterPeers({
    self,
    link,
    clock,
    replicas,
    configuration,
    holders,
    maxReadAge: () => Number.POSITIVE_INFINITY,
    onNewerConfiguration: () => undefined,
    ...noEpochs,
    quarantine: noQuarantine,
    speeds,
  });
  peers.add(allRouters);
  const owners = createReplicaOwners({
    self,
    link,
    clock,
    replicas,
    holders,
    peers,
    cacheStores: () => configuration.table()?.cacheStores ?? [],
    reportsUsedParts: features.batchMemory,
    speeds,
  });
  const coordination = createKeyCoordination({
    self,
    link,
    clock,
    others: peers.serving,
    nearestDataCentre: (subject) => replicas.get(subject)?.entry.dataCentre,
    random,
  });
  const cacheStore = followCacheStores({
    configuredStores: () => configuration.table()?.cacheStores ?? [],
    client,
    holders,
    clock,
    intervalFactor: () => 1,
  });
  const { forwarder } = createDecisions({
    dataCentre: self.dataCentre,
    client,
    view: {
      configuration,
      replicas,
      holders,
      peers,
      owners,
      cacheStore,
      speeds,
      limits: noUsageLimits,
      registryAge: () => 0,
      registryFreshness: alwaysFresh,
      replicaLimits: createReplicaLimits({
        coordination,
        replicas,
        clock,
        announce: peers.announceLimit,
        random,
      }),
      quarantine: noQuarantine,
    },
    retryShare: createRetryShare({
      clock,
      bounds,
      // The routers of an experiment have run for long.
      reserveShare: createSettledShare(peers.countServing),
    }),
    admit: createRequestAdmission(configuration, bounds, clock),
    shutdown: createShutdown(clock, bounds),
    bounds,
    policy,
    features,
    clock,
    metrics: new MemoryMetrics(),
    random,
  });
  const connections: LabRouter["connections"] = new Set();
  return { forwarder, replicas, configuration, publish, self, addPeers: peers.add, connections };
};
