/** The engines and the cache store of one run, with the faults that can be injected. */
import type { Clock } from "../../src/coordination/clock.ts";
import { pause } from "../../src/coordination/clock.ts";
import { upstreamError } from "../../src/protocol/errors.ts";
import type { CacheChange, CacheChanges, ReplicaEntry } from "../../src/protocol/forwarding/types.ts";
import type { UnitEvent } from "../model/prefixCache.ts";
import { createPrefixCache } from "../model/prefixCache.ts";
import type { BatchEngine } from "./batchEngine.ts";
import type { ReportLog } from "./reportLog.ts";
import { createReportLog } from "./reportLog.ts";
import type { CacheEndpoint, WorkTotals } from "./batchTypes.ts";
import { createBatchEngine } from "./batchEngine.ts";
import type { Experiment } from "./experiment.ts";
import type { NetworkAddress } from "../../src/protocol/networkAddress.ts";
import { toNetworkAddress } from "../../src/protocol/networkAddress.ts";

/** Names of the service, the model and the cache store in every experiment. */
export const labNames = { service: "engines", model: "m", store: toNetworkAddress("10.9.0.1:9000") } as const;

/** An engine with its registry entry and its present faults. */
export interface LabReplica {
  readonly entry: ReplicaEntry;
  readonly engine: BatchEngine;
  /** `dark`: does not respond. `down`: refuses connections. `loading`: loads new weights. */
  state: "up" | "dark" | "down" | "loading";
  version: number;
  /** Its rate limit; `undefined` if it has none. */
  limit: LabLimit | undefined;
  /** Whether its answers report that it drains. */
  isDraining: boolean;
  /** Set while it refuses all requests. */
  refusal: LabRefusal | undefined;
  /** Times of the requests that arrived, milliseconds. */
  readonly arrivals: number[];
  /** Its usual speed as a factor of the specified one. */
  readonly speed: number;
}

/** The rate limit of an engine, for all routers together. */
export interface LabLimit {
  readonly perSecond: number;
  /** When the limit was set, milliseconds. */
  readonly since: number;
  /** Whether the engine's answers report the limit. */
  readonly isNamed: boolean;
  /** Whether the engine refuses requests above the limit. */
  readonly refuses: boolean;
}

/** How an engine refuses requests. */
export interface LabRefusal {
  /** The backoff that it asks for, milliseconds; `undefined` if it names none. */
  readonly retryAfter: number | undefined;
}

/** A period in which the first `engines` engines refuse all requests, and its end, milliseconds. */
export interface RefusalPeriod {
  readonly engines: number;
  readonly until: number;
}

/** A limit with its end, and the times of the requests that arrived at the engine, milliseconds. */
export interface LimitPeriod extends LabLimit {
  readonly until: number;
  readonly arrivals: readonly number[];
}

/** The engines and the cache store of a run. Faults affect the first engines, `count` of them. */
export interface LabFleet {
  readonly model: string;
  readonly replicas: readonly LabReplica[];
  readonly totals: WorkTotals;
  readonly find: (id: string) => LabReplica | undefined;
  /** @returns The cache of the store or a running engine at this address. */
  readonly cacheAt: (address: NetworkAddress | undefined) => CacheEndpoint | undefined;
  /** Tokens of a request's answer, whichever engine runs it. */
  readonly answerTokens: (request: string) => number;
  readonly setAnswerTokens: (request: string, tokens: number) => void;
  readonly readStoreChanges: (since: number) => Promise<CacheChanges>;
  /**
   * Takes engines down, and restarts them after a time.
   *
   * @param isDark - Whether they stop responding instead of refusing connections.
   */
  readonly takeEnginesDown: (count: number, isDark: boolean, seconds: number) => void;
  /** Limits engines for a time. */
  readonly limit: (count: number, limit: Omit<LabLimit, "since">, seconds: number) => void;
  /** Multiplies the speed of engines for a time. */
  readonly changeSpeed: (count: number, factor: number, seconds: number) => void;
  /** All limits so far. */
  readonly limits: readonly LimitPeriod[];
  /** Makes engines report that they drain, and stops them after a time. */
  readonly drain: (count: number, seconds: number) => void;
  /** Makes engines refuse all requests for a time. */
  readonly refuse: (count: number, refusal: LabRefusal, seconds: number) => void;
  readonly refusals: readonly RefusalPeriod[];
  readonly reports: ReportLog;
  /**
   * Loads new weights on all engines, in groups.
   *
   * @param onChanging - An engine gets no new requests until about `until`.
   * @param onLoaded - An engine runs the new weights.
   */
  readonly loadWeights: (
    version: number,
    onChanging: (replica: LabReplica, until: number) => void,
    onLoaded: (replica: LabReplica) => void,
  ) => Promise<void>;
  readonly takeStoreDown: (seconds: number) => void;
}

/** Number of engines that load weights at the same time. */
const concurrentLoads = 2;

/** Time between announcing that an engine changes its weights and the start of loading, milliseconds. */
const drainTime = 250;

const millisecondsPerSecond = 1_000;

const entryOf = (index: number, dataCentre: string, slots: number): ReplicaEntry => ({
  id: `engine-${index}`,
  registeredAs: `engine-${index}`,
  bornAt: undefined,
  service: labNames.service,
  address: toNetworkAddress(`10.0.${index >> 8}.${index & 255}:8000`),
  dataCentre,
  isDraining: false,
  slots,
  weights: new Map([[labNames.model, 1]]),
});

