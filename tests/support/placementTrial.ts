/** Runs routers with their owners over simulated engines, and records pauses of streams and traffic between data centres. */
import { setImmediate as macrotask } from "node:timers/promises";
import type { Experiment } from "../../bench/lab/experiment.ts";
import { createFleet } from "../../bench/lab/fleet.ts";
import type { LabFleet } from "../../bench/lab/fleet.ts";
import type { LabRouter } from "../../bench/lab/labRouter.ts";
import { createLabRouter } from "../../bench/lab/labRouter.ts";
import type { Random } from "../../bench/model/random.ts";
import { createRandom, createWeightedIndex, zipfWeights } from "../../bench/model/random.ts";
import type { LoadFeatures } from "../../src/coordination/forwarding/loadFeatures.ts";
import { defaultLoadPolicy } from "../../src/coordination/forwarding/loadPolicy.ts";
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import { RequestError } from "../../src/protocol/errors.ts";
import type { CallerRequest, Prompt } from "../../src/protocol/forwarding/types.ts";
import { MemoryNetwork } from "./MemoryNetwork.ts";

/** One kind of request of a trial. */
export interface TrialKind {
  readonly name: string;
  readonly perSecond: number;
  readonly objective: number;
  readonly priority: number;
  /** Mean tokens of the part that no other request shares, exponentially distributed up to `maximumOwnTokens`. */
  readonly ownTokens: number;
  readonly maximumOwnTokens: number;
  /** Mean tokens of the answer, exponentially distributed up to four times as many. */
  readonly answerTokens: number;
  readonly subjects: { readonly count: number; readonly tokens: number; readonly skew: number };
  /** Share of the requests that use the first subject, in addition to its usual share. */
  readonly hotShare?: number;
}

export interface TrialOptions {
  readonly seconds: number;
  readonly seed: number;
  readonly routers: number;
  readonly dataCentres: number;
  readonly engines: Pick<Experiment["engines"], "count" | "slots" | "memoryTokens" | "prefillRate" | "step">;
  readonly kinds: readonly TrialKind[];
  readonly features: LoadFeatures;
  /** Factors of the callers' hints of the answer length, drawn at random. */
  readonly hintFactors: readonly number[];
  /** @returns The demand of a data centre as a multiple of its even share. */
  readonly demandAt?: (dataCentre: number, at: number) => number;
  /** Called once, when the routers have been created. */
  readonly disturb?: (trial: TrialControl) => void;
}

/** What a trial's disturbances act on. */
export interface TrialControl {
  readonly clock: ManualClock;
  readonly network: MemoryNetwork;
  readonly fleet: LabFleet;
  readonly routers: readonly LabRouter[];
  readonly portOf: (router: number) => number;
  /** Cuts a router off from the others, and sends no more callers to it. Its running streams continue. */
  readonly lose: (router: number) => void;
  /** Creates a router anew, without any state. */
  readonly restart: (router: number) => void;
}

/** The record of one request. */
export interface TrialRecord {
  readonly kind: TrialKind;
  readonly at: number;
  /** The index of the caller's data centre. */
  readonly dataCentre: number;
  readonly subject: number;
  outcome: "served" | "refused" | "failed";
  firstTokenAfter: number | undefined;
  /** The longest time between two events of the stream, milliseconds. */
  longestPause: number;
}

export interface TrialResult {
  readonly records: readonly TrialRecord[];
  readonly preempted: number;
  readonly fleet: LabFleet;
}

const firstPort = 7_000;
const millisecondsPerSecond = 1_000;
const deadline = 30_000;

/** The stated maximum of an answer, as a multiple of the mean. */
const maximumAnswerFactor = 4;

const experimentOf = ({ seconds, routers, dataCentres, engines, kinds }: TrialOptions): Experiment => ({
  name: "placement",
  seconds,
  warmUp: 0,
  seeds: [1],
  routers,
  dataCentres,
  messageDelay: 2,
  engines: {
    stepPerRequest: 0.05,
    chunkTokens: 2_048,
    bytesPerToken: 18_432,
    linkMegabits: 370_000,
    loadTime: 400,
    speeds: [1],
    ...engines,
  },
  kinds: kinds.map((kind) => ({
    ...kind,
    deadline,
    isResumable: false,
    maximumAttempts: 1,
    callerTries: 1,
    worth: 1,
    lateWorth: 0,
    openings: { count: 1, tokens: 1 },
  })),
  organisations: [],
  windows: [],
  faults: [],
  policies: {},
});

const promptOf = (kind: TrialKind, id: string, subject: number, random: Random, hint: number): Prompt => {
  const own = Math.min(kind.maximumOwnTokens, 1 + Math.round(random.exponential(kind.ownTokens)));
  return {
    model: "m",
    tokens: kind.subjects.tokens + own,
    answerTokens: kind.answerTokens * maximumAnswerFactor,
    expectedAnswerTokens: hint,
    parts: [
      { id: `${kind.name}-${subject}`, tokens: kind.subjects.tokens },
      { id, tokens: own },
    ],
  };
};

