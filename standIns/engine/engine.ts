/** A stand-in for a model engine: continuous batching, a prompt cache, deterministic text, and faults. */
import { randomUUID } from "node:crypto";
import type { CacheEventPage, EngineLoad } from "../../src/protocol/types.ts";
import { refusal } from "../errors.ts";
import { jsonAnswer, parseBody, startServer, type Answer, type Exchange } from "../httpServer.ts";
import { createHistory } from "../waiting.ts";
import { streamAnswer, wholeAnswer, type AnswerContext } from "./answers.ts";
import { createBlockCache } from "./blockCache.ts";
import { createGeneration, type Generation, type GenerationRequest } from "./generation.ts";
import { createOrderTaker, orderSchema, type EngineCondition } from "./orders.ts";
import { createPrioritySemaphore } from "./prioritySemaphore.ts";
import { readChatRequest, readTextRequest, type ParsedRequest } from "./requests.ts";
import { blockTokens } from "./text.ts";
import {
  faultsSchema,
  settingsSchema,
  type EngineSettings,
  type EngineStandIn,
  type EngineStandInSettings,
  type OrderRecord,
} from "./types.ts";

const startCondition = (settings: EngineSettings): EngineCondition => ({
  incarnation: randomUUID(),
  model: settings.model,
  weightsVersion: settings.weightsVersion,
  adapters: settings.adapters,
  role: settings.role,
  drained: false,
  loading: false,
  highestFencingNumber: -1,
});

const serves = ({ model, adapters }: EngineCondition, wanted: string): boolean => {
  const names = adapters.map((adapter) => adapter.split("@")[0] ?? "");
  return wanted === model || names.some((name) => wanted === name || wanted === `${model}:${name}`);
};

const readFrom = (query: URLSearchParams): number => Math.max(0, Number(query.get("from") ?? 0) || 0);

/** Starts a stand-in of a model engine. */
export const createEngineStandIn = async (input: EngineStandInSettings = {}): Promise<EngineStandIn> => {
  const settings = settingsSchema.parse(input);
  const condition = startCondition(settings);
  const generations: Generation[] = [];
  const orders: OrderRecord[] = [];
  const counts = { crashes: 0, refused: 0, resumed: 0 };
  const attempts = new Map<string, Generation>();
  const createParts = () => ({
    cache: createBlockCache(settings, () => server.faults),
    running: createPrioritySemaphore(settings.maximumRunning),
    prefill: createPrioritySemaphore(1),
  });
  let parts = createParts();

  const active = (): readonly Generation[] => [...attempts.values()].filter(({ ended }) => !ended());
  const leaving = (): boolean => condition.drained || server.faults.leaving;

  const load = (): EngineLoad => ({
    incarnation: condition.incarnation,
    model: condition.model,
    weightsVersion: condition.weightsVersion,
    adapters: condition.adapters,
    role: condition.role,
    running: parts.running.taken(),
    waiting: parts.running.waiting(),
    pendingPromptTokens: active().reduce((sum, { pendingPromptTokens }) => sum + pendingPromptTokens(), 0),
    cachedTokens: parts.cache.size() * blockTokens,
    leaving: leaving(),
  });

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
    const forget = (): void => {
      if (attempts.get(attempt) === generation) attempts.delete(attempt);
    };
    setTimeout(forget, settings.lingerMilliseconds).unref();
  };

  const start = (request: GenerationRequest): Generation => {
    const { incarnation, weightsVersion } = condition;
    const changed = (): void => history.record(load());
    const generation = createGeneration(request, {
      settings,
      incarnation,
      weightsVersion,
      ...parts,
      changed,
    });
    generations.push(generation);
    attempts.set(request.attempt, generation);
    void generation.run().then(() => forgetLater(generation));
    changed();
    return generation;
  };

  const complete = ({ request, stream }: ParsedRequest, { response }: Exchange): Answer | Promise<Answer> => {
    try {
      admit(request);
    } catch (error) {
      counts.refused += 1;
      throw error;
    }
    const generation = start(request);
    return stream ? streamAnswer(generation, 0, context, response) : wholeAnswer(generation, context);
  };

  const findAttempt = ({ parameters }: Exchange): Generation => {
    const generation = attempts.get(parameters.id ?? "");
    if (generation === undefined) throw refusal(404, "unknown_attempt", true);
    return generation;
  };

  const resume = (exchange: Exchange): Answer => {
    const generation = findAttempt(exchange);
    counts.resumed += 1;
    return streamAnswer(generation, readFrom(exchange.query), context, exchange.response);
  };

  const cancel = (exchange: Exchange): Answer => {
    findAttempt(exchange).stop("cancelled");
    return { status: 204, headers: {}, body: "" };
  };

  const abortAnswers = (): void => {
    for (const generation of active()) generation.stop("aborted");
    attempts.clear();
  };

  const crash = (except?: Exchange): void => {
    server.cutConnections(except?.request);
    abortAnswers();
    parts = createParts();
    const { model, weightsVersion } = condition;
    Object.assign(condition, startCondition(settings), { model, weightsVersion });
    counts.crashes += 1;
    history.record(load());
  };

  const readEvents = ({ query }: Exchange): Answer => {
    const [events, nextSequence] = parts.cache.events(readFrom(query));
    const page: CacheEventPage = { incarnation: condition.incarnation, events, nextSequence };
    return jsonAnswer(page);
  };

  const executions = () => generations.map(({ execution }) => execution());
  const state = (): Record<string, unknown> => {
    const { adapters, ...current } = load();
    return { ...counts, ...current, executions: generations.length, orders: orders.length, adapters };
  };

  const server = await startServer({
    ...settings,
    faultsSchema,
    state,
    routes: [
      {
        method: "POST",
        path: "/v1/chat/completions",
        handler: (call) => complete(readChatRequest(call), call),
      },
      { method: "POST", path: "/v1/completions", handler: (call) => complete(readTextRequest(call), call) },
      { method: "POST", path: "/v1/attempts/:id/resume", handler: resume },
      { method: "POST", path: "/v1/attempts/:id/cancel", handler: cancel },
      { method: "GET", path: "/load", handler: () => jsonAnswer(readLoad()), polled: true },
      { method: "GET", path: "/cache-events", handler: readEvents, polled: true },
      {
        method: "POST",
        path: "/orders",
        handler: async ({ body }) => {
          await takeOrder(parseBody(orderSchema, body));
          return jsonAnswer({});
        },
      },
      {
        method: "POST",
        path: "/stand-in/crash",
        handler: (call) => {
          crash(call);
          return jsonAnswer({ incarnation: condition.incarnation });
        },
      },
      {
        method: "GET",
        path: "/stand-in/executions",
        handler: () => jsonAnswer({ executions: executions() }),
      },
      { method: "GET", path: "/stand-in/orders", handler: () => jsonAnswer({ orders }) },
    ],
  });

  const context: AnswerContext = { faults: server.faults, closed: server.closed, crash };
  const history = createHistory(load());
  const readLoad = (): EngineLoad =>
    server.faults.loadLagMilliseconds === 0 ? load() : history.read(server.faults.loadLagMilliseconds);
  const takeOrder = createOrderTaker(
    {
      settings,
      condition,
      cache: () => parts.cache,
      closed: server.closed,
      abortAnswers,
      changed: () => history.record(load()),
    },
    orders,
  );

  return {
    ...server,
    kind: "engine",
    name: settings.name,
    state,
    crash: () => crash(),
    executions,
    orders: () => orders,
    load,
    [Symbol.asyncDispose]: async () => {
      abortAnswers();
      await server[Symbol.asyncDispose]();
    },
  };
};
