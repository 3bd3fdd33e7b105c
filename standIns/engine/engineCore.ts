/** The engine stand-in without its HTTP form: what it runs, holds and believes. */
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

/** What the engine's calls work on. */
export interface EngineCore {
  readonly condition: EngineState;
  readonly cache: () => BlockCache;
  readonly load: () => EngineLoad;
  /** The load as it was told so long ago. */
  readonly laggedLoad: (lagMilliseconds: number) => EngineLoad;
  /** Records a change that the load shows. */
  readonly changed: () => void;
  /** Accepts a request and starts it; throws a `RefusalError` that says why not. */
  readonly start: (request: GenerationRequest) => Generation;
  /** Throws a `RefusalError` for an attempt that is not, or no longer, known. */
  readonly findAttempt: (attempt: string) => Generation;
  readonly abortAnswers: () => void;
  /** Forgets everything but the weights, the faults and the ledger of executions. */
  readonly reset: () => void;
  readonly executions: () => readonly Execution[];
}

const startCondition = (settings: EngineSettings): EngineState => ({
  incarnation: randomUUID(),
  model: settings.model,
  weightsVersion: settings.weightsVersion,
  adapters: settings.adapters,
  role: settings.role,
  drained: false,
  loading: false,
  highestFencingNumber: -1,
});

const serves = ({ model, adapters }: EngineState, wanted: string): boolean => {
  const names = adapters.map((adapter) => adapter.split("@")[0] ?? "");
  return wanted === model || names.some((name) => wanted === name || wanted === `${model}:${name}`);
};

/** Creates an idle engine. */
export const createEngineCore = (
  settings: EngineSettings,
  faults: () => Pick<EngineStandInFaults, "leaving" | "eventDelayMilliseconds" | "eventLossRatio">,
): EngineCore => {
  const condition = startCondition(settings);
  const generations: Generation[] = [];
  const attempts = new Map<string, Generation>();
  const active = new Set<Generation>();
  const createParts = () => ({
    cache: createBlockCache(settings, faults),
    running: createPrioritySemaphore(settings.maximumRunning),
    prefill: createPrioritySemaphore(1),
  });
  let parts = createParts();

  const leaving = (): boolean => condition.drained || faults().leaving;

  const countPending = (): number => {
    let tokens = 0;
    for (const generation of active) tokens += generation.pendingPromptTokens();
    return tokens;
  };

  const load = (): EngineLoad => ({
    incarnation: condition.incarnation,
    model: condition.model,
    weightsVersion: condition.weightsVersion,
    adapters: condition.adapters,
    role: condition.role,
    running: parts.running.taken(),
    waiting: parts.running.waiting(),
    pendingPromptTokens: countPending(),
    cachedTokens: parts.cache.size() * blockTokens,
    leaving: leaving(),
  });
  const history = createHistory(load());
  const changed = (): void => history.record(load());

  const admit = ({ model, organisation }: GenerationRequest): void => {
    if (settings.identity === "checked" && organisation === undefined) {
      throw refusal(401, "identity_required", true);
    }
    if (!serves(condition, model)) throw refusal(404, "unknown_model", true);
    if (condition.loading) throw refusal(503, "loading", true);
    if (leaving()) throw refusal(503, "leaving", true);
    const full = parts.running.taken() >= settings.maximumRunning;
    if (full && parts.running.waiting() >= settings.maximumWaiting) throw refusal(503, "overloaded", true);
  };

  const forgetLater = (generation: Generation): void => {
    const { attempt } = generation.request;
    active.delete(generation);
    const forget = (): void => {
      if (attempts.get(attempt) === generation) attempts.delete(attempt);
    };
    setTimeout(forget, settings.lingerMilliseconds).unref();
  };

  const start = (request: GenerationRequest): Generation => {
    admit(request);
    const { incarnation, weightsVersion } = condition;
    const generation = createGeneration(request, {
      settings,
      incarnation,
      weightsVersion,
      ...parts,
      changed,
    });
    generations.push(generation);
    attempts.set(request.attempt, generation);
    active.add(generation);
    void generation.run().then(() => forgetLater(generation));
    changed();
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
    parts = createParts();
    const { model, weightsVersion } = condition;
    Object.assign(condition, startCondition(settings), { model, weightsVersion });
    changed();
  };

  const laggedLoad = (lagMilliseconds: number): EngineLoad => {
    // Switches and time change the load unannounced.
    changed();
    return lagMilliseconds === 0 ? load() : history.read(lagMilliseconds);
  };

  return {
    condition,
    cache: () => parts.cache,
    load,
    laggedLoad,
    changed,
    start,
    findAttempt,
    abortAnswers,
    reset,
    executions: () => generations.map(({ execution }) => execution()),
  };
};
