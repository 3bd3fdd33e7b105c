/**
 * The live membership by heartbeats. One task for each peer keeps a stream to it; one timer sends heartbeats and
 * detects peers whose heartbeats have failed to arrive for too long.
 */
import { create } from "@bufbuild/protobuf";
import { randomBytes } from "node:crypto";
import { peerError } from "../../protocol/peers/errors.ts";
import { AnswerSchema } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type {
  Answer,
  Join,
  PeerMessage,
  Question,
  Router,
} from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerHandler, PeerNetwork } from "../../protocol/peers/PeerNetwork.ts";
import type { ListedVm } from "../../protocol/types.ts";
import { metricNames } from "../../state/constants.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Peer, PeerDirectory, PeerIdentity } from "../../state/peerDirectory.ts";
import type { Clock } from "../clock.ts";
import { createHeartbeatSender } from "./heartbeatSender.ts";
import type { LiveMembers } from "./liveMembers.ts";
import { createLiveMembers } from "./liveMembers.ts";
import type { Member, MembershipListener } from "./Membership.ts";
import { Membership } from "./Membership.ts";
import type { PeerMessageExtension } from "./PeerMessageExtension.ts";
import { createPeerLinks } from "./peerLinks.ts";
import { createProcessPauseGuard } from "./processPauseGuard.ts";
import { createSuspicions } from "./suspicions.ts";

export interface PeerMembershipDependencies {
  readonly name: string;
  readonly dataCentre: string;
  /** The first incarnation. Milliseconds since 1970 are unique: the same VM's process does not start twice in one. */
  readonly incarnation: number;
  readonly network: PeerNetwork;
  readonly directory: PeerDirectory;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** A number from 0 to below 1, for the jitter of retries. */
  readonly random: () => number;
  /** Answers the questions that are not about joining. */
  readonly answer: (question: Question) => Answer;
}

/** How the daemon drives the membership; the other modules only see {@link Membership}. */
export interface MembershipControls {
  /** Handles questions and messages that the peer server receives. */
  readonly handler: PeerHandler;
  /** Adds a kind of data to the messages; to be called before `start`. */
  readonly addExtension: (extension: PeerMessageExtension) => void;
  /** Starts heartbeats. @param url - Where this router's peer server listens. */
  readonly start: (url: string) => void;
  /** Updates the peers from a complete VM list. */
  readonly applyVms: (vms: readonly ListedVm[]) => void;
  /** Sends pending updates at once instead of with the next heartbeat. */
  readonly push: () => void;
  /**
   * Announces that this router accepts no more work: to the peers of its data centre at once, to others with the next
   * message to them.
   */
  readonly leave: () => void;
  /** For the operator's dump. */
  readonly dump: () => unknown;
}

/** A membership with its controls; disposal stops heartbeats and closes the streams. */
export interface PeerMembership extends MembershipControls, AsyncDisposable {
  readonly membership: Membership;
}

type RouterFields = Omit<Router, "$typeName">;

const writeLog = createLogger("membership");

/** Length of a session's id, bytes: the random id of a stream, from which its sealing key is derived. */
const sessionLength = 16;

const peerView = (peer: Peer, now: number, hasStream: boolean) => ({
  name: peer.name,
  dataCentre: peer.dataCentre,
  state: peer.state,
  incarnation: peer.incarnation,
  lastHeardMillisecondsAgo: peer.lastMessageAt === 0 ? null : Math.round(now - peer.lastMessageAt),
  configurationVersion: peer.configuration?.version ?? null,
  stream: hasStream,
});

const identityOf = ({ name, dataCentre, incarnation, peerUrl }: Router): PeerIdentity => ({
  name,
  dataCentre,
  incarnation,
  url: peerUrl,
});

/** @param incarnationToExceed - The joining router's incarnation must be above this; `undefined` if it is accepted. */
const answerJoin = (
  self: RouterFields,
  incarnation: number,
  incarnationToExceed: number | undefined,
): Answer => {
  const accepted = incarnationToExceed === undefined;
  const value = {
    accepted,
    knownIncarnation: incarnationToExceed ?? incarnation,
    router: self,
    session: accepted ? randomBytes(sessionLength) : new Uint8Array(),
  };
  return create(AnswerSchema, { body: { case: "joined", value } });
};

/** Exposes the live members as a `Membership`. */
class HeartbeatMembership extends Membership {
  private readonly getSelf: () => Member;
  private readonly members: LiveMembers;

  constructor(getSelf: () => Member, members: LiveMembers) {
    super();
    this.getSelf = getSelf;
    this.members = members;
  }

  override self(): Member {
    return this.getSelf();
  }

  override liveMembers(): readonly Member[] {
    return this.members.current();
  }

  override isHome(key: string): boolean {
    return this.members.isHome(key);
  }

  override representatives(key: string, count: number): readonly string[] {
    return this.members.representatives(key, count);
  }

  override subscribe(listener: MembershipListener): () => void {
    return this.members.subscribe(listener);
  }
}

