/** Routers in simulated time that keep to the limit of one replica, and what the replica gets. */
import type { Clock } from "../../src/coordination/clock.ts";
import { createCoordinators } from "../../src/coordination/coordinators/coordinators.ts";
import { createKeyCoordination } from "../../src/coordination/coordinators/keyCoordination.ts";
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import { createReplicaLimits } from "../../src/coordination/replicaLimits/replicaLimits.ts";
import { noteAnnouncedLimit, toReportedLimitMessage } from "../../src/state/forwarding/reportedLimit.ts";
import type { ReplicaState } from "../../src/state/forwarding/replicaState.ts";
import { createReplicaTable } from "../../src/state/forwarding/replicaTable.ts";
import { engineEntry } from "./forwardingFixture.ts";
import { MemoryNetwork } from "./MemoryNetwork.ts";
import { mostInAnyWindow, allowance } from "./limitAllowance.ts";

const millisecondsPerSecond = 1_000;

/** Between two steps of the clock, milliseconds. */
const step = 5;

/** Between two messages by which routers hear of one another where there are few, milliseconds. */
const usualBeat = 400;

/** Until a router's news of a limit is at the others, milliseconds. */
const newsTime = 12;

const dataCentres = 4;

/** A request that reached the replica. */
export interface Arrival {
  readonly at: number;
  readonly router: number;
}

/** What is simulated. */
export interface LimitRoutersSettings {
  readonly routers: number;
  /** What the replica's answers name at a moment, milliseconds since the start; nothing for no limit. */
  readonly limitAt: (time: number) => number | undefined;
  /** How long an answer's head takes, milliseconds. */
  readonly answerTime?: (turn: number) => number;
  /** Whether routers tell one another of a limit. */
  readonly announcesLimits?: boolean;
  /** Between two messages by which routers hear of one another, milliseconds: longer where there are many. */
  readonly heartbeatInterval?: number;
}

/** A router's clock, which stands still together with its process while it is suspended, or goes on without it. */
const createSuspendableClock = (clock: ManualClock) => {
  let lost = 0;
  let isStalled = false;
  let suspendedAt: number | undefined;
  let waiting: (() => void)[] = [];
  const own: Clock = {
    monotonic: () => (suspendedAt ?? clock.monotonic()) - lost,
    wall: clock.wall,
    after: (delay, callback) =>
      clock.after(delay, () => {
        if (suspendedAt === undefined && !isStalled) callback();
        else waiting.push(callback);
      }),
  };
  const runDue = (): void => {
    const due = waiting;
    waiting = [];
    for (const callback of due) callback();
  };
  return {
    clock: own,
    /** The process alone stands still. */
    pauseProcess: (): void => {
      isStalled = true;
    },
    resumeProcess: (): void => {
      isStalled = false;
      runDue();
    },
    suspend: (): void => {
      suspendedAt ??= clock.monotonic();
    },
    resume: (): void => {
      if (suspendedAt === undefined) return;
      lost += clock.monotonic() - suspendedAt;
      suspendedAt = undefined;
      runDue();
    },
  };
};

