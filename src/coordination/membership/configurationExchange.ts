/**
 * Spreads the configuration between peers: the router of the data centre that reads the log first in line sends
 * what changed to all; whoever still lacks something after a while asks a peer that has it, in this data centre
 * or another. What comes from a peer never takes a router back: the history decides.
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
import { spreading } from "./constants.ts";
import type { Membership } from "./Membership.ts";
import { PeerMessageExtension } from "./PeerMessageExtension.ts";

/** What the exchange works with. */
export interface ConfigurationExchangeDependencies {
  readonly history: ConfigurationHistory;
  readonly membership: Membership;
  readonly directory: PeerDirectory;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** A number from 0 to below 1, so that many that lag ask different peers. */
  readonly random: () => number;
  readonly push: () => void;
  /** When this router last read the log, milliseconds on the monotonic clock. */
  readonly logReadAt: () => number | undefined;
}

const writeLog = createLogger("configuration");

const askTimeout = 2_000;

/** The matter for which a data centre's readers of the log are chosen. */
const readersMatter = "configuration";

const isHeard = (peer: Peer): boolean => peer.state === "live" || peer.state === "suspect";

const isSame = (left: number | undefined, right: number | undefined): boolean => left === right;

/** The exchange, one matter of the messages between peers. */
export class ConfigurationExchange extends PeerMessageExtension {
  private readonly parts: ConfigurationExchangeDependencies;
  /** The version that this router last sent to its peers, or saw another send. */
  private spreadVersion: number | undefined;
  /** When this router took the version in force. */
  private versionSince: number;
  private seenVersion: number | undefined;
  /** Since when some peer has had something newer. */
  private behindSince: number | undefined;
  private asking = false;
  private source = "none";
  /** The version in force came from another data centre: nobody else here may have it. */
  private cameFromAbroad = false;

  constructor(parts: ConfigurationExchangeDependencies) {
    super();
    this.parts = parts;
    this.versionSince = parts.clock.monotonic();
  }

  /** Whose turn it is to read the log. */
  readonly logReadMode = (): LogReadMode => {
    const { membership } = this.parts;
    const readers = membership.representatives(readersMatter, spreading.readers);
    if (readers.includes(membership.self().name)) return "follow";
    const newest = Math.max(
      ...this.peersHere().map((peer) => peer.configuration?.logReadAt ?? Number.NEGATIVE_INFINITY),
    );
    return this.parts.clock.monotonic() - newest > spreading.learnerPatience ? "look" : "learn";
  };

  /** The log gave a new version. */
  readonly noteLogVersion = (): void => {
    this.noteVersion("log");
    this.cameFromAbroad = false;
    if (this.isFirstReader()) this.parts.push();
  };

  /** Takes a state that came from a peer. @returns False if it builds on a version that is not in force here. */
  readonly adopt = (json: string, from: string): boolean => {
    const state = decodeConfigurationState(json);
    if (state === undefined) return true;
    const adoption = this.parts.history.adopt(state);
    if (adoption.kind === "adopted") {
      this.noteVersion(from);
      this.noteOrigin(from);
      writeLog("adopted", { version: adoption.version, from });
    }
    if (adoption.kind === "refused") writeLog("refused", { from, reason: adoption.reason.kind });
    return adoption.kind !== "other_base";
  };

  /** For a state dump. */
  readonly dump = () => {
    const { history, clock, logReadAt } = this.parts;
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
    const now = this.parts.clock.monotonic();
    message.configuration = this.standing(now);
    this.spread(message, now);
    this.catchUp(now);
  };

  override readonly addToFirstMessage = (message: PeerMessage): void => {
    message.configuration = this.standing(this.parts.clock.monotonic());
  };

  override readonly addToRemoteMessage = (message: PeerMessage): void => {
    message.configuration = this.standing(this.parts.clock.monotonic());
  };

  override readonly receive = (sender: Router, message: PeerMessage): void => {
    const { directory, clock } = this.parts;
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
    return this.parts.history.current()?.version;
  }

  private peersHere(): readonly Peer[] {
    const { directory, membership } = this.parts;
    const { dataCentre } = membership.self();
    return directory.all().filter((peer) => peer.dataCentre === dataCentre && isHeard(peer));
  }

