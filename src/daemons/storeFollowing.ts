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
  delegatedOperatorInterval,
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
import { createRegistryRecovery, endOf } from "../coordination/storeEpochs/registryRecovery.ts";
import type { RecordHandOver } from "../coordination/storeReading/recordHandOver.ts";
import { createRecordHandOver } from "../coordination/storeReading/recordHandOver.ts";
import { startStoreReading } from "../coordination/storeReading/storeReading.ts";
import type { DatagramLink } from "../protocol/forwarding/DatagramLink.ts";
import type { ForwardingPlatform } from "../protocol/forwarding/ForwardingPlatform.ts";
import { isSmallOperatorRecord, isSmallReplicaRecord } from "../protocol/forwarding/recordMessage.ts";
import type { FeedPage, OperatorRecord, ReplicaEntry } from "../protocol/forwarding/types.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";
import type { ReplicaTable } from "../state/forwarding/replicaTable.ts";
import { runInBackground } from "../state/backgroundTasks.ts";

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
    "countServing" | "isFirstStoreReader" | "isLarge" | "isStoreReader" | "live" | "otherStoreReaders"
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
  readonly registryFeed: Pick<FeedFollower, "check" | "isFailing">;
  /** A router whose own last read of the operator's records is older takes no duties, milliseconds. */
  readonly maxReadAge: () => number;
  /** Reads because a peer knows newer records. */
  readonly requestRead: () => void;
  /** Reads because a peer has observed a newer epoch of the store. */
  readonly readEpoch: () => void;
}

/** A long poll that is open when the recovery window ends confirms nothing yet, so the records are read again then. */
const scheduleRecoveryChecks = (
  { platform, recovery, clock }: StoreFollowingDependencies,
  delegatesReads: () => boolean,
  operatorFeed: Pick<FeedFollower, "check">,
): AsyncDisposable => {
  let cancelCheck: () => void = () => undefined;
  platform.epochs.subscribe(() => {
    cancelCheck();
    if (delegatesReads()) return;
    cancelCheck = clock.after(recovery.remaining() + timerSlack, () =>
      runInBackground("readOperatorRecords", operatorFeed.check),
    );
  });
  return {
    [Symbol.asyncDispose]: () => {
      cancelCheck();
      return Promise.resolve();
    },
  };
};

/** How often this router reads the store: seldom if others read it for this router. */
const createReadSchedule = ({ bounds, peers }: Pick<StoreFollowingDependencies, "bounds" | "peers">) => {
  const smallFleetLongPoll = (): number => bounds.keyRevocation * configurationLongPollShare;
  const delegatesReads = (): boolean => peers.isLarge() && !peers.isStoreReader();
  return {
    smallFleetLongPoll,
    delegatesReads,
    /** Readers notify the others of changes, so that these need no open long poll. */
    operatorLongPoll: (): number => {
      if (delegatesReads()) return 0;
      return peers.isLarge() ? largeFleetLongPoll : smallFleetLongPoll();
    },
    operatorReadInterval: (): number => (delegatesReads() ? delegatedOperatorInterval : 0),
    registryReadInterval: (): number => {
      if (!peers.isLarge()) return bounds.drain * registryReadIntervalShare;
      return peers.isFirstStoreReader()
        ? bounds.drain * readerRegistryIntervalShare
        : delegatedRegistryInterval;
    },
    retryFactor: (): number => (delegatesReads() ? delegatedRetryFactor : 1),
    /** Routers that delegate reads are notified of changes by the readers, so they can wait and spread the load. */
    rereadDelay: (): number =>
      delegatesReads()
        ? Math.random() * Math.min(longestRereadDelay, peers.countServing() * rereadSpreadPerRouter)
        : 0,
  };
};