/** Starts routers that have run long enough for one of them to grant. */
export const createLimitRouters = async (settings: LimitRoutersSettings) => {
  const {
    limitAt,
    answerTime = () => 60,
    announcesLimits: isTold = true,
    heartbeatInterval: beatInterval = usualBeat,
  } = settings;
  const clock = createManualClock(1_000);
  const network = new MemoryNetwork(clock);
  const arrivals: Arrival[] = [];
  /** By router: when it first passed on an answer that names a limit. */
  const toldAt = new Map<number, number>();
  let replicaId = "engine-1";
  let turns = 0;
  let heads = 0;

  const entries = Array.from({ length: settings.routers }, (_, index) => ({
    name: `router-${index}`,
    incarnation: `process-${index}`,
    dataCentre: `centre-${index % dataCentres}`,
    address: "10.0.0.1",
    port: index + 1,
  }));

  const start = (index: number) => {
    const self = entries[index];
    if (self === undefined) throw new Error("There is no such router.");
    const link = network.open(self.port);
    const others = entries
      .filter((entry) => entry !== self)
      .map(({ name, dataCentre, address, port }) => ({ name, dataCentre, at: { address, port } }));
    const time = createSuspendableClock(clock);
    const replicas = createReplicaTable();
    replicas.put(engineEntry(replicaId, { dataCentre: "centre-0" }));
    const keeping = createKeyCoordination({
      self,
      link,
      clock: time.clock,
      others: () => others,
      nearestDataCentre: (subject) => replicas.get(subject)?.entry.dataCentre,
      random: () => 0.5,
    });
    const tell = ({ limit }: ReplicaState): void => {
      if (limit === undefined || !isTold) return;
      const told = toReportedLimitMessage(limit, time.clock.monotonic());
      clock.after(newsTime, () => {
        if (!network.isDown) routers.forEach((each) => each.hearNews(index, told));
      });
    };
    const limits = createReplicaLimits({
      coordination: keeping,
      replicas,
      clock: time.clock,
      announce: tell,
      random: () => 0.5,
    });
    const state = (): ReplicaState => {
      const known = replicas.get(replicaId);
      if (known === undefined) throw new Error("The replica is not registered.");
      return known;
    };
    const beat = (): void => {
      for (const { at } of others) link.send(at, Buffer.from([0]));
      time.clock.after(beatInterval, beat);
    };
    beat();
    return {
      time,
      replicas,
      limits,
      state,
      hearNews: (from: number, told: ReturnType<typeof toReportedLimitMessage>): void => {
        const isCut = network.isolatedPorts.has(self.port) !== network.isolatedPorts.has(from + 1);
        if (from !== index && !isCut) noteAnnouncedLimit(state(), told, time.clock.monotonic());
      },
    };
  };
  const routers: ReturnType<typeof start>[] = [];
  entries.forEach((_, index) => routers.push(start(index)));

  const routerAt = (index: number) => {
    const router = routers[index % routers.length];
    if (router === undefined) throw new Error("There is no such router.");
    return router;
  };

  /** The request leaves, and its answer's head comes back a while later. */
  const sendTo = (index: number, id: string): void => {
    const router = routerAt(index);
    const askedAt = router.time.clock.monotonic();
    arrivals.push({ at: clock.monotonic(), router: index });
    heads += 1;
    clock.after(answerTime(heads), () => {
      const named = limitAt(clock.monotonic());
      const state = router.replicas.get(id);
      if (state === undefined) return;
      if (named !== undefined && !toldAt.has(index)) toldAt.set(index, clock.monotonic());
      const span = { askedAt, receivedAt: router.time.clock.monotonic() };
      if (named === undefined) router.limits.observeNoLimit(state, span);
      else router.limits.observeLimit(state, { perSecond: named, ...span });
    });
  };

  /** A router would like to send a request there; it goes elsewhere if it has no turn. */
  const send = async (index: number, patience = 0): Promise<boolean> => {
    const router = routerAt(index);
    const id = replicaId;
    const state = router.state();
    if (state.limit !== undefined && router.time.clock.monotonic() < state.limitedUntil && patience === 0)
      return false;
    const promised = router.limits.acquire(state, patience);
    if (promised === undefined) {
      sendTo(index, id);
      return true;
    }
    const turn = await promised;
    if (turn === undefined) return false;
    const leave = (): void => {
      if (router.time.clock.monotonic() < turn.until) sendTo(index, id);
    };
    const wait = turn.from - router.time.clock.monotonic();
    if (wait > 0) router.time.clock.after(wait, leave);
    else leave();
    return true;
  };

  const advance = async (milliseconds: number): Promise<void> => {
    const until = clock.monotonic() + milliseconds;
    while (clock.monotonic() < until) {
      clock.advanceTo(Math.min(until, clock.monotonic() + step));
      for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
    }
  };

  await advance(4_000);
  const startedAt = clock.monotonic();

  return {
    clock,
    network,
    routers,
    arrivals,
    startedAt,
    send,
    advance,
    /** A VM stands still: its process, its clock and its datagrams. */
    suspend: (index: number): void => {
      network.freeze(index + 1);
      routerAt(index).time.suspend();
    },
    resume: (index: number): void => {
      routerAt(index).time.resume();
      network.thaw(index + 1);
    },
    /** A process stands still, and its datagrams with it. */
    pauseProcess: (index: number): void => {
      network.freeze(index + 1);
      routerAt(index).time.pauseProcess();
    },
    resumeProcess: (index: number): void => {
      routerAt(index).time.resumeProcess();
      network.thaw(index + 1);
    },
    /** A process starts anew in the place of a router's. */
    restart: (index: number): void => {
      routers[index] = start(index);
      toldAt.delete(index);
    },
    /** The replica crashes and is back under another id, maybe at the same address. */
    replaceReplica: (id: string): void => {
      const before = replicaId;
      replicaId = id;
      for (const { replicas } of routers) {
        replicas.remove(before);
        replicas.put(engineEntry(id, { dataCentre: "centre-0" }));
      }
      toldAt.clear();
    },
    /** @returns The routers in the order in which they keep the limit. */
    coordinators: (): readonly number[] => {
      const all = entries.map(({ name, dataCentre, address, port }) => ({
        name,
        dataCentre,
        at: { address, port },
      }));
      const [self, ...others] = all;
      if (self === undefined) throw new Error("There are no routers.");
      const coordinators = createCoordinators({
        self,
        others: () => others,
        nearestDataCentre: () => "centre-0",
        clock,
      });
      const order = coordinators.orderFor(replicaId);
      return order.map(({ name }) => entries.findIndex((entry) => entry.name === name));
    },
    /** Sends at a pace from routers in turn. */
    flood: async (perSecond: number, seconds: number, patience = 0): Promise<void> => {
      for (let count = 0; count < perSecond * seconds; count += 1) {
        void send(turns % routers.length, patience);
        turns += 1;
        await advance(millisecondsPerSecond / perSecond);
      }
    },
    /** @returns The most that came in any window from routers that had been told a moment before. */
    highestIntake: (from = 0): number =>
      mostInAnyWindow(
        arrivals
          .filter(
            ({ at, router }) =>
              at >= from && at >= (toldAt.get(router) ?? Number.POSITIVE_INFINITY) + allowance.grace,
          )
          .map(({ at }) => at),
      ),
    /** @returns What came in the last milliseconds. */
    countRecentArrivals: (milliseconds: number): number =>
      arrivals.filter(({ at }) => at > clock.monotonic() - milliseconds).length,
  };
};