/** Creates the cache store with the feed of its changes. */
const createStore = ({ store, engines }: Experiment, clock: Clock) => {
  const changes: CacheChange[] = [];
  let incarnation = 1;
  let isUp = true;
  const recordChange = ({ kind, key }: UnitEvent): void => {
    const separator = key.lastIndexOf(" ");
    const isKept = kind === "stored";
    changes.push({ isStored: isKept, salt: key.slice(0, separator), part: key.slice(separator + 1) });
  };
  const megabitsPerSecond = store?.linkMegabits ?? engines.linkMegabits;
  const endpoint: CacheEndpoint = {
    link: { dataCentre: "centre-0", megabitsPerSecond, freeAt: 0 },
    cache: createPrefixCache(store?.memoryTokens ?? 1, recordChange),
  };
  return {
    endpoint,
    isUp: () => isUp && store !== undefined,
    read: (since: number): Promise<CacheChanges> =>
      isUp
        ? Promise.resolve({ incarnation, next: changes.length, changes: changes.slice(since) })
        : Promise.reject(upstreamError("cannot connect", "unreachable", "not_sent")),
    takeDown: (seconds: number): void => {
      isUp = false;
      endpoint.cache.clear();
      changes.length = 0;
      clock.after(seconds * millisecondsPerSecond, () => {
        incarnation += 1;
        isUp = true;
      });
    },
  };
};

/** Creates the engines and the store of an experiment; the engines are spread over its data centres. */
export const createFleet = (experiment: Experiment, clock: Clock): LabFleet => {
  const { engines, dataCentres } = experiment;
  const totals: WorkTotals = { computed: 0, recomputed: 0, copied: 0, preempted: 0 };
  const environment = { clock, totals, lastCachedAt: new Map<string, number>() };
  const store = createStore(experiment, clock);
  const answers = new Map<string, number>();
  const replicas = Array.from({ length: engines.count }, (_, index): LabReplica => {
    const dataCentre = `centre-${index % dataCentres}`;
    const engine = createBatchEngine(engines, dataCentre, environment);
    const speed = engines.speeds[index % engines.speeds.length] ?? 1;
    engine.setSpeed(speed);
    return {
      speed,
      entry: entryOf(index, dataCentre, engines.slots),
      engine,
      state: "up",
      version: 1,
      limit: undefined,
      isDraining: false,
      refusal: undefined,
      arrivals: [],
    };
  });
  const byId = new Map(replicas.map((replica) => [replica.entry.id, replica]));
  const byAddress = new Map(replicas.map((replica) => [replica.entry.address, replica]));

  const limits: LimitPeriod[] = [];
  const limitEngines: LabFleet["limit"] = (count, limit, seconds) => {
    const since = clock.monotonic();
    const until = since + seconds * millisecondsPerSecond;
    for (const replica of replicas.slice(0, count)) {
      replica.limit = { ...limit, since };
      limits.push({ ...limit, since, until, arrivals: replica.arrivals });
      clock.after(until - since, () => {
        replica.limit = undefined;
      });
    }
  };

  const restartEngine = (replica: LabReplica): void => {
    replica.engine.restart();
    replica.state = "up";
  };

  const drain: LabFleet["drain"] = (count, seconds) => {
    for (const replica of replicas.slice(0, count)) {
      replica.isDraining = true;
      clock.after(seconds * millisecondsPerSecond, () => {
        replica.engine.crash(false);
        replica.state = "down";
      });
    }
  };

  const refusals: RefusalPeriod[] = [];
  const refuse: LabFleet["refuse"] = (count, refusal, seconds) => {
    const duration = seconds * millisecondsPerSecond;
    refusals.push({ engines: count, until: clock.monotonic() + duration });
    for (const replica of replicas.slice(0, count)) {
      replica.refusal = refusal;
      clock.after(duration, () => {
        replica.refusal = undefined;
      });
    }
  };

  return {
    model: labNames.model,
    replicas,
    totals,
    find: (id) => byId.get(id),
    cacheAt: (address) => {
      if (address === labNames.store) return store.isUp() ? store.endpoint : undefined;
      const replica = address === undefined ? undefined : byAddress.get(address);
      return replica?.state === "up" ? replica.engine : undefined;
    },
    answerTokens: (request) => answers.get(request) ?? 1,
    setAnswerTokens: (request, tokens) => {
      answers.set(request, tokens);
    },
    readStoreChanges: store.read,
    takeEnginesDown: (count, isDark, seconds) => {
      for (const replica of replicas.slice(0, count)) {
        replica.engine.crash(isDark);
        replica.state = isDark ? "dark" : "down";
        clock.after(seconds * millisecondsPerSecond, () => restartEngine(replica));
      }
    },
    drain,
    refuse,
    refusals,
    reports: createReportLog(clock),
    limit: limitEngines,
    changeSpeed: (count, factor, seconds) => {
      for (const { engine, speed } of replicas.slice(0, count)) {
        engine.setSpeed(speed * factor);
        clock.after(seconds * millisecondsPerSecond, () => engine.setSpeed(speed));
      }
    },
    limits,
    loadWeights: async (version, onChanging, onLoaded) => {
      for (let first = 0; first < replicas.length; first += concurrentLoads) {
        const group = replicas.slice(first, first + concurrentLoads).filter(({ state }) => state === "up");
        const until = clock.monotonic() + drainTime + engines.loadTime;
        for (const replica of group) onChanging(replica, until);
        await pause(clock, drainTime);
        for (const replica of group) {
          replica.state = "loading";
          replica.engine.dropCache();
        }
        await pause(clock, engines.loadTime);
        for (const replica of group) {
          replica.version = version;
          replica.state = "up";
          onLoaded(replica);
        }
      }
    },
    takeStoreDown: store.takeDown,
  };
};
