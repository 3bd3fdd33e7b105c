/**
 * Distributes the configuration between peers. Few routers of a data centre read the log, and the first of them
 * sends changes to all others. A router that still lacks something after a while asks a peer that has it, in this
 * data centre or another. The history ignores older versions, so a peer can't make a router go back.
 */
import { create } from "@bufbuild/protobuf";
import {
  ConfigurationStandingSchema,
  QuestionSchema,
} from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerMessage, Router } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerNetwork } from "../../protocol/peers/PeerNetwork.ts";
import type { ConfigurationHistory } from "../../state/configurationHistory.ts";
import { createLogger } from "../../state/log.ts";
import { decodeConfigurationState, encodeConfigurationState } from "../../state/peerConfiguration.ts";
import type { Peer, PeerDirectory } from "../../state/peerDirectory.ts";
import type { Clock } from "../clock.ts";
import type { LogReadMode } from "../configurationFollower.ts";
import { configurationSpread } from "./constants.ts";
import type { Membership } from "./Membership.ts";
import { PeerMessageExtension } from "./PeerMessageExtension.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

export interface ConfigurationExchangeDependencies {
  readonly history: ConfigurationHistory;
  readonly membership: Membership;
  readonly directory: PeerDirectory;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** A number from 0 to below 1: routers that lag at the same time ask different peers. */
  readonly random: () => number;
  /** Sends a heartbeat to all peers of the data centre at once. */
  readonly push: () => void;
  /** When this router last read the log, milliseconds on the monotonic clock. */
  readonly logReadAt: () => number | undefined;
}

const writeLog = createLogger("configuration");

const askTimeout = 2_000;

/** The key by which a data centre's readers of the log are chosen. */
const readerSelectionKey = "configuration";

const isReachable = (peer: Peer): boolean => peer.state === "live" || peer.state === "suspect";

const isSame = (left: number | undefined, right: number | undefined): boolean => left === right;

/** Adds the configuration to messages between peers, and asks peers that have a newer one. */
export class ConfigurationExchange extends PeerMessageExtension {
  private readonly dependencies: ConfigurationExchangeDependencies;
  /** The last version that this router sent to its peers, or that no peer lacked. */
  private lastSpreadVersion: number | undefined;
  /** When the version in force changed, milliseconds on the monotonic clock. */
  private versionChangedAt: number;
  private lastVersion: number | undefined;
  /** When a peer was first found ahead, or last asked; `undefined` while no peer is ahead. */
  private behindSince: number | undefined;
  private isAsking = false;
  private source = "none";
  /** The version in force came from another data centre, so that peers of this one may lack it. */
  private isFromOtherDataCentre = false;

  constructor(dependencies: ConfigurationExchangeDependencies) {
    super();
    this.dependencies = dependencies;
    this.versionChangedAt = dependencies.clock.monotonic();
  }

  /** Whether this router follows the log, reads it occasionally, or relies on its peers (see {@link LogReadMode}). */
  readonly logReadMode = (): LogReadMode => {
    const { membership } = this.dependencies;
    const readers = membership.representatives(readerSelectionKey, configurationSpread.readers);
    if (readers.includes(membership.self().name)) return "follow";
    const newest = Math.max(
      ...this.localPeers().map((peer) => peer.configuration?.logReadAt ?? Number.NEGATIVE_INFINITY),
    );
    return this.dependencies.clock.monotonic() - newest > configurationSpread.learnerTimeout
      ? "look"
      : "learn";
  };

  /** To be called when a read of the log has put a new version in force. */
  readonly noteLogVersion = (): void => {
    this.noteVersion("log");
    this.isFromOtherDataCentre = false;
    if (this.isFirstReader()) this.dependencies.push();
  };

  /** Applies a state that came from a peer. @returns False if it is based on a version that is not in force here. */
  readonly adopt = (json: string, from: string): boolean => {
    const state = decodeConfigurationState(json);
    if (state === undefined) return true;
    const adoption = this.dependencies.history.adopt(state);
    if (adoption.kind === "adopted") {
      this.noteVersion(from);
      this.noteOrigin(from);
      writeLog("adopted", { version: adoption.version, from });
    }
    if (adoption.kind === "refused") writeLog("refused", { from, reason: adoption.reason.kind });
    return adoption.kind !== "other_base";
  };

  /** For the operator's dump. */
  readonly dump = () => {
    const { history, clock, logReadAt } = this.dependencies;
    const readAt = logReadAt();
    return {
      version: history.current()?.version ?? null,
      digest: history.current()?.digest ?? null,
      knownTo: history.readTo(),
      certain: history.isCertain(),
      source: this.source,
      turn: this.logReadMode(),
      logReadMillisecondsAgo: readAt === undefined ? null : Math.round(clock.monotonic() - readAt),
    };
  };

  override readonly addToHeartbeat = (message: PeerMessage): void => {
    const now = this.dependencies.clock.monotonic();
    message.configuration = this.configurationStanding(now);
    this.addChanges(message, now);
    this.catchUp(now);
  };

  override readonly addToFirstMessage = (message: PeerMessage): void => {
    message.configuration = this.configurationStanding(this.dependencies.clock.monotonic());
  };

  override readonly addToRemoteMessage = (message: PeerMessage): void => {
    message.configuration = this.configurationStanding(this.dependencies.clock.monotonic());
  };

