/** Routers' memberships joined by a fake network whose connections a test cuts, under a clock that it moves. */
import { fromBinary } from "@bufbuild/protobuf";
import { ConfigurationExchange } from "../../src/coordination/membership/configurationExchange.ts";
import { peerTimeouts } from "../../src/coordination/membership/constants.ts";
import { LoadExchange } from "../../src/coordination/membership/loadExchange.ts";
import type { Membership } from "../../src/coordination/membership/Membership.ts";
import { createQuestionHandler } from "../../src/coordination/membership/questionHandler.ts";
import type { PeerMembership } from "../../src/coordination/membership/peerMembership.ts";
import { createPeerMembership } from "../../src/coordination/membership/peerMembership.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import { peerError } from "../../src/protocol/peers/errors.ts";
import { PeerMessageSchema } from "../../src/protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type {
  Answer,
  Question,
  Router,
} from "../../src/protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerHandler, PeerLink } from "../../src/protocol/peers/PeerNetwork.ts";
import { PeerNetwork } from "../../src/protocol/peers/PeerNetwork.ts";
import type { ListedVm } from "../../src/protocol/types.ts";
import { createConfigurationHistory } from "../../src/state/configurationHistory.ts";
import type { ConfigurationHistory } from "../../src/state/configurationHistory.ts";
import type { EngineDirectory } from "../../src/state/engineDirectory.ts";
import { createEngineDirectory } from "../../src/state/engineDirectory.ts";
import { MemoryMetrics } from "../../src/state/MemoryMetrics.ts";
import type { PeerDirectory } from "../../src/state/peerDirectory.ts";
import { createPeerDirectory } from "../../src/state/peerDirectory.ts";

/** Milliseconds of one step of the clock. */
const step = 25;

/** One router's membership. */
export interface PeerNode {
  readonly name: string;
  readonly membership: Membership;
  readonly controls: PeerMembership;
  readonly peers: PeerDirectory;
  readonly engines: EngineDirectory;
  readonly history: ConfigurationHistory;
  readonly exchange: ConfigurationExchange;
  /** Names of the live peers, itself among them. */
  readonly live: () => string;
  /** Says that the log has been read now. */
  readonly noteLogRead: () => void;
}

/** The nodes and what is between them. */
export interface PeerNodes extends AsyncDisposable {
  readonly node: (name: string) => PeerNode;
  /** Starts a node; in place of an earlier one of its name, if there was one. */
  readonly start: (name: string, dataCentre?: string) => PeerNode;
  /** A connection breaks, and no new one is made. */
  readonly cut: (left: string, right: string) => void;
  readonly heal: () => void;
  /** A process stands still: its connections stay, but it neither sends nor takes anything. */
  readonly freeze: (name: string) => void;
  readonly thaw: (name: string) => void;
  /** Tells every node of all nodes. */
  readonly publishVmList: () => void;
  readonly advance: (milliseconds: number) => Promise<void>;
  readonly now: () => number;
}

const urlOf = (name: string): string => `http://${name}`;

