/** Routers and engines of different speeds on a manual clock. */
import { createRandom } from "../../bench/model/random.ts";
import { createReplicaEstimates } from "../../src/coordination/estimates/replicaEstimates.ts";
import { createReplicaSpeeds } from "../../src/coordination/estimates/replicaSpeeds.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import { answerTimeout } from "../../src/coordination/replicaOwners/constants.ts";
import type { ReplicaOwners } from "../../src/coordination/replicaOwners/replicaOwners.ts";
import { createReplicaOwners } from "../../src/coordination/replicaOwners/replicaOwners.ts";
import type { AnnouncedWork } from "../../src/protocol/forwarding/peerMessage.ts";
import { replicaKeyOf } from "../../src/protocol/forwarding/peerMessage.ts";
import { createReplicaTable } from "../../src/state/forwarding/replicaTable.ts";
import { engineEntry } from "./forwardingFixture.ts";
import { MemoryNetwork } from "./MemoryNetwork.ts";

/** Prompt tokens per millisecond at speed 1. */
export const usualRate = 66;

/** Time from the end of a prompt's computation to its first token, milliseconds. */
const firstTokenDelay = 12;

const promptSizes = { short: 2_400, long: 12_000, longShare: 0.2 } as const;

/** Prompts at each engine at any time, by default: it is never idle. */
const usualPrompts = 4;

/** Interval at which each router queries the owners of some engines, or announces its work, milliseconds. */
const exchangeInterval = 200;

const queriedAtOnce = 4;

/** Time for which an answer goes on after its first token, milliseconds. */
const answerTime = 400;

export interface SimulatedEngine {
  /** Changes with every restart. */
  id: string;
  speed: number;
  busyUntil: number;
}

export interface SimulationOptions {
  readonly routerCount: number;
  readonly speeds: readonly number[];
  readonly seed: number;
  readonly isLarge: boolean;
  /** Share of the requests that are cancelled before their first token. */
  readonly cancelledShare?: number;
  /** Prompts that each engine has at any time; 0 if the test sends all prompts itself. */
  readonly outstandingPrompts?: number;
}

