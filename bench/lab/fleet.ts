/** The engines and the store of prompt parts of one run, and what befalls them. */
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

/** Names that the lab gives. */
export const labNames = { service: "engines", model: "m", store: "10.9.0.1:9000" } as const;

/** One engine as it stands in the registry. */
export interface LabReplica {
  readonly entry: ReplicaEntry;
  readonly engine: BatchEngine;
  state: "up" | "dark" | "down" | "loading";
  version: number;
  /** What it takes; nothing if it takes all that comes. */
  limit: LabLimit | undefined;
  /** Its answers report that it drains. */
  isDraining: boolean;
  /** Set while it turns everything away. */
  refusal: LabRefusal | undefined;
  /** When requests came, milliseconds. */
  readonly arrivals: number[];
}

/** What an engine takes from all routers together. */
export interface LabLimit {
  readonly perSecond: number;
  readonly since: number;
  /** Whether its answers say so. */
  readonly isNamed: boolean;
  /** Whether it refuses what is more. */
  readonly refuses: boolean;
}

/** How an engine turns requests away. */
export interface LabRefusal {
  /** The backoff that it asks for, milliseconds. */
  readonly retryAfter: number | undefined;
}

/** Engines that turned everything away, and when that was over, milliseconds. */
export interface RefusalPeriod {
  readonly engines: number;
  readonly until: number;
}

/** A limit that an engine had. */
export interface LimitPeriod extends LabLimit {
  readonly until: number;
  readonly arrivals: readonly number[];
}

/** See {@link createFleet}. */
export interface LabFleet {
  readonly model: string;
  readonly replicas: readonly LabReplica[];
  readonly totals: WorkTotals;
  readonly find: (id: string) => LabReplica | undefined;
  readonly cacheAt: (address: string | undefined) => CacheEndpoint | undefined;
  /** Tokens of the answer that a request gets, wherever it runs. */
  readonly answerTokens: (request: string) => number;
  readonly setAnswerTokens: (request: string, tokens: number) => void;
  readonly readStoreChanges: (since: number) => Promise<CacheChanges>;
  /** Takes engines down and brings them back. */
  readonly takeEnginesDown: (count: number, isDark: boolean, seconds: number) => void;
  /** Limits engines for a while. */
  readonly limit: (count: number, limit: Omit<LabLimit, "since">, seconds: number) => void;
  /** Limits that there were, with what came from all routers. */
  readonly limits: readonly LimitPeriod[];
  /** Lets engines report draining, then ends them. */
  readonly drain: (count: number, seconds: number) => void;
  /** Lets engines turn everything away for a while. */
  readonly refuse: (count: number, refusal: LabRefusal, seconds: number) => void;
  readonly refusals: readonly RefusalPeriod[];
  readonly reports: ReportLog;
  /** @param onLoaded - An engine runs the new weights. */
  readonly loadWeights: (
    version: number,
    onChanging: (replica: LabReplica, until: number) => void,
    onLoaded: (replica: LabReplica) => void,
  ) => Promise<void>;
  readonly takeStoreDown: (seconds: number) => void;
}

/** Engines that load weights at the same time. */
const loadsAtOnce = 2;

/** How long engines get no new work before they load, milliseconds. */
const emptyingTime = 250;

const millisecondsPerSecond = 1_000;

const entryOf = (index: number, dataCentre: string, slots: number): ReplicaEntry => ({
  id: `engine-${index}`,
  registeredAs: `engine-${index}`,
  bornAt: undefined,
  service: labNames.service,
  address: `10.0.${index >> 8}.${index & 255}:8000`,
  dataCentre,
  isDraining: false,
  slots,
  weights: new Map([[labNames.model, 1]]),
});

/** The store with the changes that it tells. */
const createStore = ({ store, engines }: Experiment, clock: Clock) => {
  const changes: CacheChange[] = [];
  let incarnation = 1;
  let isUp = true;
  const tell = ({ kind, key }: UnitEvent): void => {
    const separator = key.lastIndexOf(" ");
    const isKept = kind === "stored";
    changes.push({ isStored: isKept, salt: key.slice(0, separator), part: key.slice(separator + 1) });
  };
  const megabits = store?.linkMegabits ?? engines.linkMegabits;
  const keeper: CacheEndpoint = {
    link: { dataCentre: "centre-0", megabitsPerSecond: megabits, freeAt: 0 },
    cache: createPrefixCache(store?.memoryTokens ?? 1, tell),
  };
  return {
    keeper,
    isUp: () => isUp && store !== undefined,
    read: (since: number): Promise<CacheChanges> =>
      isUp
        ? Promise.resolve({ incarnation, next: changes.length, changes: changes.slice(since) })
        : Promise.reject(upstreamError("cannot connect", "unreachable", "not_sent")),
    strike: (seconds: number): void => {
      isUp = false;
      keeper.cache.clear();
      changes.length = 0;
      clock.after(seconds * millisecondsPerSecond, () => {
        incarnation += 1;
        isUp = true;
      });
    },
  };
};

/** Creates the engines that an experiment names, spread over its data centres. */
export const createFleet = (experiment: Experiment, clock: Clock): LabFleet => {
  const { engines, dataCentres } = experiment;
  const totals: WorkTotals = { computed: 0, recomputed: 0, copied: 0, preempted: 0 };
  const surroundings = { clock, totals, seen: new Map<string, number>() };
  const store = createStore(experiment, clock);
  const answers = new Map<string, number>();
  const replicas = Array.from({ length: engines.count }, (_, index): LabReplica => {
    const dataCentre = `centre-${index % dataCentres}`;
    const engine = createBatchEngine(engines, dataCentre, surroundings);
    return {
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

  const bringBack = (replica: LabReplica): void => {
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
      if (address === labNames.store) return store.isUp() ? store.keeper : undefined;
      const replica = byAddress.get(address ?? "");
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
        clock.after(seconds * millisecondsPerSecond, () => bringBack(replica));
      }
    },
    drain,
    refuse,
    refusals,
    reports: createReportLog(clock),
    limit: limitEngines,
    limits,
    loadWeights: async (version, onChanging, onLoaded) => {
      for (let first = 0; first < replicas.length; first += loadsAtOnce) {
        const turn = replicas.slice(first, first + loadsAtOnce).filter(({ state }) => state === "up");
        const until = clock.monotonic() + emptyingTime + engines.loadTime;
        for (const replica of turn) onChanging(replica, until);
        await pause(clock, emptyingTime);
        for (const replica of turn) {
          replica.state = "loading";
          replica.engine.dropCache();
        }
        await pause(clock, engines.loadTime);
        for (const replica of turn) {
          replica.version = version;
          replica.state = "up";
          onLoaded(replica);
        }
      }
    },
    takeStoreDown: store.strike,
  };
};
