/** Follows the operator's records and the registry of replicas in the platform's store. */
import type { Clock } from "../coordination/clock.ts";
import type { ConfigurationState } from "../coordination/forwarding/configurationState.ts";
import {
  configurationLongPollShare,
  maxReadAgeFactor,
  registryReadIntervalShare,
} from "../coordination/forwarding/constants.ts";
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

/** What following works with. */
export interface StoreFollowingParts {
  readonly platform: Pick<ForwardingPlatform, "epochs" | "operator" | "operatorCopies" | "replicas">;
  /** The name of this router. */
  readonly self: string;
  readonly recovery: Pick<RecoveryWindow, "remaining">;
  readonly link: DatagramLink;
  readonly clock: Clock;
  readonly bounds: ForwardingBounds;
  readonly configuration: ConfigurationState;
  readonly replicas: ReplicaTable;
  readonly peers: Pick<RouterPeers, "countServing" | "isLarge" | "isReader" | "live" | "readers">;
  /** A configuration came that may have other limits. */
  readonly onConfiguration: () => void;
}

/** Follows until it is disposed of. */
export interface StoreFollowing extends AsyncDisposable {
  /** Whether the registry has been read. */
  readonly knowsReplicas: () => boolean;
  /** A router whose last own read of the operator's records is older takes no duties, milliseconds. */
  readonly longestReadAge: () => number;
  /** There is something newer than what is known. */
  readonly readOn: () => void;
  /** There is a newer epoch of the store. */
  readonly readEpoch: () => void;
}

/** Starts to follow. */
export const followStore = (parts: StoreFollowingParts): StoreFollowing => {
  const { platform, clock, bounds, configuration, replicas, peers } = parts;
  const resources = createResourceStack();
  let registryProvenAt = Number.NEGATIVE_INFINITY;

  const proveRegistry = (at: number): void => {
    registryProvenAt = Math.max(registryProvenAt, at);
  };

  const shortHeldRead = (): number => bounds.keyRevocation * configurationLongPollShare;

  /** A router that knows that it doesn't reach the store takes no duties. */
  const longestReadAge = (): number => {
    if (!peers.isLarge()) return shortHeldRead() * maxReadAgeFactor;
    return reading.reachesStore() ? largeFleetMaxReadAge : 0;
  };

  const isReadFor = (): boolean => peers.isLarge() && !peers.isStoreReader();

  const registryPace = (): number => {
    if (isReadFor()) return delegatedRegistryInterval;
    return bounds.drain * (peers.isLarge() ? readerRegistryIntervalShare : registryReadIntervalShare);
  };

  const retryStretch = (): number => (isReadFor() ? delegatedRetryFactor : 1);

  /** Routers that others read for have these to tell them of changes. */
  const rereadDelay = (): number =>
    isReadFor()
      ? Math.random() * Math.min(longestRereadDelay, peers.countServing() * rereadSpreadPerRouter)
      : 0;

  const recovery = resources.use(
    createOperatorRecovery({
      self: parts.self,
      copies: platform.operatorCopies,
      configuration,
      live: peers.live,
      clock,
      random: Math.random,
      onRecovered: parts.onConfiguration,
    }),
  );

  const operatorFeed = resources.use(
    followFeed({
      name: "operator",
      feed: platform.operator,
      epochs: platform.epochs,
      clock,
      longPollTimeout: () => (peers.isLarge() ? largeFleetLongPoll : shortHeldRead()),
      retryDelayFactor: retryStretch,
      readInterval: () => 0,
      rereadDelay,
      replace: (page) => {
        configuration.apply(page);
        recovery.noteNewest(page);
      },
      apply: (page) => {
        configuration.apply(page);
        recovery.noteStored(page);
        parts.onConfiguration();
      },
      confirm: configuration.confirm,
    }),
  );

  const registry = createRegistryRecovery(replicas, clock);
  const registryFeed = resources.use(
    followFeed({
      name: "replicas",
      feed: platform.replicas,
      epochs: platform.epochs,
      clock,
      longPollTimeout: () => 0,
      retryDelayFactor: retryStretch,
      readInterval: registryPace,
      rereadDelay: () => rereadDelay() * registryRereadFactor,
      replace: registry.replace,
      apply: registry.apply,
      confirm: (at) => {
        registry.confirm(at);
        proveRegistry(at);
      },
    }),
  );

  const reading = resources.use(
    startStoreReading({
      link: parts.link,
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
        confirm: configuration.prove,
      },
      replicas: {
        feed: registryFeed,
        lastChangePosition: registry.lastChangePosition,
        age: () => clock.monotonic() - registryProvenAt,
        confirm: proveRegistry,
      },
      random: Math.random,
    }),
  );

  /** A read that was held back since before proves nothing yet. */
  let callOffCheck: () => void = () => undefined;
  platform.epochs.subscribe(() => {
    callOffCheck();
    if (isReadFor()) return;
    callOffCheck = clock.after(parts.recovery.remaining() + timerSlack, () => void operatorFeed.check());
  });
  resources.defer(() => {
    callOffCheck();
    return undefined;
  });

  let epochReadAt = Number.NEGATIVE_INFINITY;

  const readEpoch = (): void => {
    if (clock.monotonic() - epochReadAt < epochReadInterval) return;
    epochReadAt = clock.monotonic();
    void operatorFeed.check();
  };

  return {
    knowsReplicas: () => Number.isFinite(registryProvenAt),
    longestReadAge,
    readOn: () => {
      recovery.readCopies();
      if (peers.isLarge()) reading.requestRead();
      else operatorFeed.readNow();
    },
    readEpoch,
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
