/** Applies messages of peers to this router's state, and drops what was announced by peers that are unreachable. */
import type { ReplicaKey, RouterMessage, AnnouncedWork } from "../../protocol/forwarding/peerMessage.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaWork } from "../../state/forwarding/replicaState.ts";
import type { EpochSource } from "../../protocol/storeEpoch.ts";
import type { Clock } from "../clock.ts";
import type { QuarantineDigests } from "../crashes/quarantine.ts";
import type { ReplicaSpeeds } from "../estimates/replicaSpeeds.ts";
import type { RecoveryWindow } from "../storeEpochs/recoveryWindow.ts";
import type { CacheHolders } from "./cacheHolders.ts";
import type { ConfigurationState } from "./configurationState.ts";
import type { Peer, PeerTable } from "./peerTable.ts";
import { applyUpdates } from "./routerUpdates.ts";

export interface PeerMessageDependencies {
  readonly clock: Clock;
  readonly replicas: ReplicaTable;
  readonly configuration: ConfigurationState;
  readonly holders: Pick<CacheHolders, "notePart">;
  /** Called when a peer knows of a newer configuration, or of newer wanted weights. */
  readonly onNewerConfiguration: () => void;
  /** Called when a peer knows of a newer epoch of the store. */
  readonly onNewerEpoch: () => void;
  readonly epochs: Pick<EpochSource, "current">;
  readonly recovery: Pick<RecoveryWindow, "extend" | "noteContact" | "remaining">;
  readonly quarantine: QuarantineDigests;
  /** Where speeds are learned: measures the prefill rates of replicas. */
  readonly speeds?: Pick<ReplicaSpeeds, "noteAnnounced"> | undefined;
}

/** Replaces the work of a peer that is not live or shuts down. */
const noWork = new Map<ReplicaKey, ReplicaWork>();

const byReplica = (work: readonly AnnouncedWork[]): ReadonlyMap<ReplicaKey, ReplicaWork> =>
  new Map(
    work.map(({ replica, requests, promptTokens, organisations, reservedTokens }) => [
      replica,
      { requests, promptTokens, organisations, reservedTokens },
    ]),
  );

/** Drops the announced work of peers that are not live, and expires peers that may no longer serve. */
export const expirePeers = (peers: PeerTable, replicas: ReplicaTable): void => {
  for (const peer of peers.all()) {
    if (!peers.isLive(peer)) {
      peers.noteUnreachable(peer);
      replicas.noteWork(peer.name, noWork);
    }
    if (!peers.mayServe(peer)) peers.expire(peer);
  }
};

/**
 * Applies a peer's proof that its configuration is current. The age of the proof is subtracted from the time when this
 * router sent the message that the peer echoes: the peer composed its message after that, so that the proof can only be
 * taken for older than it is.
 */
const applyConfiguration = (
  message: RouterMessage,
  echoedSentAt: number | undefined,
  { configuration, onNewerConfiguration, epochs }: PeerMessageDependencies,
): void => {
  if (message.configuration === undefined) return;
  const { version, age } = message.configuration;
  configuration.notePeerVersion(version);
  const known = configuration.table()?.configuration.version ?? -1;
  if (version > known) onNewerConfiguration();
  const isOfKnownEpoch = message.storeEpoch <= epochs.current();
  if (echoedSentAt !== undefined && isOfKnownEpoch) configuration.confirmVersion(version, echoedSentAt - age);
};

/** Applies what a peer knows of the store. A newer epoch only triggers a read: it is adopted from the store alone. */
const applyStoreState = (
  { storeEpoch, recoveryRemaining }: RouterMessage,
  { epochs, recovery, onNewerEpoch }: Pick<PeerMessageDependencies, "epochs" | "recovery" | "onNewerEpoch">,
): void => {
  if (storeEpoch > epochs.current()) onNewerEpoch();
  if (storeEpoch === epochs.current()) recovery.extend(recoveryRemaining);
  recovery.noteContact();
};

/**
 * Applies a peer's message.
 *
 * @param echoedSentAt - When this router sent the message that the peer echoes; `undefined` if that is unknown.
 */
export const applyPeerMessage = (
  message: RouterMessage,
  { name, isShuttingDown }: Peer,
  echoedSentAt: number | undefined,
  dependencies: PeerMessageDependencies,
): void => {
  const { replicas, configuration } = dependencies;
  replicas.noteWork(name, isShuttingDown ? noWork : byReplica(message.work));
  dependencies.speeds?.noteAnnounced(name, message.incarnation, message.work);
  applyUpdates(message, { ...dependencies, cacheStores: () => configuration.table()?.cacheStores ?? [] });
  applyConfiguration(message, echoedSentAt, dependencies);
  applyStoreState(message, dependencies);
  dependencies.quarantine.notePeerDigest(message.quarantineDigest);
};

/**
 * @param stampOrigin - The value that this process adds to its timestamps.
 * @param span - When this process may have sent the echoed message.
 * @returns When the echoed message was sent, on this process's clock; `undefined` if it can't be from this process.
 */
export const echoedSentAt = (
  { echo }: RouterMessage,
  stampOrigin: number,
  span: { readonly from: number; readonly until: number },
): number | undefined => {
  const at = echo === undefined ? Number.NaN : echo - stampOrigin;
  return at >= span.from && at <= span.until ? at : undefined;
};
