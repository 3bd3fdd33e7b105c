/** Routers in simulated time that enforce the limit of one replica, and the requests that reach the replica. */
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
import { allowance, mostInAnyWindow } from "./limitAllowance.ts";

const millisecondsPerSecond = 1_000;

/** Length of a step of the clock, milliseconds. */
const step = 5;

/** Interval of heartbeats between routers unless a test sets another, milliseconds. */
const defaultHeartbeatInterval = 400;

/** Time until an announced limit reaches the other routers, milliseconds. */
const announcementDelay = 12;

const dataCentres = 4;

/** A request that reached the replica. */
export interface Arrival {
  readonly at: number;
  readonly router: number;
}

/** What to simulate. */
export interface LimitRoutersSettings {
  readonly routers: number;
  /** The limit that the replica reports at a time of the clock, milliseconds; `undefined` if it reports none. */
  readonly limitAt: (time: number) => number | undefined;
  /** Time until the head of an answer arrives, milliseconds. */
  readonly answerTime?: (requestNumber: number) => number;
  /** Whether routers announce limits to one another. */
  readonly announcesLimits?: boolean;
  /** Interval of heartbeats between routers, milliseconds; longer where there are many routers. */
  readonly heartbeatInterval?: number;
}

/**
 * A router's clock. While the VM is suspended, both the clock and the process are stopped; while only the process is
 * paused, the clock goes on and timers run late.
 */
const createSuspendableClock = (clock: ManualClock) => {
  let suspendedTime = 0;
  let isStalled = false;
  let suspendedAt: number | undefined;
  let waiting: (() => void)[] = [];
  const own: Clock = {
    monotonic: () => (suspendedAt ?? clock.monotonic()) - suspendedTime,
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
    /** Pauses the process only. */
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
      suspendedTime += clock.monotonic() - suspendedAt;
      suspendedAt = undefined;
      runDue();
    },
  };
};

