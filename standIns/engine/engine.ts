/** A stand-in for a model engine: continuous batching, a prompt cache, deterministic text, and faults. */
import type { CacheEventPage } from "../../src/protocol/types.ts";
import { jsonAnswer, parseBody, startServer, type Answer, type Exchange } from "../httpServer.ts";
import { streamAnswer, wholeAnswer, type AnswerContext } from "./answers.ts";
import { createEngineCore } from "./engineCore.ts";
import { createOrderExecutor, orderSchema } from "./orders.ts";
import { readChatRequest, readTextRequest, type ParsedRequest } from "./requests.ts";
import { faultsSchema, settingsSchema, type EngineStandIn, type EngineStandInSettings } from "./types.ts";

const readFrom = (query: URLSearchParams): number => Math.max(0, Number(query.get("from") ?? 0) || 0);

/** Starts a stand-in of a model engine. */
export const createEngineStandIn = async (input: EngineStandInSettings = {}): Promise<EngineStandIn> => {
  const settings = settingsSchema.parse(input);
  const counts = { crashes: 0, resumes: 0 };
  const faults = faultsSchema.parse({});
  const core = createEngineCore(settings, () => faults);

  const complete = ({ request, stream }: ParsedRequest, { response }: Exchange): Answer | Promise<Answer> => {
    const generation = core.start(request);
    return stream ? streamAnswer(generation, 0, context, response) : wholeAnswer(generation, context);
  };

  const resume = ({ parameters, query, response }: Exchange): Answer => {
    const generation = core.findAttempt(parameters.id ?? "");
    counts.resumes += 1;
    return streamAnswer(generation, readFrom(query), context, response);
  };

  const cancel = ({ parameters }: Exchange): Answer => {
    core.findAttempt(parameters.id ?? "").stop("cancelled");
    return { status: 204, headers: {}, body: "" };
  };

  const readEvents = ({ query }: Exchange): Answer => {
    const [events, nextSequence] = core.cache().events(readFrom(query));
    const page: CacheEventPage = { incarnation: core.condition.incarnation, events, nextSequence };
    return jsonAnswer(page);
  };

  const order = async ({ body }: Exchange): Promise<Answer> => {
    await orders.execute(parseBody(orderSchema, body));
    return jsonAnswer({});
  };

  const crash = (except?: Exchange): Answer => {
    server.cutConnections(except?.request);
    core.reset();
    counts.crashes += 1;
    return jsonAnswer({ incarnation: core.condition.incarnation });
  };

  const state = (): Record<string, unknown> => ({
    ...counts,
    ...core.load(),
    executions: core.executions().length,
    orders: orders.records.length,
  });
  const readExecutions = (): Answer => jsonAnswer({ executions: core.executions() });

  const server = await startServer({
    ...settings,
    faults,
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
      {
        method: "GET",
        path: "/load",
        handler: () => jsonAnswer(core.laggedLoad(faults.loadLagMilliseconds)),
        polled: true,
      },
      { method: "GET", path: "/cache-events", handler: readEvents, polled: true },
      { method: "POST", path: "/orders", handler: order },
      { method: "POST", path: "/stand-in/crash", handler: crash },
      { method: "GET", path: "/stand-in/executions", handler: readExecutions },
      { method: "GET", path: "/stand-in/orders", handler: () => jsonAnswer({ orders: orders.records }) },
    ],
  });
  const context: AnswerContext = { faults, closed: server.closed, crash };
  const orders = createOrderExecutor({ ...core, settings, closed: server.closed });

  return {
    ...server,
    kind: "engine",
    name: settings.name,
    state,
    crash: () => void crash(),
    executions: core.executions,
    orders: () => orders.records,
    load: core.load,
    [Symbol.asyncDispose]: async () => {
      core.abortAnswers();
      await server[Symbol.asyncDispose]();
    },
  };
};