/** Makes an empty set of nodes. */
export const createPeerNodes = (): PeerNodes => {
  const clock = createManualClock();
  const nodes = new Map<string, PeerNode>();
  const dataCentres = new Map<string, string>();
  const handlers = new Map<string, PeerHandler>();
  const sessions = new Map<string, Router>();
  const cuts = new Set<string>();
  const frozen = new Set<string>();
  const links = new Set<{ readonly from: string; readonly to: string; readonly end: () => void }>();

  const isCut = (left: string, right: string): boolean =>
    cuts.has(`${left} ${right}`) || cuts.has(`${right} ${left}`);
  const isFrozen = (left: string, right: string): boolean => frozen.has(left) || frozen.has(right);

  const ask = (from: string, to: string, question: Question): Answer => {
    const handler = handlers.get(to);
    if (handler === undefined || isCut(from, to) || isFrozen(from, to)) {
      throw peerError("The connection is cut.", "unreachable");
    }
    const answer = handler.answer(question);
    if (question.body.case === "join" && answer.body.case === "joined" && answer.body.value.accepted) {
      const { router } = question.body.value;
      if (router !== undefined) sessions.set(Buffer.from(answer.body.value.session).toString("hex"), router);
    }
    return answer;
  };

  const open = (from: string, to: string, session: Uint8Array): PeerLink => {
    const handler = handlers.get(to);
    const router = sessions.get(Buffer.from(session).toString("hex"));
    let over = false;
    let resolve = (): void => undefined;
    const ended = new Promise<void>((settle) => (resolve = settle));
    const end = (): void => {
      if (over) return;
      over = true;
      links.delete(link);
      resolve();
      if (router !== undefined && !frozen.has(to)) handler?.streamEnded(router);
    };
    const link = { from, to, end };
    links.add(link);
    const send = (message: Uint8Array): boolean => {
      if (over || handler === undefined || router === undefined) return false;
      if (isFrozen(from, to)) return true;
      if (!handler.receive(router, fromBinary(PeerMessageSchema, message))) end();
      return !over;
    };
    return {
      send,
      ended,
      [Symbol.asyncDispose]: () => {
        end();
        return Promise.resolve();
      },
    };
  };

  class FakePeerNetwork extends PeerNetwork {
    private readonly from: string;

    constructor(from: string) {
      super();
      this.from = from;
    }

    override async ask(url: string, question: Question): Promise<Answer> {
      await Promise.resolve();
      return ask(this.from, url.slice(urlOf("").length), question);
    }

    override open(url: string, session: Uint8Array): PeerLink {
      return open(this.from, url.slice(urlOf("").length), session);
    }
  }

  const make = (name: string, dataCentre: string): PeerNode => {
    const network = new FakePeerNetwork(name);
    const peers = createPeerDirectory(name, peerTimeouts);
    const history = createConfigurationHistory();
    const engines = createEngineDirectory();
    let logReadAt: number | undefined;
    const nodeClock = {
      ...clock,
      // Timers of a process that stands still run late, when it goes on.
      after: (delay: number, callback: () => void) =>
        clock.after(delay, () => {
          if (frozen.has(name)) held.push({ name, callback });
          else callback();
        }),
    };
    const controls = createPeerMembership({
      name,
      dataCentre,
      incarnation: 1 + clock.monotonic(),
      network,
      directory: peers,
      clock: nodeClock,
      metrics: new MemoryMetrics(),
      random: () => 0.5,
      answer: createQuestionHandler({ history, engines, clock, vms: () => [] }),
    });
    const { membership, push } = controls;
    const exchange = new ConfigurationExchange({
      history,
      membership,
      directory: peers,
      network,
      clock,
      random: () => 0.5,
      push,
      logReadAt: () => logReadAt,
    });
    controls.addExtension(
      new LoadExchange({ directory: engines, clock, isHome: (id) => membership.isHome(id), push }),
    );
    controls.addExtension(exchange);
    handlers.set(name, controls.handler);
    controls.start(urlOf(name));
    return {
      name,
      membership,
      controls,
      peers,
      engines,
      history,
      exchange,
      live: () =>
        membership
          .liveMembers()
          .map((peer) => peer.name)
          .join(""),
      noteLogRead: () => (logReadAt = clock.monotonic()),
    };
  };

  let held: { readonly name: string; readonly callback: () => void }[] = [];
  const endLinks = (matches: (from: string, to: string) => boolean): void => {
    for (const { from, to, end } of [...links]) {
      if (matches(from, to)) end();
    }
  };

  const node = (name: string): PeerNode => {
    const found = nodes.get(name);
    if (found === undefined) throw peerError(`There is no node ${name}.`, "unreachable");
    return found;
  };

  const announce = (): void => {
    const vms = [...nodes.keys()].map((id): ListedVm => ({
      id,
      dataCentre: dataCentres.get(id) ?? "",
      url: urlOf(id),
      peerUrl: urlOf(id),
      role: "router",
      pool: "",
      state: "live",
    }));
    for (const item of nodes.values()) item.controls.applyVms(vms);
  };

  return {
    node,
    start: (name, dataCentre = "amman-north") => {
      endLinks((from, to) => from === name || to === name);
      dataCentres.set(name, dataCentre);
      const made = make(name, dataCentre);
      nodes.set(name, made);
      return made;
    },
    cut: (left, right) => {
      cuts.add(`${left} ${right}`);
      endLinks((from, to) => isCut(from, to));
    },
    heal: () => cuts.clear(),
    freeze: (name) => frozen.add(name),
    thaw: (name) => {
      frozen.delete(name);
      const due = held.filter((item) => item.name === name);
      held = held.filter((item) => item.name !== name);
      for (const { callback } of due) callback();
    },
    publishVmList: announce,
    advance: async (milliseconds) => {
      const end = clock.monotonic() + milliseconds;
      while (clock.monotonic() < end) {
        clock.advanceTo(Math.min(end, clock.monotonic() + step));
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
    now: clock.monotonic,
    [Symbol.asyncDispose]: async () => {
      await Promise.all([...nodes.values()].map((item) => item.controls[Symbol.asyncDispose]()));
    },
  };
};
