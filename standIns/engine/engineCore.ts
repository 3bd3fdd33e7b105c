/** The engine stand-in without its HTTP interface: its generations, its cache and its state. */
import { randomUUID } from "node:crypto";
import type { EngineLoad } from "../../src/protocol/types.ts";
import { refusal } from "../errors.ts";
import { createHistory } from "../waiting.ts";
import { createBlockCache, type BlockCache } from "./blockCache.ts";
import { createGeneration, type Generation, type GenerationRequest } from "./generation.ts";
import type { EngineState } from "./orders.ts";
import { createPrioritySemaphore } from "./prioritySemaphore.ts";
import { blockTokens } from "./text.ts";
import type { EngineSettings, EngineStandInFaults, Execution } from "./types.ts";

/** The operations behind the engine's HTTP routes. */
export interface EngineCore {
  readonly state: EngineState;
  readonly cache: () => BlockCache;
  readonly load: () => EngineLoad;
  /** The load as it was reported `lagMilliseconds` ago. */
  readonly laggedLoad: (lagMilliseconds: number) => EngineLoad;
  /** Adds the current load to the history that {@link EngineCore.laggedLoad} reads. */
  readonly recordChange: () => void;
  /** Accepts a request and starts its generation; throws a `RefusalError` with the reason if it cannot. */
  readonly start: (request: GenerationRequest) => Generation;
  /** Throws a `RefusalError` for an attempt that is unknown or no longer kept. */
  readonly findAttempt: (attempt: string) => Generation;
  readonly abortAnswers: () => void;
  /** Resets the engine as a crash does: only the weights, the faults and the list of executions remain. */
  readonly reset: () => void;
  readonly executions: () => readonly Execution[];
}

const createInitialState = (settings: EngineSettings): EngineState => ({
  incarnation: randomUUID(),
  model: settings.model,
  weightsVersion: settings.weightsVersion,
  adapters: settings.adapters,
  role: settings.role,
  drained: false,
  loading: false,
  highestFencingNumber: -1,
});

const servesModel = ({ model, adapters }: EngineState, wanted: string): boolean => {
  const names = adapters.map((adapter) => adapter.split("@")[0] ?? "");
  return wanted === model || names.some((name) => wanted === name || wanted === `${model}:${name}`);
};

/**
 * Creates an idle engine.
 *
 * @param faults - Returns the fault switches as they are now.
 */
export const createEngineCore = (
  settings: EngineSettings,
  faults: () => Pick<EngineStandInFaults, "leaving" | "eventDelayMilliseconds" | "eventLossRatio">,
): EngineCore => {
  const state = createInitialState(settings);
  const generations: Generation[] = [];
  const attempts = new Map<string, Generation>();
  const active = new Set<Generation>();
  const createRuntime = () => ({
    cache: createBlockCache(settings, faults),
    running: createPrioritySemaphore(settings.maximumRunning),
    prefill: createPrioritySemaphore(1),
  });
  let runtime = createRuntime();

  const leaving = (): boolean => state.drained || faults().leaving;

  const countPending = (): number => {
    let tokens = 0;
    for (const generation of active) tokens += generation.pendingPromptTokens();
    return tokens;
  };

  const load = (): EngineLoad => ({
    incarnation: state.incarnation,
    model: state.model,
    weightsVersion: state.weightsVersion,
    adapters: state.adapters,
    role: state.role,
    running: runtime.running.acquired(),
    waiting: runtime.running.waiting(),
    pendingPromptTokens: countPending(),
    cachedTokens: runtime.cache.size() * blockTokens,
    leaving: leaving(),
  });
  const history = createHistory(load());
  const recordChange = (): void => history.record(load());

  const checkAdmission = ({ model, organisation }: GenerationRequest): void => {
    if (settings.identity === "checked" && organisation === undefined) {
      throw refusal(401, "identity_required", true);
    }
    if (!servesModel(state, model)) throw refusal(404, "unknown_model", true);
    if (state.loading) throw refusal(503, "loading", true);
    if (leaving()) throw refusal(503, "leaving", true);
    const full = runtime.running.acquired() >= settings.maximumRunning;
    if (full && runtime.running.waiting() >= settings.maximumWaiting) throw refusal(503, "overloaded", true);
  };

  const scheduleForget = (generation: Generation): void => {
    const { attempt } = generation.request;
    active.delete(generation);
    const forget = (): void => {
      if (attempts.get(attempt) === generation) attempts.delete(attempt);
    };
    setTimeout(forget, settings.lingerMilliseconds).unref();
  };

  const start = (request: GenerationRequest): Generation => {
    checkAdmission(request);
    const { incarnation, weightsVersion } = state;
    const generation = createGeneration(request, {
      settings,
      incarnation,
      weightsVersion,
      ...runtime,
      recordChange,
    });
    generations.push(generation);
    attempts.set(request.attempt, generation);
    active.add(generation);
    void generation.run().then(() => scheduleForget(generation));
    recordChange();
    return generation;
  };

  const findAttempt = (attempt: string): Generation => {
    const generation = attempts.get(attempt);
    if (generation === undefined) throw refusal(404, "unknown_attempt", true);
    return generation;
  };

  const abortAnswers = (): void => {
    for (const generation of active) generation.stop("aborted");
    attempts.clear();
  };

  const reset = (): void => {
    abortAnswers();
    runtime = createRuntime();
    const { model, weightsVersion } = state;
    Object.assign(state, createInitialState(settings), { model, weightsVersion });
    recordChange();
  };

  const laggedLoad = (lagMilliseconds: number): EngineLoad => {
    // Fault switches and cache evictions change the load without a call of `recordChange`.
    recordChange();
    return lagMilliseconds === 0 ? load() : history.read(lagMilliseconds);
  };

  return {
    state,
    cache: () => runtime.cache,
    load,
    laggedLoad,
    recordChange,
    start,
    findAttempt,
    abortAnswers,
    reset,
    executions: () => generations.map(({ execution }) => execution()),
  };
};