/** Creates a membership; nothing is sent before `start`. */
export const createPeerMembership = (dependencies: PeerMembershipDependencies): PeerMembership => {
  const { name, dataCentre, network, directory, clock, metrics } = dependencies;
  const extensions: PeerMessageExtension[] = [];
  let incarnation = dependencies.incarnation;
  let leaving = false;
  let url = "";
  let stopped = false;
  let cancelTick = (): void => undefined;

  const self = (): Member => ({ name, dataCentre, incarnation });
  const identity = (): RouterFields => ({ name, dataCentre, incarnation, peerUrl: url });
  const guard = createProcessPauseGuard(clock.monotonic(), directory.resetTimeouts);
  const members = createLiveMembers({ directory, self, isLeaving: () => leaving });

  const sender = createHeartbeatSender({
    self,
    isLeaving: () => leaving,
    countLive: () => members.current().length,
    extensions,
    links: () => links,
  });

  /** Rises above the incarnation that a peer knows, if that is newer or the peer took this one for dead. */
  const raiseIncarnation = (known: number): void => {
    if (known < incarnation) return;
    incarnation = known + 1;
    writeLog("incarnation_raised", { incarnation });
    for (const extension of extensions) extension.onNewIncarnation();
    members.refresh();
  };

  const links = createPeerLinks({
    network,
    directory,
    clock,
    random: dependencies.random,
    dataCentre,
    identity,
    firstMessage: sender.firstMessage,
    raiseIncarnation,
    isRepresentative: (other) => members.representatives(`representative/${other}`, 1)[0] === name,
  });

  const tick = (): void => {
    if (stopped) return;
    cancelTick = clock.after(sender.interval(), tick);
    const now = clock.monotonic();
    guard.detectPause(now);
    guard.noteTick(now, sender.interval());
    directory.updateStates(now);
    suspicions.askAll();
    links.reconcile();
    sender.sendToLocalPeers();
    sender.sendToOtherDataCentres(now);
  };

  const suspicions = createSuspicions({
    name,
    directory,
    clock,
    liveNames: members.names,
    newMessage: sender.newMessage,
    sendTo: sender.sendTo,
    push: sender.push,
  });

  const receive = (from: Router, message: PeerMessage): boolean => {
    const now = clock.monotonic();
    guard.detectPause(now);
    if (!guard.isTrusted(from)) return false;
    const { nextWithin, leaving: isLeaving, sightings } = message;
    if (!directory.noteMessage(from.name, message.incarnation, nextWithin, isLeaving, now)) return false;
    for (const { name: sightedName, incarnation: sightedIncarnation, age } of sightings) {
      directory.noteSighting(sightedName, sightedIncarnation, now - age, now);
    }
    if (message.suspicions.length > 0) suspicions.answer(from.name, message.suspicions);
    for (const extension of extensions) extension.receive(from, message);
    return true;
  };

  const admit = ({ router }: Join): Answer => {
    if (router === undefined || router.name === "" || router.name === name) {
      throw peerError("A joining peer must have a name, and not the name of this router.", "refused");
    }
    const incarnationToExceed = directory.admit(identityOf(router), clock.monotonic());
    if (incarnationToExceed === undefined) guard.trust(router);
    links.retryNow(router.name);
    return answerJoin(identity(), router.incarnation, incarnationToExceed);
  };

  const unsubscribe = directory.subscribe(({ peer, from }) => {
    writeLog("peer", { peer: peer.name, state: peer.state, from, incarnation: peer.incarnation });
    metrics.count(metricNames.peerChanges, 1, { state: peer.state });
    members.refresh();
    if (peer.state === "suspect") suspicions.ask(peer);
  });

  const handler: PeerHandler = {
    answer: (question) =>
      question.body.case === "join" ? admit(question.body.value) : dependencies.answer(question),
    receive,
    streamEnded: (from) => {
      if (guard.isTrusted(from)) directory.markBroken(from.name, clock.monotonic());
    },
  };

  const viewOf = (peer: Peer) => peerView(peer, clock.monotonic(), links.linkTo(peer.name) !== undefined);
  const dump = () => ({
    self: { ...self(), leaving },
    livePeers: members.names(),
    heartbeatInterval: sender.interval(),
    peers: directory.all().map(viewOf),
  });

  return {
    membership: new HeartbeatMembership(self, members),
    handler,
    push: sender.push,
    addExtension: (extension) => extensions.push(extension),
    start: (listeningUrl) => {
      url = listeningUrl;
      tick();
    },
    applyVms: (vms) => {
      directory.applyVms(vms, clock.monotonic());
      members.refresh();
      if (url !== "") links.reconcile();
    },
    leave: () => {
      leaving = true;
      members.refresh();
      sender.push();
    },
    dump,
    [Symbol.asyncDispose]: async () => {
      stopped = true;
      sender.stop();
      cancelTick();
      unsubscribe();
      await links[Symbol.asyncDispose]();
    },
  };
};