/** Starts to follow the store. */
export const followStore = (dependencies: StoreFollowingDependencies): StoreFollowing => {
  const { platform, clock, bounds, configuration, replicas, peers } = dependencies;
  const resources = createResourceStack();
  let registryConfirmedAt = Number.NEGATIVE_INFINITY;
  const schedule = createReadSchedule(dependencies);

  // A router in a large fleet that knows it can't reach the store takes no duties.
  const maxReadAge = (): number => {
    if (!peers.isLarge()) return schedule.smallFleetLongPoll() * maxReadAgeFactor;
    return storeReading.reachesStore() ? largeFleetMaxReadAge : 0;
  };

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

  const applyOperator = (page: FeedPage<OperatorRecord>): void => {
    configuration.apply(page);
    recovery.noteStored(page);
    page.records.forEach(operatorHandOver.keep);
    dependencies.onConfiguration();
  };

  const operatorFeed = resources.use(
    followFeed({
      name: "operator",
      feed: platform.operator,
      epochs: platform.epochs,
      clock,
      longPollTimeout: schedule.operatorLongPoll,
      retryDelayFactor: schedule.retryFactor,
      readInterval: schedule.operatorReadInterval,
      rereadDelay: schedule.rereadDelay,
      replace: (page) => {
        configuration.apply(page);
        recovery.noteNewest(page);
        operatorHandOver.restart(page.next);
      },
      apply: applyOperator,
      confirm: configuration.confirm,
    }),
  );

  const operatorHandOver: RecordHandOver<OperatorRecord> = createRecordHandOver({
    position: operatorFeed.position,
    isSmall: isSmallOperatorRecord,
    apply: applyOperator,
  });

  const registryAge = (): number => clock.monotonic() - registryConfirmedAt;

  const registry = createRegistryRecovery(replicas, clock, (record) => registryHandOver.keep(record));

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
      retryDelayFactor: schedule.retryFactor,
      readInterval: schedule.registryReadInterval,
      rereadDelay: () => schedule.rereadDelay() * registryRereadFactor,
      replace: (page) => {
        registry.replace(page);
        registryHandOver.restart(endOf(page));
      },
      apply: registry.apply,
      confirm: confirmRegistry,
    }),
  );

  const registryHandOver: RecordHandOver<ReplicaEntry> = createRecordHandOver({
    position: registryFeed.position,
    isSmall: isSmallReplicaRecord,
    apply: registry.apply,
  });

  const storeReading = resources.use(
    startStoreReading({
      link: dependencies.link,
      clock,
      bounds,
      isEnabled: peers.isLarge,
      isReader: peers.isStoreReader,
      isFirstReader: peers.isFirstStoreReader,
      readers: peers.otherStoreReaders,
      readAge: configuration.readAge,
      operator: {
        feed: operatorFeed,
        handOver: operatorHandOver,
        lastChangePosition: operatorHandOver.known,
        age: configuration.age,
        // The proof is another router's, so it does not count as a read of this one.
        confirm: configuration.prove,
      },
      replicas: {
        feed: registryFeed,
        handOver: registryHandOver,
        lastChangePosition: registry.lastChangePosition,
        age: registryAge,
        confirm: confirmRegistry,
      },
      onUnresolved: recovery.readCopies,
      random: Math.random,
    }),
  );

  resources.use(scheduleRecoveryChecks(dependencies, schedule.delegatesReads, operatorFeed));

  let epochReadAt = Number.NEGATIVE_INFINITY;

  const readEpoch = (): void => {
    if (clock.monotonic() - epochReadAt < epochReadInterval) return;
    epochReadAt = clock.monotonic();
    runInBackground("readOperatorRecords", operatorFeed.check);
  };

  return {
    knowsReplicas: () => Number.isFinite(registryConfirmedAt),
    registryAge,
    registryFeed,
    maxReadAge,
    requestRead: () => {
      // After a return from an older copy the copies may be the only place of a record.
      if (!peers.isLarge() || dependencies.recovery.remaining() > 0) recovery.readCopies();
      if (peers.isLarge()) storeReading.requestRead();
      else operatorFeed.readNow();
    },
    readEpoch,
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
