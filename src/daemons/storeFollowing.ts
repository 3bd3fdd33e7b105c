/**
 * Follows the operator's records and the registry of replicas in the platform's store. In a large fleet a few routers
 * of each data centre read the store for the others.
 */
import type { Clock } from "../coordination/clock.ts";
import type { ConfigurationState } from "../coordination/forwarding/configurationState.ts";
import {
  configurationLongPollShare,
  maxReadAgeFactor,
  registryReadIntervalShare,
} from "../coordination/forwarding/constants.ts";
import type { FeedFollower } from "../coordination/forwarding/feedFollower.ts";
import { followFeed } from "../coordination/forwarding/feedFollower.ts";
import type { RouterPeers } from "../coordination/forwarding/routerPeers.ts";
import type { ForwardingBounds } from "../coordination/forwarding/types.ts";
import {
  largeFleetMaxReadAge,
  largeFleetLongPoll,
  delegatedRegistryInterval,
  readerRegistryIntervalShare,
  delegatedRetryFactor,
} from "../coordination/storeReading/constants.ts";
import {
  epochReadInterval,
  longestRereadDelay,
  registryRereadFactor,
  rereadSpreadPerRouter,
  timerSlack,
} from "../coordination/storeEpochs/constants.ts";
import { createOperatorRecovery } from "../coordination/storeEpochs/operatorRecovery.ts";
import type { RecoveryWindow } from "../coordination/storeEpochs/recoveryWindow.ts";
import { createRegistryRecovery } from "../coordination/storeEpochs/registryRecovery.ts";
import { startStoreReading } from "../coordination/storeReading/storeReading.ts";
import type { DatagramLink } from "../protocol/forwarding/DatagramLink.ts";
import type { ForwardingPlatform } from "../protocol/forwarding/ForwardingPlatform.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";
import type { ReplicaTable } from "../state/forwarding/replicaTable.ts";

export interface StoreFollowingDependencies {
  readonly platform: Pick<ForwardingPlatform, "epochs" | "operator" | "operatorCopies" | "replicas">;
  /** The name of this router. */
  readonly self: string;
  readonly recovery: Pick<RecoveryWindow, "remaining">;
  readonly link: DatagramLink;
  readonly clock: Clock;
  readonly bounds: ForwardingBounds;
  readonly configuration: ConfigurationState;
  readonly replicas: ReplicaTable;
  readonly peers: Pick<
    RouterPeers,
    "countServing" | "isLarge" | "isStoreReader" | "live" | "otherStoreReaders"
  >;
  /**
   * Called after each read of the operator's changes or of the copies of its records, also if nothing has changed; the
   * limits of the configuration may differ.
   */
  readonly onConfiguration: () => void;
}

/** Follows the store until it is disposed of. */
export interface StoreFollowing extends AsyncDisposable {
  /** Whether the registry of replicas has been read. */
  readonly knowsReplicas: () => boolean;
  /** @returns Milliseconds since the time up to which all records of the registry are known. */
  readonly registryAge: () => number;
  /** A router whose own last read of the operator's records is older takes no duties, milliseconds. */
  readonly maxReadAge: () => number;
  /** Reads because a peer knows newer records. */
  readonly requestRead: () => void;
  /** Reads because a peer has observed a newer epoch of the store. */
  readonly readEpoch: () => void;
}

/** A long poll sent before the recovery window ends confirms nothing, so the records are read again after it. */
const scheduleRecoveryChecks = (
  { platform, recovery, clock }: StoreFollowingDependencies,
  delegatesReads: () => boolean,
  operatorFeed: Pick<FeedFollower, "check">,
): AsyncDisposable => {
  let cancelCheck: () => void = () => undefined;
  platform.epochs.subscribe(() => {
    cancelCheck();
    if (delegatesReads()) return;
    cancelCheck = clock.after(recovery.remaining() + timerSlack, () => void operatorFeed.check());
  });
  return {
    [Symbol.asyncDispose]: () => {
      cancelCheck();
      return Promise.resolve();
    },
  };
};