const follow = async (
  router: LabRouter,
  request: CallerRequest,
  record: TrialRecord,
  clock: ManualClock,
): Promise<void> => {
  const abandonment = new AbortController();
  const cancel = clock.after(deadline, () => abandonment.abort());
  try {
    const { body } = await router.forwarder.forward(request, abandonment.signal);
    if (Buffer.isBuffer(body)) throw new TypeError("expected a stream");
    let lastAt: number | undefined;
    for await (const chunk of body) {
      if (chunk.length === 0) continue;
      const now = clock.monotonic();
      record.firstTokenAfter ??= now - record.at;
      record.longestPause = Math.max(record.longestPause, now - (lastAt ?? now));
      lastAt = now;
    }
    record.outcome = "served";
  } catch (error) {
    if (error instanceof RequestError && error.failure.status === 503) record.outcome = "refused";
  } finally {
    cancel();
  }
};

/** Runs a trial in simulated time. */
export const runTrial = async (options: TrialOptions): Promise<TrialResult> => {
  const { seconds, seed, routers: count, dataCentres, kinds, features, hintFactors } = options;
  const experiment = experimentOf(options);
  const clock = createManualClock();
  const network = new MemoryNetwork(clock);
  network.delay = experiment.messageDelay;
  const fleet = createFleet(experiment, clock);
  const portOf = (index: number): number => firstPort + index;
  const entries = Array.from({ length: count }, (_, index) => ({
    name: `router-${index}`,
    incarnation: `process-${index}`,
    dataCentre: `centre-${index % dataCentres}`,
    address: "10.0.0.1",
    port: portOf(index),
  }));
  const start = (index: number, incarnation: string): LabRouter => {
    const self = { ...entries[index], incarnation } as (typeof entries)[number];
    const { uniform: random } = createRandom(seed, `${self.name} ${incarnation}`);
    const link = network.open(self.port);
    const policy = defaultLoadPolicy;
    return createLabRouter({
      experiment,
      policy,
      features,
      clock,
      fleet,
      self,
      allRouters: entries,
      link,
      random,
    });
  };
  const routers = entries.map(({ incarnation }, index) => start(index, incarnation));
  const lost = new Set<number>();
  options.disturb?.({
    clock,
    network,
    fleet,
    routers,
    portOf,
    lose: (index) => {
      lost.add(index);
      network.isolatedPorts = new Set([...lost].map(portOf));
    },
    restart: (index) => {
      routers[index] = start(index, `restarted-${index}`);
    },
  });

  const records: TrialRecord[] = [];
  const arrive = (kind: TrialKind, dataCentre: number, random: Random, number: number): void => {
    const isHot = random.uniform() < (kind.hotShare ?? 0);
    const drawn = createWeightedIndex(zipfWeights(kind.subjects.count, kind.subjects.skew))(random);
    const subject = isHot ? 0 : drawn;
    const at = clock.monotonic();
    const id = `${kind.name}-${dataCentre}-${number}`;
    const answerTokens = Math.min(
      kind.answerTokens * maximumAnswerFactor,
      1 + Math.round(random.exponential(kind.answerTokens)),
    );
    const hint = Math.round(answerTokens * (hintFactors[random.index(hintFactors.length)] ?? 1));
    const prompt = promptOf(kind, id, subject, random, hint);
    fleet.setAnswerTokens(id, answerTokens);
    const local = routers.filter((_, index) => index % dataCentres === dataCentre && !lost.has(index));
    const router = local[random.index(local.length)];
    const record: TrialRecord = {
      kind,
      at,
      dataCentre,
      subject,
      outcome: "failed",
      firstTokenAfter: undefined,
      longestPause: 0,
    };
    records.push(record);
    const request: CallerRequest = {
      id,
      method: "POST",
      host: "lab.example",
      target: `/${kind.name}/`,
      headers: [],
      body: Buffer.alloc(0),
      arrivedAt: at,
      timeout: deadline,
      key: undefined,
      prompt,
      countedTokens: undefined,
      lastEventId: undefined,
    };
    if (router !== undefined) void follow(router, request, record, clock);
  };
  for (const kind of kinds) {
    for (let dataCentre = 0; dataCentre < dataCentres; dataCentre += 1) {
      const random = createRandom(seed, `${kind.name} ${dataCentre}`);
      const scheduleNext = (number: number): void => {
        const demand = options.demandAt?.(dataCentre, clock.monotonic()) ?? 1;
        const rate = (kind.perSecond * Math.max(0.01, demand)) / dataCentres;
        clock.after(random.exponential(millisecondsPerSecond / rate), () => {
          if (clock.monotonic() >= seconds * millisecondsPerSecond) return;
          arrive(kind, dataCentre, random, number);
          scheduleNext(number + 1);
        });
      };
      scheduleNext(0);
    }
  }
  const end = seconds * millisecondsPerSecond + deadline;
  for (let at = clock.nextTimer(); at !== undefined && at <= end; at = clock.nextTimer()) {
    clock.advanceTo(at);
    await macrotask();
  }
  return { records, preempted: fleet.totals.preempted, fleet };
};