  override readonly receive = (sender: Router, message: PeerMessage): void => {
    const { directory, clock } = this.dependencies;
    const now = clock.monotonic();
    const { configuration, configurationState } = message;
    if (configuration !== undefined) {
      const { version, knownTo, logReadAge } = configuration;
      const logReadAt = logReadAge === undefined ? undefined : now - logReadAge;
      directory.noteConfiguration(sender.name, { version, knownTo, logReadAt });
    }
    if (configurationState !== "" && !this.adopt(configurationState, sender.name)) this.ask(sender.name);
    this.catchUp(now);
  };

  private version(): number | undefined {
    return this.dependencies.history.current()?.version;
  }

  private localPeers(): readonly Peer[] {
    const { directory, membership } = this.dependencies;
    const { dataCentre } = membership.self();
    return directory.all().filter((peer) => peer.dataCentre === dataCentre && isReachable(peer));
  }

  private isFirstReader(): boolean {
    const { membership } = this.dependencies;
    return membership.representatives(readerSelectionKey, 1)[0] === membership.self().name;
  }

  private noteVersion(source: string): void {
    this.source = source;
    if (isSame(this.version(), this.lastVersion)) return;
    this.lastVersion = this.version();
    this.versionChangedAt = this.dependencies.clock.monotonic();
  }

  private noteOrigin(from: string): void {
    const { directory, membership } = this.dependencies;
    const peer = directory.get(from);
    this.isFromOtherDataCentre = peer !== undefined && peer.dataCentre !== membership.self().dataCentre;
    if (this.isFromOtherDataCentre) this.dependencies.push();
  }

  private configurationStanding(now: number) {
    const { history, logReadAt } = this.dependencies;
    const version = this.version();
    const readAt = logReadAt();
    return create(ConfigurationStandingSchema, {
      ...(version === undefined ? {} : { version }),
      ...(readAt === undefined ? {} : { logReadAge: Math.max(0, Math.round(now - readAt)) }),
      knownTo: history.isCertain() ? history.readTo() : 0,
    });
  }

  /**
   * Adds changes to a heartbeat. The first reader of the log, or a router that got the version from another data
   * centre, does so at once; other readers only if some peer still lacks the changes later.
   */
  private addChanges(message: PeerMessage, now: number): void {
    const version = this.version();
    if (version === undefined || isSame(version, this.lastSpreadVersion)) return;
    const lacking = this.localPeers().filter((peer) => (peer.configuration?.version ?? -1) < version);
    if (!this.isFirstReader() && !this.isFromOtherDataCentre) {
      if (now - this.versionChangedAt < configurationSpread.retryDelay) return;
      if (lacking.length > 0 && !this.isLogReader()) return;
    }
    if (lacking.length > 0) message.configurationState = this.encodeFor(lacking);
    this.lastSpreadVersion = version;
  }

  private isLogReader(): boolean {
    const { membership } = this.dependencies;
    const readers = membership.representatives(readerSelectionKey, configurationSpread.readers);
    return readers.includes(membership.self().name);
  }

  /** Encodes the changes since the version that most peers have; the others have to ask. */
  private encodeFor(peers: readonly Peer[]): string {
    const counts = new Map<number, number>();
    for (const { configuration } of peers) {
      const version = configuration?.version;
      if (version !== undefined) counts.set(version, (counts.get(version) ?? 0) + 1);
    }
    const [mostCommon] = [...counts].sort(([, left], [, right]) => right - left);
    return mostCommon === undefined
      ? ""
      : encodeConfigurationState(this.dependencies.history.changesSince(mostCommon[0]));
  }

  /** Peers of all data centres with a newer version, or, once this router's state is stale, a later log offset. */
  private peersAhead(now: number): readonly Peer[] {
    const version = this.version() ?? -1;
    const knownTo = this.dependencies.history.readTo();
    const readAt = this.dependencies.logReadAt() ?? Number.NEGATIVE_INFINITY;
    const isPositionStale =
      now - Math.max(readAt, this.versionChangedAt) > configurationSpread.logPositionTimeout;
    return this.dependencies.directory.all().filter((peer) => {
      if (!isReachable(peer) || peer.configuration === undefined) return false;
      if ((peer.configuration.version ?? -1) > version) return true;
      return isPositionStale && peer.configuration.knownTo > knownTo;
    });
  }

  /** Asks a random peer that is ahead: at once without a configuration, otherwise after some time. */
  private catchUp(now: number): void {
    const ahead = this.peersAhead(now);
    if (ahead.length === 0) {
      this.behindSince = undefined;
      return;
    }
    this.behindSince ??= now;
    const wait = this.version() === undefined ? 0 : configurationSpread.retryDelay;
    if (now - this.behindSince < wait) return;
    this.behindSince = now;
    const chosen = ahead[Math.floor(this.dependencies.random() * ahead.length)];
    if (chosen !== undefined) this.ask(chosen.name);
  }

  private ask(name: string): void {
    const peer = this.dependencies.directory.get(name);
    if (peer === undefined || this.isAsking) return;
    this.isAsking = true;
    const ask = (): Promise<void> =>
      this.askPeer(peer).finally(() => {
        this.isAsking = false;
      });
    runInBackground("askForConfiguration", ask, name);
  }

  private async askPeer({ name, url }: Peer): Promise<void> {
    const base = this.version();
    const value = base === undefined ? {} : { base };
    const question = create(QuestionSchema, { body: { case: "readConfiguration", value } });
    try {
      const { body } = await this.dependencies.network.ask(url, question, AbortSignal.timeout(askTimeout));
      if (body.case === "configuration") this.adopt(body.value.json, name);
    } catch {
      writeLog("peer_did_not_answer", { peer: name });
    }
  }
}