  private isFirstReader(): boolean {
    const { membership } = this.parts;
    return membership.representatives(readersMatter, 1)[0] === membership.self().name;
  }

  private noteVersion(source: string): void {
    this.source = source;
    if (isSame(this.version(), this.seenVersion)) return;
    this.seenVersion = this.version();
    this.versionSince = this.parts.clock.monotonic();
  }

  private noteOrigin(from: string): void {
    const { directory, membership } = this.parts;
    const peer = directory.get(from);
    this.cameFromAbroad = peer !== undefined && peer.dataCentre !== membership.self().dataCentre;
    if (this.cameFromAbroad) this.parts.push();
  }

  private standing(now: number) {
    const { history, logReadAt } = this.parts;
    const version = this.version();
    const readAt = logReadAt();
    return create(ConfigurationStandingSchema, {
      ...(version === undefined ? {} : { version }),
      ...(readAt === undefined ? {} : { logReadAge: Math.max(0, Math.round(now - readAt)) }),
      knownTo: history.isCertain() ? history.readTo() : 0,
    });
  }

  /** Sends what changed: the first reader at once, another router only if somebody lacks it after a while. */
  private spread(message: PeerMessage, now: number): void {
    const version = this.version();
    if (version === undefined || isSame(version, this.spreadVersion)) return;
    const lacking = this.peersHere().filter((peer) => (peer.configuration?.version ?? -1) < version);
    if (!this.isFirstReader() && !this.cameFromAbroad) {
      if (now - this.versionSince < spreading.repeatAfter) return;
      if (lacking.length > 0 && !this.isSecondReader()) return;
    }
    if (lacking.length > 0) message.configurationState = this.encodeFor(lacking);
    this.spreadVersion = version;
  }

  private isSecondReader(): boolean {
    const { membership } = this.parts;
    const readers = membership.representatives(readersMatter, spreading.readers);
    return readers.includes(membership.self().name);
  }

  /** What changed since the version that most peers have; the others ask. */
  private encodeFor(peers: readonly Peer[]): string {
    const counts = new Map<number, number>();
    for (const { configuration } of peers) {
      const version = configuration?.version;
      if (version !== undefined) counts.set(version, (counts.get(version) ?? 0) + 1);
    }
    const [commonest] = [...counts].sort(([, left], [, right]) => right - left);
    return commonest === undefined
      ? ""
      : encodeConfigurationState(this.parts.history.changesSince(commonest[0]));
  }

  /** Peers, here or elsewhere, that have something newer. */
  private peersAhead(now: number): readonly Peer[] {
    const version = this.version() ?? -1;
    const knownTo = this.parts.history.readTo();
    const readAt = this.parts.logReadAt() ?? Number.NEGATIVE_INFINITY;
    const old = now - Math.max(readAt, this.versionSince) > spreading.standingPatience;
    return this.parts.directory.all().filter((peer) => {
      if (!isHeard(peer) || peer.configuration === undefined) return false;
      if ((peer.configuration.version ?? -1) > version) return true;
      return old && peer.configuration.knownTo > knownTo;
    });
  }

  /** Asks a peer that is ahead, once it has been so for a while. */
  private catchUp(now: number): void {
    const ahead = this.peersAhead(now);
    if (ahead.length === 0) {
      this.behindSince = undefined;
      return;
    }
    this.behindSince ??= now;
    const wait = this.version() === undefined ? 0 : spreading.repeatAfter;
    if (now - this.behindSince < wait) return;
    this.behindSince = now;
    const chosen = ahead[Math.floor(this.parts.random() * ahead.length)];
    if (chosen !== undefined) this.ask(chosen.name);
  }

  private ask(name: string): void {
    const peer = this.parts.directory.get(name);
    if (peer === undefined || this.asking) return;
    this.asking = true;
    void this.askPeer(peer).finally(() => {
      this.asking = false;
    });
  }

  private async askPeer({ name, url }: Peer): Promise<void> {
    const base = this.version();
    const value = base === undefined ? {} : { base };
    const question = create(QuestionSchema, { body: { case: "readConfiguration", value } });
    try {
      const { body } = await this.parts.network.ask(url, question, AbortSignal.timeout(askTimeout));
      if (body.case === "configuration") this.adopt(body.value.json, name);
    } catch {
      writeLog("peer_did_not_answer", { peer: name });
    }
  }
}