/** Starts routers, and runs them until a coordinator may grant requests. */
export const createLimitRouters = async (settings: LimitRoutersSettings) => {
  const {
    limitAt,
    answerTime = () => 60,
    announcesLimits = true,
    heartbeatInterval = defaultHeartbeatInterval,
  } = settings;
  const clock = createManualClock(1_000);
  const network = new MemoryNetwork(clock);
  const arrivals: Arrival[] = [];
  /** By router: when it first forwarded an answer that reports a limit. */
  const firstReportedAt = new Map<number, number>();
  let replicaId = "engine-1";
  let nextRouter = 0;
  let requests = 0;

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
    const coordination = createKeyCoordination({
      self,
      link,
      clock: time.clock,
      others: () => others,
      nearestDataCentre: (key) => replicas.get(key)?.entry.dataCentre,
      random: () => 0.5,
    });
    const announce = ({ limit }: ReplicaState): void => {
      if (limit === undefined || !announcesLimits) return;
      const message = toReportedLimitMessage(limit, time.clock.monotonic());
      clock.after(announcementDelay, () => {
        if (!network.isDown) routers.forEach((each) => each.receiveLimit(index, message));
      });
    };
    const limits = createReplicaLimits({
      coordination,
      replicas,
      clock: time.clock,
      announce,
      random: () => 0.5,
    });
    const state = (): ReplicaState => {
      const known = replicas.get(replicaId);
      if (known === undefined) throw new Error("The replica is not registered.");
      return known;
    };
    const sendHeartbeats = (): void => {
      for (const { at } of others) link.send(at, Buffer.from([0]));
      time.clock.after(heartbeatInterval, sendHeartbeats);
    };
    sendHeartbeats();
    return {
      time,
      replicas,
      limits,
      state,
      receiveLimit: (from: number, message: ReturnType<typeof toReportedLimitMessage>): void => {
        const isCut = network.isolatedPorts.has(self.port) !== network.isolatedPorts.has(from + 1);
        if (from !== index && !isCut) noteAnnouncedLimit(state(), message, time.clock.monotonic());
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

  /** Sends a request; the head of its answer arrives after the answer time. */
  const sendTo = (index: number, id: string): void => {
    const router = routerAt(index);
    const askedAt = router.time.clock.monotonic();
    arrivals.push({ at: clock.monotonic(), router: index });
    requests += 1;
    clock.after(answerTime(requests), () => {
      const perSecond = limitAt(clock.monotonic());
      const state = router.replicas.get(id);
      if (state === undefined) return;
      if (perSecond !== undefined && !firstReportedAt.has(index))
        firstReportedAt.set(index, clock.monotonic());
      const span = { askedAt, receivedAt: router.time.clock.monotonic() };
      if (perSecond === undefined) router.limits.observeNoLimit(state, span);
      else router.limits.observeLimit(state, { perSecond, ...span });
    });
  };

  /** Sends a request to the replica if the router gets a grant within the longest wait, milliseconds. */
  const send = async (index: number, maxWait = 0): Promise<boolean> => {
    const router = routerAt(index);
    const id = replicaId;
    const state = router.state();
    if (state.limit !== undefined && router.time.clock.monotonic() < state.limitedUntil && maxWait === 0)
      return false;
    const promisedGrant = router.limits.acquire(state, maxWait);
    if (promisedGrant === undefined) {
      sendTo(index, id);
      return true;
    }
    const grant = await promisedGrant;
    if (grant === undefined) return false;
    const sendBeforeExpiry = (): void => {
      if (router.time.clock.monotonic() < grant.until) sendTo(index, id);
    };
    const wait = grant.from - router.time.clock.monotonic();
    if (wait > 0) router.time.clock.after(wait, sendBeforeExpiry);
    else sendBeforeExpiry();
    return true;
  };

  const advance = async (milliseconds: number): Promise<void> => {
    const end = clock.monotonic() + milliseconds;
    while (clock.monotonic() < end) {
      clock.advanceTo(Math.min(end, clock.monotonic() + step));
      for (let microtask = 0; microtask < 8; microtask += 1) await Promise.resolve();
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
    /** Suspends a VM: its process, its clock and its datagrams. */
    suspend: (index: number): void => {
      network.freeze(index + 1);
      routerAt(index).time.suspend();
    },
    resume: (index: number): void => {
      routerAt(index).time.resume();
      network.thaw(index + 1);
    },
    /** Pauses a process and its datagrams; the clock goes on. */
    pauseProcess: (index: number): void => {
      network.freeze(index + 1);
      routerAt(index).time.pauseProcess();
    },
    resumeProcess: (index: number): void => {
      routerAt(index).time.resumeProcess();
      network.thaw(index + 1);
    },
    /** Replaces a router by a new process without state. */
    restart: (index: number): void => {
      routers[index] = start(index);
      firstReportedAt.delete(index);
    },
    /** The replica crashes and is replaced by one with another id, possibly at the same address. */
    replaceReplica: (id: string): void => {
      const before = replicaId;
      replicaId = id;
      for (const { replicas } of routers) {
        replicas.remove(before);
        replicas.put(engineEntry(id, { dataCentre: "centre-0" }));
      }
      firstReportedAt.clear();
    },
    /** @returns The routers in the order of the replica's key: its coordinator and the successors. */
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
    /** Sends requests at a constant rate from the routers in turn, without waiting for grants. */
    flood: async (perSecond: number, seconds: number, maxWait = 0): Promise<void> => {
      for (let count = 0; count < perSecond * seconds; count += 1) {
        void send(nextRouter % routers.length, maxWait);
        nextRouter += 1;
        await advance(millisecondsPerSecond / perSecond);
      }
    },
    /** @returns The most arrivals in any window from routers that had known the limit for the grace time. */
    highestIntake: (from = 0): number =>
      mostInAnyWindow(
        arrivals
          .filter(
            ({ at, router }) =>
              at >= from && at >= (firstReportedAt.get(router) ?? Number.POSITIVE_INFINITY) + allowance.grace,
          )
          .map(({ at }) => at),
      ),
    /** @returns The number of arrivals in the last milliseconds. */
    countRecentArrivals: (milliseconds: number): number =>
      arrivals.filter(({ at }) => at > clock.monotonic() - milliseconds).length,
  };
};
