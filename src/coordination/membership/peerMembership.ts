/**
 * The live membership by heartbeats: one task for each peer holds a stream to it, and one timer sends every
 * peer what there is to say and judges who has been silent for too long.
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
import { createStallGuard } from "./processPauseGuard.ts";
import { createSuspicions } from "./suspicions.ts";

/** What the membership works with. */
export interface PeerMembershipDependencies {
  readonly name: string;
  readonly dataCentre: string;
  /** The first incarnation; milliseconds since 1970 do, since a VM's name is not started twice in one. */
  readonly incarnation: number;
  readonly network: PeerNetwork;
  readonly directory: PeerDirectory;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** A number from 0 to below 1, so that retries of many routers spread. */
  readonly random: () => number;
  /** Answers the questions that are not about membership. */
  readonly answer: (question: Question) => Answer;
}

/** What the wiring of the membership needs besides {@link Membership}. */
export interface MembershipControls {
  /** What the peer server hands on. */
  readonly handler: PeerHandler;
  /** Adds a matter to the messages; before `start`. */
  readonly addExtension: (feature: PeerMessageExtension) => void;
  /** @param url - Where this router's peer server listens. */
  readonly start: (url: string) => void;
  readonly applyVms: (vms: readonly ListedVm[]) => void;
  /** Sends what there is to say at once instead of with the next heartbeat. */
  readonly push: () => void;
  /** Tells all peers that this router takes no more work. */
  readonly leave: () => void;
  /** For a state dump. */
  readonly dump: () => unknown;
}

/** A membership with its controls. */
export interface PeerMembership extends MembershipControls, AsyncDisposable {
  readonly membership: Membership;
}

type RouterFields = Omit<Router, "$typeName">;

const writeLog = createLogger("membership");

/** Bytes of a session's name. */
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

/** @param passed - The incarnation that the joining router has to pass; nothing if it is let in. */
const answerJoin = (self: RouterFields, incarnation: number, passed: number | undefined): Answer => {
  const accepted = passed === undefined;
  const value = {
    accepted,
    knownIncarnation: passed ?? incarnation,
    router: self,
    session: accepted ? randomBytes(sessionLength) : new Uint8Array(),
  };
  return create(AnswerSchema, { body: { case: "joined", value } });
};

/** Membership as heartbeats tell it. */
class HeartbeatMembership extends Membership {
  private readonly me: () => Member;
  private readonly members: LiveMembers;

  constructor(me: () => Member, members: LiveMembers) {
    super();
    this.me = me;
    this.members = members;
  }

  override self(): Member {
    return this.me();
  }

  override liveMembers(): readonly Member[] {
    return this.members.current();
  }

  override isHome(key: string): boolean {
    return this.members.isHome(key);
  }

  override representatives(matter: string, count: number): readonly string[] {
    return this.members.representatives(matter, count);
  }

  override subscribe(listener: MembershipListener): () => void {
    return this.members.subscribe(listener);
  }
}

/** Starts nothing yet: see `start`. */
export const createPeerMembership = (parts: PeerMembershipDependencies): PeerMembership => {
  const { name, dataCentre, network, directory, clock, metrics } = parts;
  const features: PeerMessageExtension[] = [];
  let incarnation = parts.incarnation;
  let leaving = false;
  let url = "";
  let stopped = false;
  let callOff = (): void => undefined;

  const self = (): Member => ({ name, dataCentre, incarnation });
  const identity = (): RouterFields => ({ name, dataCentre, incarnation, peerUrl: url });
  const guard = createStallGuard(clock.monotonic(), directory.resetTimeouts);
  const members = createLiveMembers({ directory, self, isLeaving: () => leaving });

  const sender = createHeartbeatSender({
    self,
    isLeaving: () => leaving,
    countLive: () => members.current().length,
    features,
    links: () => links,
  });

  /** Somebody knows a newer incarnation of this router, or took this one for dead. */
  const rise = (known: number): void => {
    if (known < incarnation) return;
    incarnation = known + 1;
    writeLog("incarnation_raised", { incarnation });
    for (const feature of features) feature.onNewIncarnation();
    members.refresh();
  };

  const links = createPeerLinks({
    network,
    directory,
    clock,
    random: parts.random,
    dataCentre,
    identity,
    introduction: sender.introduction,
    rise,
    isRepresentative: (other) => members.representatives(`representative/${other}`, 1)[0] === name,
  });

  const tick = (): void => {
    if (stopped) return;
    const now = clock.monotonic();
    guard.check(now);
    guard.noteTick(now, sender.interval());
    directory.updateStates(now);
    suspicions.askAll();
    links.reconcile();
    sender.sendNear();
    sender.sendFar(now);
    callOff = clock.after(sender.interval(), tick);
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
    guard.check(now);
    if (!guard.isTrusted(from)) return false;
    const { nextWithin, leaving: fromLeaves, sightings } = message;
    if (!directory.noteMessage(from.name, message.incarnation, nextWithin, fromLeaves, now)) return false;
    for (const { name: seen, incarnation: seenIncarnation, age } of sightings) {
      directory.noteSighting(seen, seenIncarnation, now - age, now);
    }
    if (message.suspicions.length > 0) suspicions.answer(from.name, message.suspicions);
    for (const feature of features) feature.receive(from, message);
    return true;
  };

  const admit = ({ router }: Join): Answer => {
    if (router === undefined || router.name === "" || router.name === name) {
      throw peerError("A peer must have a name of its own.", "refused");
    }
    const passed = directory.admit(identityOf(router), clock.monotonic());
    if (passed === undefined) guard.trust(router);
    links.wake(router.name);
    return answerJoin(identity(), router.incarnation, passed);
  };

  const unsubscribe = directory.subscribe(({ peer, from }) => {
    writeLog("peer", { peer: peer.name, state: peer.state, from, incarnation: peer.incarnation });
    metrics.count(metricNames.peerChanges, 1, { state: peer.state });
    members.refresh();
    if (peer.state === "suspect") suspicions.ask(peer);
  });

  const handler: PeerHandler = {
    answer: (question) =>
      question.body.case === "join" ? admit(question.body.value) : parts.answer(question),
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
    addExtension: (feature) => features.push(feature),
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
      callOff();
      unsubscribe();
      await links[Symbol.asyncDispose]();
    },
  };
};
