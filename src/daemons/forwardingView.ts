/**
 * A forwarding router's view of the system (configuration, replicas, caches, limits, quarantine) and the background
 * tasks that keep it current from the store, the registry and the peers.
 */
import type { Clock } from "../coordination/clock.ts";
import type { CacheHolders } from "../coordination/forwarding/cacheHolders.ts";
import { createCacheHolders } from "../coordination/forwarding/cacheHolders.ts";
import type { ConfigurationState } from "../coordination/forwarding/configurationState.ts";
import type { CacheStoreFollower } from "../coordination/forwarding/cacheStoreFollower.ts";
import { followCacheStores } from "../coordination/forwarding/cacheStoreFollower.ts";
import { createConfigurationState } from "../coordination/forwarding/configurationState.ts";
import {
  cachedMemoryShare,
  cacheStorePollersAtShortestInterval,
} from "../coordination/forwarding/constants.ts";
import type { LoadFeatures } from "../coordination/forwarding/loadFeatures.ts";
import type { ReplicaSpeeds, ReplicaSpeedsDependencies } from "../coordination/estimates/replicaSpeeds.ts";
import { createReplicaSpeeds, publishSpeeds } from "../coordination/estimates/replicaSpeeds.ts";
import type { ReserveShare } from "../coordination/forwarding/reserveShare.ts";
import type { RouterPeers } from "../coordination/forwarding/routerPeers.ts";
import { createRouterPeers } from "../coordination/forwarding/routerPeers.ts";
import type { Quarantine } from "../coordination/crashes/quarantine.ts";
import { createQuarantine } from "../coordination/crashes/quarantine.ts";
import type { ForwardingBounds } from "../coordination/forwarding/types.ts";
import type { ReplicaOwners } from "../coordination/replicaOwners/replicaOwners.ts";
import type { UsageLimits } from "../coordination/usageLimits/usageLimits.ts";
import { createKeyCoordination } from "../coordination/coordinators/keyCoordination.ts";
import type { ReplicaLimits } from "../coordination/replicaLimits/replicaLimits.ts";
import type { RecoveryWindow } from "../coordination/storeEpochs/recoveryWindow.ts";
import { createRecoveryWindow } from "../coordination/storeEpochs/recoveryWindow.ts";
import { startRegistration } from "../coordination/storeEpochs/routerRegistration.ts";
import { createReplicaLimits } from "../coordination/replicaLimits/replicaLimits.ts";
import { createUsageLimits } from "../coordination/usageLimits/usageLimits.ts";
import { countComputedTokens, createReplicaOwners } from "../coordination/replicaOwners/replicaOwners.ts";
import type { DatagramLink } from "../protocol/forwarding/DatagramLink.ts";
import type { ForwardingPlatform } from "../protocol/forwarding/ForwardingPlatform.ts";
import type { RouterEntry } from "../protocol/forwarding/types.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";
import type { Metrics } from "../state/Metrics.ts";
import type { ReplicaTable } from "../state/forwarding/replicaTable.ts";
import { createReplicaTable } from "../state/forwarding/replicaTable.ts";
import type { RegistryFreshness } from "../coordination/storeReading/registryFreshness.ts";
import { createRegistryFreshness } from "../coordination/storeReading/registryFreshness.ts";
import type { StoreFollowing } from "./storeFollowing.ts";
import { followStore } from "./storeFollowing.ts";

export interface ForwardingViewDependencies {
  readonly self: RouterEntry;
  readonly platform: ForwardingPlatform;
  readonly link: DatagramLink;
  readonly clock: Clock;
  readonly bounds: ForwardingBounds;
  readonly features: Pick<LoadFeatures, "minSpeedSpread" | "batchMemory">;
  readonly metrics: Metrics;
  /** Called when a configuration was received; its limits may differ. */
  readonly onConfiguration: () => void;
  readonly reserveShare: Pick<ReserveShare, "noteListing" | "wasShort">;
  /** Whether this router has no path to any replica. */
  readonly isPartitioned: () => boolean;
}

/** Kept current until it is disposed of. */
export interface ForwardingView extends AsyncDisposable {
  readonly configuration: ConfigurationState;
  readonly replicas: ReplicaTable;
  readonly holders: CacheHolders;
  readonly peers: RouterPeers;
  readonly owners: ReplicaOwners;
  /** `undefined` if learned speeds are not used. */
  readonly speeds: ReplicaSpeeds | undefined;
  readonly cacheStore: CacheStoreFollower;
  readonly limits: UsageLimits;
  readonly replicaLimits: ReplicaLimits;
  readonly quarantine: Quarantine;
  /** Whether the registry of replicas has been read. */
  readonly knowsReplicas: () => boolean;
  /** @returns Milliseconds since the time up to which all records of the registry are known. */
  readonly registryAge: () => number;
  readonly registryFreshness: RegistryFreshness;
}

const registerRouter = (
  { self, platform, clock, bounds, reserveShare }: ForwardingViewDependencies,
  peers: RouterPeers,
  recovery: RecoveryWindow,
  onListedAlone: (isAlone: boolean) => void,
): AsyncDisposable =>
  startRegistration({
    self,
    feed: platform.routers,
    epochs: platform.epochs,
    clock,
    retryInterval: () => bounds.drain,
    countRouters: peers.countServing,
    isBootstrapUrgent: reserveShare.wasShort,
    random: Math.random,
    onListed: (entries, origin) => {
      peers.add(entries);
      const isAlone = entries.every(({ name }) => name === self.name);
      onListedAlone(isAlone);
      reserveShare.noteListing(origin);
      if (isAlone) recovery.noteContact();
    },
  });

