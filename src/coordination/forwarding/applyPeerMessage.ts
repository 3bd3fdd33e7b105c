/** What a router takes from the messages of its peers, and what it forgets of those that are silent. */
import type { ReplicaKey, RouterMessage, AnnouncedWork } from "../../protocol/forwarding/peerMessage.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaWork } from "../../state/forwarding/replicaState.ts";
import type { EpochSource } from "../../protocol/storeEpoch.ts";
import type { Clock } from "../clock.ts";
import type { QuarantineDigests } from "../crashes/quarantine.ts";
import type { RecoveryWindow } from "../storeEpochs/recoveryWindow.ts";
import type { CacheHolders } from "./cacheHolders.ts";
import type { ConfigurationState } from "./configurationState.ts";
import type { Peer, PeerTable } from "./peerTable.ts";
import { applyUpdates } from "./routerUpdates.ts";

/** What messages change. */
export interface PeerMessageDependencies {
  readonly clock: Clock;
  readonly replicas: ReplicaTable;
  readonly configuration: ConfigurationState;
  readonly holders: Pick<CacheHolders, "noteKey">;
  /** A peer knows a newer configuration, or newer weights wanted. */
  readonly onNewerConfiguration: () => void;
  /** A peer knows a newer epoch of the store. */
  readonly onNewerEpoch: () => void;
  readonly epochs: Pick<EpochSource, "current">;
  readonly recovery: Pick<RecoveryWindow, "extend" | "noteContact" | "remaining">;
  readonly quarantine: QuarantineDigests;
}

/** A router that is not heard has no work that counts. */
const noWork = new Map<ReplicaKey, ReplicaWork>();

const byReplica = (work: readonly AnnouncedWork[]): ReadonlyMap<ReplicaKey, ReplicaWork> =>
  new Map(work.map(({ replica, requests, promptTokens }) => [replica, { requests, promptTokens }]));

/** Forgets what routers that are silent had told of their work, and in time the routers. */
export const expirePeers = (peers: PeerTable, replicas: ReplicaTable): void => {
  for (const peer of peers.all()) {
    if (!peers.isLive(peer)) {
      peers.noteUnreachable(peer);
      replicas.noteWork(peer.name, noWork);
    }
    if (!peers.mayServe(peer)) peers.remove(peer);
  }
};

/**
 * Takes what a peer says of its configuration: its proof is as old as it says, counted from no earlier than when the
 * peer got the message that it echoes.
 */
const takeConfiguration = (
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

/** Takes what a peer knows of the store; an epoch of a peer starts a read and replaces none. */
const takeStoreState = (
  { storeEpoch, recovering }: RouterMessage,
  { epochs, recovery, onNewerEpoch }: Pick<PeerMessageDependencies, "epochs" | "recovery" | "onNewerEpoch">,
): void => {
  if (storeEpoch > epochs.current()) onNewerEpoch();
  if (storeEpoch === epochs.current()) recovery.extend(recovering);
  recovery.noteContact();
};

/** Takes everything that a peer's message tells. @param echoedSentAt - When it got the message that it echoes. */
export const applyPeerMessage = (
  message: RouterMessage,
  { name, isShuttingDown: ends }: Peer,
  echoedSentAt: number | undefined,
  takers: PeerMessageDependencies,
): void => {
  const { replicas, configuration } = takers;
  replicas.noteWork(name, ends ? noWork : byReplica(message.work));
  applyUpdates(message, { ...takers, cacheStores: () => configuration.table()?.cacheStores ?? [] });
  takeConfiguration(message, echoedSentAt, takers);
  takeStoreState(message, takers);
  takers.quarantine.notePeerDigest(message.held);
};

/** @returns When the message was sent that a peer echoes; nothing if it was not sent within a span by this process. */
export const echoedSentAt = (
  { echo }: RouterMessage,
  stampOrigin: number,
  span: { readonly from: number; readonly until: number },
): number | undefined => {
  const at = echo === undefined ? Number.NaN : echo - stampOrigin;
  return at >= span.from && at <= span.until ? at : undefined;
};