/** Starts to follow the store. */
export const followStore = (dependencies: StoreFollowingDependencies): StoreFollowing => {
  const { platform, clock, bounds, configuration, replicas, peers } = dependencies;
  const resources = createResourceStack();
  let registryConfirmedAt = Number.NEGATIVE_INFINITY;

  const smallFleetLongPoll = (): number => bounds.keyRevocation * configurationLongPollShare;

  // A router in a large fleet that knows it can't reach the store takes no duties.
  const maxReadAge = (): number => {
    if (!peers.isLarge()) return smallFleetLongPoll() * maxReadAgeFactor;
    return storeReading.reachesStore() ? largeFleetMaxReadAge : 0;
  };

  const delegatesReads = (): boolean => peers.isLarge() && !peers.isStoreReader();

  const registryReadInterval = (): number => {
    if (delegatesReads()) return delegatedRegistryInterval;
    return bounds.drain * (peers.isLarge() ? readerRegistryIntervalShare : registryReadIntervalShare);
  };

  const retryFactor = (): number => (delegatesReads() ? delegatedRetryFactor : 1);

  // Routers that delegate reads are notified of changes by the readers, so they can wait and spread the load.
  const rereadDelay = (): number =>
    delegatesReads()
      ? Math.random() * Math.min(longestRereadDelay, peers.countServing() * rereadSpreadPerRouter)
      : 0;

  const recovery = resources.use(
    createOperatorRecovery({
      self: dependencies.self,
      copies: platform.operatorCopies,
      configuration,
      live: peers.live,
      clock,
      random: Math.random,
      onRecovered: dependencies.onConfiguration,
    }),
  );

  const operatorFeed = resources.use(
    followFeed({
      name: "operator",
      feed: platform.operator,
      epochs: platform.epochs,
      clock,
      longPollTimeout: () => (peers.isLarge() ? largeFleetLongPoll : smallFleetLongPoll()),
      retryDelayFactor: retryFactor,
      readInterval: () => 0,
      rereadDelay,
      replace: (page) => {
        configuration.apply(page);
        recovery.noteNewest(page);
      },
      apply: (page) => {
        configuration.apply(page);
        recovery.noteStored(page);
        dependencies.onConfiguration();
      },
      confirm: configuration.confirm,
    }),
  );

  const registryAge = (): number => clock.monotonic() - registryConfirmedAt;

  const registry = createRegistryRecovery(replicas, clock);

  /** Replicas that a restored store lacks are dropped also by another router's proof. */
  const confirmRegistry = (at: number): void => {
    registry.confirm(at);
    registryConfirmedAt = Math.max(registryConfirmedAt, at);
  };

  const registryFeed = resources.use(
    followFeed({
      name: "replicas",
      feed: platform.replicas,
      epochs: platform.epochs,
      clock,
      longPollTimeout: () => 0,
      retryDelayFactor: retryFactor,
      readInterval: registryReadInterval,
      rereadDelay: () => rereadDelay() * registryRereadFactor,
      replace: registry.replace,
      apply: registry.apply,
      confirm: confirmRegistry,
    }),
  );

  const storeReading = resources.use(
    startStoreReading({
      link: dependencies.link,
      clock,
      bounds,
      isEnabled: peers.isLarge,
      isReader: peers.isStoreReader,
      readers: peers.otherStoreReaders,
      readAge: configuration.readAge,
      operator: {
        feed: operatorFeed,
        lastChangePosition: operatorFeed.position,
        age: configuration.age,
        // The proof is another router's, so it does not count as a read of this one.
        confirm: configuration.prove,
      },
      replicas: {
        feed: registryFeed,
        lastChangePosition: registry.lastChangePosition,
        age: registryAge,
        confirm: confirmRegistry,
      },
      random: Math.random,
    }),
  );

  resources.use(scheduleRecoveryChecks(dependencies, delegatesReads, operatorFeed));

  let epochReadAt = Number.NEGATIVE_INFINITY;

  const readEpoch = (): void => {
    if (clock.monotonic() - epochReadAt < epochReadInterval) return;
    epochReadAt = clock.monotonic();
    void operatorFeed.check();
  };

  return {
    knowsReplicas: () => Number.isFinite(registryConfirmedAt),
    registryAge,
    maxReadAge,
    requestRead: () => {
      recovery.readCopies();
      if (peers.isLarge()) storeReading.requestRead();
      else operatorFeed.readNow();
    },
    readEpoch,
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