/** @param findOwners - Called only after the view has been started. */
const createSpeeds = (
  { features, clock, metrics }: ForwardingViewDependencies,
  replicas: ReplicaTable,
  findOwners: () => ReplicaOwners,
): ReplicaSpeeds | undefined => {
  if (features.minSpeedSpread === undefined) return undefined;
  const speedsDependencies: ReplicaSpeedsDependencies = {
    replicas,
    clock,
    minSpread: features.minSpeedSpread,
    isMeasured: (replica) => !findOwners().isEnabled() || findOwners().isOwnerOf(replica),
    isOwnerOf: (replica) => findOwners().isOwnerOf(replica),
  };
  const speeds = createReplicaSpeeds(speedsDependencies);
  publishSpeeds(speeds, speedsDependencies, metrics);
  return speeds;
};

/** Keeps when the store last listed this router alone. */
const createLoneListing = (clock: Clock) => {
  let at: number | undefined;
  return {
    note: (isAlone: boolean): void => {
      at = isAlone ? clock.monotonic() : undefined;
    },
    at: () => at,
  };
};

const createFreshness = (
  { clock, bounds, metrics }: ForwardingViewDependencies,
  { registryAge, registryFeed }: StoreFollowing,
): RegistryFreshness =>
  createRegistryFreshness({ clock, bounds, age: registryAge, feed: registryFeed, metrics });

/** Starts to follow the store and to exchange messages with peers. */
export const startForwardingView = (dependencies: ForwardingViewDependencies): ForwardingView => {
  const { self, platform, clock, bounds } = dependencies;
  const resources = createResourceStack();
  const { epochs } = platform;
  const recovery = createRecoveryWindow(epochs, clock, bounds);
  const configuration = createConfigurationState(clock, recovery);
  const replicas = createReplicaTable();
  const holders = createCacheHolders({
    clock,
    computedTokens: (id) => countComputedTokens(replicas.get(id), owners, peers),
    memoryTokens: (id) => {
      const service = replicas.get(id)?.entry.service;
      const engine = service === undefined ? undefined : configuration.table()?.findService(service)?.engine;
      return engine === undefined ? Number.POSITIVE_INFINITY : engine.memoryTokens * cachedMemoryShare;
    },
  });
  const speeds = createSpeeds(dependencies, replicas, () => owners);
  const peers = resources.use(
    createRouterPeers({
      self,
      link: dependencies.link,
      clock,
      replicas,
      configuration,
      holders,
      maxReadAge: () => storeFollowing.maxReadAge(),
      onNewerConfiguration: () => storeFollowing.requestRead(),
      onNewerEpoch: () => storeFollowing.readEpoch(),
      epochs,
      recovery,
      quarantine: {
        digest: () => quarantine.digest(),
        notePeerDigest: (digest) => quarantine.notePeerDigest(digest),
      },
      speeds,
      isPartitioned: dependencies.isPartitioned,
    }),
  );

  const cacheStore = resources.use(
    followCacheStores({
      configuredStores: () => configuration.table()?.cacheStores ?? [],
      client: platform.replicaClient,
      holders,
      clock,
      intervalFactor: () => Math.max(1, peers.countServing() / cacheStorePollersAtShortestInterval),
    }),
  );

  const owners = resources.use(
    createReplicaOwners({
      self,
      link: dependencies.link,
      clock,
      replicas,
      holders,
      peers,
      cacheStores: () => configuration.table()?.cacheStores ?? [],
      reportsUsedParts: dependencies.features.batchMemory,
      isPartitioned: dependencies.isPartitioned,
      speeds,
    }),
  );

  const loneListing = createLoneListing(clock);
  const keyCoordination = resources.use(
    createKeyCoordination({
      self,
      link: dependencies.link,
      clock,
      others: peers.serving,
      nearestDataCentre: (key) => replicas.get(key)?.entry.dataCentre,
      listedAloneAt: loneListing.at,
      random: Math.random,
    }),
  );

  const limits = createUsageLimits({
    coordination: keyCoordination,
    clock,
    bounds,
    limitOf: (organisation) => configuration.table()?.limits.get(organisation),
    limitedOrganisations: () => configuration.table()?.limits.keys() ?? [],
    random: Math.random,
  });

  const replicaLimits = createReplicaLimits({
    coordination: keyCoordination,
    replicas,
    clock,
    announce: peers.announceLimit,
    random: Math.random,
  });

  const quarantine: Quarantine = resources.use(
    createQuarantine({
      link: dependencies.link,
      clock,
      feed: platform.quarantine,
      epochs,
      others: peers.serving,
      random: Math.random,
    }),
  );

  const storeFollowing: StoreFollowing = resources.use(
    followStore({
      platform,
      self: self.name,
      recovery,
      link: dependencies.link,
      clock,
      bounds,
      configuration,
      replicas,
      peers,
      onConfiguration: dependencies.onConfiguration,
    }),
  );

  resources.use(registerRouter(dependencies, peers, recovery, loneListing.note));

  return {
    configuration,
    replicas,
    holders,
    peers,
    owners,
    speeds,
    cacheStore,
    limits,
    replicaLimits,
    quarantine,
    knowsReplicas: storeFollowing.knowsReplicas,
    registryAge: storeFollowing.registryAge,
    registryFreshness: createFreshness(dependencies, storeFollowing),
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
