/** One simulated request, from its arrival at a router to its last token: assign, run, try again elsewhere. */
import { pause } from "../../src/coordination/clock.ts";
import type { Clock } from "../../src/coordination/clock.ts";
import type { ConfigurationIndex } from "../../src/coordination/configurationIndex.ts";
import type {
  Assignment,
  AttemptReport,
  Scheduler,
  Work,
} from "../../src/coordination/scheduling/Scheduler.ts";
import { RequestError } from "../../src/protocol/errors.ts";
import type { RequestContext } from "../../src/protocol/types.ts";
import type { EngineDirectory } from "../../src/state/engineDirectory.ts";
import { latencies, maximumAttempts, unreachableTimeout } from "./constants.ts";
import type { EngineModel } from "./engineModel.ts";
import type { Fleet } from "./fleet.ts";
import type { Arrival, RequestRecord } from "./types.ts";

/** A router as a request meets it. */
export interface RouterModel {
  readonly dataCentre: string;
  readonly scheduler: Scheduler;
  readonly directory: EngineDirectory;
}

/** What requests run in. */
export interface RequestEnvironment {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly index: ConfigurationIndex;
  /** Attempts under way, for faults to end: each ends its attempt as failed. */
  readonly openAttempts: Set<OpenAttempt>;
}

/** An attempt between a router and an engine. */
export interface OpenAttempt {
  readonly from: string;
  readonly to: string;
  readonly fail: () => void;
}

type Ended = AttemptReport["ended"];

interface AttemptParts {
  readonly surroundings: RequestEnvironment;
  readonly router: RouterModel;
  readonly work: Work;
  readonly arrival: Arrival;
  readonly record: RequestRecord;
  readonly signal: AbortSignal;
}

const createContext = (index: ConfigurationIndex, arrival: Arrival, sequence: number): RequestContext => {
  const organisation = index.organisations.get(arrival.organisation);
  const requestClass = index.classes.get(arrival.className);
  if (organisation === undefined || requestClass === undefined) {
    throw new TypeError(`The mix names ${arrival.organisation} or ${arrival.className}, the file does not.`);
  }
  return {
    requestId: String(sequence),
    organisation,
    requestClass,
    idempotent: true,
    idempotencyKey: undefined,
    arrivedAt: arrival.at,
    firstTokenDeadline: arrival.at + requestClass.firstTokenDeadline,
    completionDeadline: arrival.at + requestClass.completionDeadline,
    configurationVersion: index.version,
  };
};

const createWork = (
  index: ConfigurationIndex,
  context: RequestContext,
  arrival: Arrival,
  excluded: ReadonlySet<string>,
  furtherAttempt: boolean,
): Work => ({
  context,
  pools: index.configuration.enginePools.map(({ name }) => name),
  weightsVersions: index.configuration.models.map(({ weightsVersion }) => weightsVersion),
  levels: arrival.levels,
  promptTokens: arrival.promptTokens,
  maximumTokens: arrival.outputTokens,
  excluded,
  alreadyAdmitted: furtherAttempt,
});

/** Runs on the engine until the answer ends, the caller gives up, or the network or the engine fails. */
const runOnEngine = (
  { surroundings, router, work, arrival, record, signal }: AttemptParts,
  priority: number,
  engine: EngineModel,
  latency: number,
  onFirstToken: () => void,
): Promise<{ readonly ended: Ended; readonly cachedTokens: number | undefined }> =>
  new Promise((resolve) => {
    const { clock, fleet, openAttempts } = surroundings;
    let cachedTokens: number | undefined;
    const finish = (ended: Ended): void => {
      openAttempts.delete(attempt);
      signal.removeEventListener("abort", abort);
      resolve({ ended, cachedTokens });
    };
    const cancelled = engine.submit({
      priority,
      levels: work.levels,
      promptTokens: work.promptTokens,
      outputTokens: arrival.outputTokens,
      onStart: (cached) => {
        cachedTokens = cached;
        record.startedTokens += work.promptTokens;
        record.cachedTokens += cached;
        record.wastedTokens += Math.max(0, fleet.cachedAnywhereTokens(work.levels) - cached);
      },
      onFirstToken: () => clock.after(latency, onFirstToken),
      onEnd: (ended) => clock.after(latency, () => finish(ended)),
    });
    const end = (ended: Ended): void => {
      cancelled?.();
      finish(ended);
    };
    const abort = (): void => end("cancelled");
    const attempt = { from: router.dataCentre, to: engine.dataCentre, fail: () => end("failed") };
    if (cancelled === undefined) {
      clock.after(latency, () => finish("failed"));
      return;
    }
    openAttempts.add(attempt);
    signal.addEventListener("abort", abort);
  });