/** Starts the engines and routers; time passes with `run`. */
export const startSpeedSimulation = ({
  routerCount,
  speeds: engineSpeeds,
  seed,
  isLarge,
  cancelledShare = 0,
  outstandingPrompts = usualPrompts,
}: SimulationOptions) => {
  const clock = createManualClock(1_000);
  const network = new MemoryNetwork(clock);
  const random = createRandom(seed, "speeds");
  const engines = engineSpeeds.map((speed, index): SimulatedEngine => ({
    id: `engine-${index}`,
    speed,
    busyUntil: 0,
  }));
  const entryOf = ({ id }: SimulatedEngine) =>
    engineEntry(id, { registeredAs: id.split("#", 1)[0] ?? id, slots: 64 });
  let starts = 0;

  const createRouter = () => {
    starts += 1;
    const self = {
      name: `router-${starts}`,
      incarnation: `process-${starts}`,
      dataCentre: "here",
      address: "10.0.0.1",
      port: starts,
    };
    const replicas = createReplicaTable();
    for (const engine of engines) replicas.put(entryOf(engine));
    const others = () =>
      routers
        .filter((router) => router.self.name !== self.name)
        .map((router) => ({ ...router.self, at: { address: router.self.address, port: router.self.port } }));
    const findOwners = (): ReplicaOwners => owners;
    const speeds = createReplicaSpeeds({
      replicas,
      clock,
      minSpread: 1.5,
      isMeasured: (replica) => !isLarge || findOwners().isOwnerOf(replica),
      isOwnerOf: (replica) => findOwners().isOwnerOf(replica),
    });
    const owners = createReplicaOwners({
      self,
      link: network.open(self.port),
      clock,
      replicas,
      holders: {
        notePart: () => undefined,
        noteUsed: () => undefined,
        wasUsed: () => false,
        holdersOf: () => [],
      },
      peers: { isLarge: () => isLarge, serving: () => others() as never },
      cacheStores: () => [],
      speeds,
    });
    const estimates = createReplicaEstimates({ replicas, clock, speeds });
    return { self, replicas, speeds, owners, estimates };
  };
  type SimulatedRouter = ReturnType<typeof createRouter>;
  const routers: SimulatedRouter[] = [];

  const announce = (router: SimulatedRouter): void => {
    const work: readonly AnnouncedWork[] = router.replicas
      .all()
      .filter(({ requests }) => requests > 0)
      .map(({ entry, requests, promptTokens, prefilledTokens }) => ({
        replica: replicaKeyOf(entry.id),
        requests,
        promptTokens: [...promptTokens],
        organisations: [],
        reservedTokens: 0,
        prefilledTokens,
      }));
    const { name, incarnation } = router.self;
    for (const peer of routers.filter((each) => each !== router)) {
      peer.replicas.noteWork(name, new Map(work.map((each) => [each.replica, each])));
      peer.speeds.noteAnnounced(name, incarnation, work);
    }
  };

  const exchange = (router: SimulatedRouter): void => {
    if (!routers.includes(router)) return;
    clock.after(exchangeInterval, () => exchange(router));
    if (!isLarge) {
      announce(router);
      return;
    }
    const all = router.replicas.all();
    const first = random.index(all.length);
    const queried = [...all, ...all].slice(first, first + Math.min(queriedAtOnce, all.length));
    void router.owners.query(queried, [], 0);
  };

  const startRouter = (): SimulatedRouter => {
    const router = createRouter();
    routers.push(router);
    clock.after(random.uniform() * exchangeInterval, () => exchange(router));
    return router;
  };

  const anyRouter = (): SimulatedRouter => {
    const router = routers[random.index(routers.length)];
    if (router === undefined) throw new Error("no router runs");
    return router;
  };

  /** Sends a prompt of a router to an engine, which computes prompts one after another. */
  const send = (
    { speeds, owners, replicas }: SimulatedRouter,
    engine: SimulatedEngine,
    tokens: number,
    isCancelled: boolean,
    onFirstToken: () => void,
  ): void => {
    const state = replicas.get(engine.id);
    if (state === undefined) throw new Error(engine.id);
    const addTokens = (count: number): void => {
      state.promptTokens[3] = (state.promptTokens[3] ?? 0) + count;
    };
    state.requests += 1;
    addTokens(tokens);
    speeds.noteOwnWork(state);
    owners.reports.noteRequestSent(state);
    const startsAt = Math.max(clock.monotonic(), engine.busyUntil);
    if (!isCancelled) engine.busyUntil = startsAt + tokens / (usualRate * engine.speed);
    clock.after(engine.busyUntil + firstTokenDelay - clock.monotonic(), () => {
      addTokens(-tokens);
      if (isCancelled) speeds.noteOwnWork(state);
      else speeds.notePromptComputed(state, tokens);
      owners.reports.noteWorkChanged(state);
      clock.after(answerTime, () => {
        state.requests -= 1;
        owners.reports.noteWorkChanged(state);
      });
      onFirstToken();
    });
  };

  /** Sends a prompt from any router; the next one follows when this one has got its first token. */
  const sendPrompt = (engine: SimulatedEngine): void => {
    const { id } = engine;
    const tokens = random.uniform() < promptSizes.longShare ? promptSizes.long : promptSizes.short;
    send(anyRouter(), engine, tokens, random.uniform() < cancelledShare, () => {
      if (engine.id === id) sendPrompt(engine);
    });
  };

  for (let count = 0; count < routerCount; count += 1) startRouter();
  const fill = (engine: SimulatedEngine): void => {
    for (let count = 0; count < outstandingPrompts; count += 1) sendPrompt(engine);
  };
  engines.forEach(fill);

  return {
    clock,
    network,
    engines,
    routers,
    random,
    anyRouter,
    send,
    startRouter,
    run: (milliseconds: number): void => clock.advanceTo(clock.monotonic() + milliseconds),
    /** Restarts an engine as a new incarnation at another speed. */
    restart: (engine: SimulatedEngine, speed: number): void => {
      engine.id = `${engine.id.split("#", 1).join()}#${clock.monotonic()}`;
      engine.speed = speed;
      engine.busyUntil = 0;
      for (const { replicas } of routers) replicas.put(entryOf(engine));
      fill(engine);
    },
    /** Ends a router; the others no longer list it. */
    stopRouter: (router: SimulatedRouter): void => {
      routers.splice(routers.indexOf(router), 1);
      network.open(router.self.port);
    },
    /**
     * Queries the owners as before a placement.
     *
     * @returns The largest difference, over all engines and the routers, of the speed that a router assumes to the true
     * one.
     */
    errorAt: (asking: readonly SimulatedRouter[]): number => {
      for (const { owners, replicas } of asking) void owners.query(replicas.all(), [], 0);
      clock.advanceTo(clock.monotonic() + answerTimeout.longest);
      const errors = asking.flatMap(({ estimates }) =>
        engines.map(({ id, speed }) => Math.abs(estimates.prefillRate(id) / usualRate - speed)),
      );
      return Math.max(...errors);
    },
  };
};
