/** Sends the requests of a session to routers, and collects what their answers say. */
import { randomUUID } from "node:crypto";
import { createParser } from "eventsource-parser";
import { headers } from "../src/protocol/constants.ts";
import { demoKey } from "./processes.ts";
import type { System } from "./processes.ts";
import type { SessionStep } from "./sessions.ts";

/** The result of a step. Times are in milliseconds. */
export interface StepResult {
  readonly router: string;
  readonly organisation: string;
  readonly requestClass: string;
  readonly upstream: string;
  readonly promptTokens: number | undefined;
  readonly cachedTokens: number | undefined;
  readonly timeToFirstToken: number;
  readonly outcome: string;
  readonly text: string;
}

interface StreamResult {
  text: string;
  promptTokens: number | undefined;
  cachedTokens: number | undefined;
  timeToFirstToken: number;
  isComplete: boolean;
}

interface Chunk {
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
  readonly usage?: {
    readonly prompt_tokens: number;
    readonly prompt_tokens_details?: { readonly cached_tokens?: number };
  };
}

const endMark = "[DONE]";

const addChunk = (result: StreamResult, chunk: Chunk, elapsed: number): void => {
  const content = chunk.choices?.[0]?.delta?.content ?? "";
  if (content !== "" && result.text === "") result.timeToFirstToken = elapsed;
  result.text += content;
  if (chunk.usage === undefined) return;
  result.promptTokens = chunk.usage.prompt_tokens;
  result.cachedTokens = chunk.usage.prompt_tokens_details?.cached_tokens;
};

const readStream = async (body: ReadableStream<Uint8Array>, startedAt: number): Promise<StreamResult> => {
  const result: StreamResult = {
    text: "",
    promptTokens: undefined,
    cachedTokens: undefined,
    timeToFirstToken: 0,
    isComplete: false,
  };
  const parser = createParser({
    onEvent: ({ data, event }) => {
      if (data === endMark) result.isComplete = true;
      else if (event !== "error") addChunk(result, JSON.parse(data) as Chunk, performance.now() - startedAt);
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of body) parser.feed(decoder.decode(bytes, { stream: true }));
  return result;
};

const stepHeaders = (step: SessionStep): Record<string, string> => ({
  authorization: `Bearer ${demoKey(step.organisation)}`,
  "content-type": "application/json",
  [headers.requestClass]: step.requestClass,
  ...(step.once === true
    ? { [headers.idempotent]: "false", [headers.idempotencyKey]: `${Date.now()}-${randomUUID()}` }
    : {}),
});

/**
 * Sends one step to a router.
 *
 * @param router - The router's name.
 * @param url - The router's base URL.
 */
export const playStep = async (step: SessionStep, router: string, url: string): Promise<StepResult> => {
  const startedAt = performance.now();
  const answer = await fetch(`${url}${step.path}`, {
    method: "POST",
    headers: stepHeaders(step),
    body: JSON.stringify(step.body),
  });
  const { organisation, requestClass } = step;
  const shared = { router, organisation, requestClass, upstream: answer.headers.get(headers.upstream) ?? "" };
  const isStream = answer.headers.get("content-type")?.startsWith("text/event-stream") === true;
  if (isStream && answer.body !== null) {
    const { isComplete, ...result } = await readStream(answer.body, startedAt);
    return { ...shared, ...result, outcome: isComplete ? "complete" : "failed" };
  }
  const text = await answer.text();
  const outcome = answer.ok ? "complete" : (answer.headers.get(headers.outcome) ?? `status ${answer.status}`);
  const timeToFirstToken = performance.now() - startedAt;
  return { ...shared, promptTokens: undefined, cachedTokens: undefined, timeToFirstToken, outcome, text };
};

/** Sends steps one after another, to the routers in turn. */
export const playSession = async (
  system: System,
  steps: readonly SessionStep[],
): Promise<readonly StepResult[]> => {
  const routers = system.routers();
  const results: StepResult[] = [];
  for (const [index, step] of steps.entries()) {
    const router = routers[index % routers.length];
    if (router !== undefined) results.push(await playStep(step, router.name, router.process.url));
  }
  return results;
};