/** Runs one attempt and reports it to the scheduler. */
const runAttempt = async (parts: AttemptParts, assignment: Assignment): Promise<Ended> => {
  const { surroundings, router, work, arrival, record, signal } = parts;
  const { clock, fleet } = surroundings;
  const dispatchedAt = clock.monotonic();
  const engine = fleet.get(assignment.engine.id);
  const latency = router.dataCentre === engine?.dataCentre ? latencies.within : latencies.between;
  let firstTokenAfter: number | undefined;
  const onFirstToken = (): void => {
    firstTokenAfter = clock.monotonic() - dispatchedAt;
    record.firstTokenAfter ??= clock.monotonic() - arrival.at;
    assignment.markFirstToken();
  };

  await pause(clock, latency);
  if (engine === undefined || !fleet.canReach(router.dataCentre, engine.dataCentre)) {
    await pause(clock, unreachableTimeout, signal);
    assignment.release({ ended: "failed", incarnation: undefined, firstTokenAfter, usage: undefined });
    return signal.aborted ? "cancelled" : "failed";
  }
  const { incarnation } = engine.load();
  const priority = assignment.priority ?? work.context.requestClass.priority;
  const { ended, cachedTokens } = await runOnEngine(parts, priority, engine, latency, onFirstToken);
  const usage =
    ended === "finished"
      ? {
          promptTokens: work.promptTokens,
          completionTokens: arrival.outputTokens,
          cachedTokens: cachedTokens ?? 0,
        }
      : undefined;
  assignment.release({ ended, incarnation, firstTokenAfter, usage });
  return ended;
};

const assign = async (parts: AttemptParts): Promise<Assignment | undefined> => {
  const { router, work, record, signal } = parts;
  try {
    return await router.scheduler.assign(work, signal);
  } catch (error) {
    if (!signal.aborted && !(error instanceof RequestError)) throw error;
    record.outcome = signal.aborted ? "late" : "refused";
    return undefined;
  }
};

/**
 * Runs a request to its end, whatever that is.
 *
 * @param sequence - Tells the requests of a run apart.
 */
export const runRequest = async (
  surroundings: RequestEnvironment,
  router: RouterModel,
  arrival: Arrival,
  record: RequestRecord,
  sequence: number,
): Promise<void> => {
  const { clock, index } = surroundings;
  const context = createContext(index, arrival, sequence);
  const caller = new AbortController();
  const { signal } = caller;
  const callOff = clock.after(context.completionDeadline - clock.monotonic(), () => caller.abort());
  const excluded = new Set<string>();
  record.cachedAnywhereTokens = surroundings.fleet.cachedAnywhereTokens(arrival.levels);
  while (record.outcome === "open" && record.attempts < maximumAttempts) {
    const work = createWork(index, context, arrival, excluded, record.attempts > 0);
    const parts = { surroundings, router, work, arrival, record, signal };
    const assignment = await assign(parts);
    if (assignment === undefined) break;
    record.attempts += 1;
    record.assignedAfter ??= clock.monotonic() - arrival.at;
    const ended = await runAttempt(parts, assignment);
    if (ended === "finished") record.outcome = "finished";
    if (ended === "cancelled") record.outcome = "late";
    excluded.add(assignment.engine.id);
    if (ended === "failed") router.directory.markFailed(assignment.engine.id, clock.monotonic());
  }
  if (record.outcome === "open") record.outcome = "failed";
  record.endedAfter = clock.monotonic() - arrival.at;
  callOff();
};
