/** A caller that goes from router to router, as one behind the platform's balancer does. */
import { randomUUID } from "node:crypto";
import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";
import { demoKey } from "../../demo/processes.ts";
import { headers, outcomes } from "../../src/protocol/constants.ts";

const maximumTries = 12;
const longestAnswer = 20_000;

/** What to ask. */
export interface CallerRequest {
  readonly path: string;
  readonly organisation?: string;
  readonly body: object;
  readonly requestClass?: string;
  /** Marks the request non-idempotent. */
  readonly key?: string;
}

/** The end of a request, or of one try. */
export interface CallerResult {
  readonly router: string;
  /** `answered`, an outcome of the router's, or `cut` where the connection failed under way. */
  readonly outcome: string;
  /** The stable code of a failure. */
  readonly code: string;
  readonly status: number;
  /** The text of a stream, or the body. */
  readonly text: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Sends requests. */
export interface Caller extends AsyncDisposable {
  /** One request to one router. */
  readonly send: (router: string, asked: CallerRequest) => Promise<CallerResult>;
  /** Goes on to another router as long as the answer is a true "not run"; gives the last answer. */
  readonly sendWithRetries: (asked: CallerRequest) => Promise<CallerResult>;
}

/** A key as callers make it. */
export const newKey = (): string => `${Date.now()}-${randomUUID()}`;

/** A streamed question. */
export const streamedQuestion = (question: string, maximumTokens: number): CallerRequest => ({
  path: "/v1/chat/completions",
  body: {
    model: "records-assistant",
    stream: true,
    max_tokens: maximumTokens,
    ignore_eos: true,
    messages: [{ role: "user", content: question }],
  },
});

/** A sign-off that may run at most once. */
export const signOff = (key: string, attendant = 17): CallerRequest => ({
  path: "/services/records-desk/sign-offs",
  body: { attendant },
  key,
});

interface ErrorBody {
  readonly error?: { readonly code?: string; readonly outcome?: string };
}

const readStream = (text: string): { readonly text: string; readonly end: string; readonly code: string } => {
  let content = "";
  let end = "cut";
  let code = "";
  const parser = createParser({
    onEvent: ({ event, data }) => {
      if (event === "error") {
        const { error } = JSON.parse(data) as ErrorBody;
        end = error?.outcome ?? "";
        code = error?.code ?? "";
      } else if (data === "[DONE]") end = "answered";
      else {
        const chunk = JSON.parse(data) as { choices: { delta?: { content?: string } }[] };
        content += chunk.choices[0]?.delta?.content ?? "";
      }
    },
  });
  parser.feed(text);
  return { text: content, end, code };
};

const readError = (text: string): ErrorBody => {
  try {
    return JSON.parse(text) as ErrorBody;
  } catch {
    return {};
  }
};

const callHeaders = (asked: CallerRequest): Record<string, string> => ({
  authorization: `Bearer ${demoKey(asked.organisation ?? "petra-wings")}`,
  "content-type": "application/json",
  ...(asked.requestClass === undefined ? {} : { [headers.requestClass]: asked.requestClass }),
  ...(asked.key === undefined ? {} : { [headers.idempotent]: "false", [headers.idempotencyKey]: asked.key }),
});

const codeOf = (error: unknown): string => (error as { code?: string }).code ?? String(error);

/**
 * Makes a caller.
 *
 * @param routers - The URLs of the routers that the balancer knows.
 */
export const createCaller = (routers: () => readonly string[]): Caller => {
  const agent = new Agent({ pipelining: 1 });
  /** Routers that said that they are ending. */
  const left = new Set<string>();
  let turn = 0;

  const send = async (router: string, asked: CallerRequest): Promise<CallerResult> => {
    const failed = { router, status: 0, text: "", headers: {} };
    let status: number;
    let text = "";
    let answerHeaders;
    try {
      const answer = await request(`${router}${asked.path}`, {
        method: "POST",
        headers: callHeaders(asked),
        body: JSON.stringify(asked.body),
        dispatcher: agent,
        signal: AbortSignal.timeout(longestAnswer),
      });
      status = answer.statusCode;
      answerHeaders = answer.headers;
      for await (const chunk of answer.body) text += (chunk as Buffer).toString("utf8");
    } catch (error) {
      const code = codeOf(error);
      // Nothing was sent where there was no connection.
      if (code === "ECONNREFUSED") return { ...failed, outcome: outcomes.notRun, code };
      return { ...failed, outcome: "cut", code, text: readStream(text).text };
    }
    const shown = { router, status, headers: answerHeaders };
    if (status !== 200) {
      const { error } = readError(text);
      return { ...shown, text, outcome: error?.outcome ?? "untyped", code: error?.code ?? "" };
    }
    const isStream = String(answerHeaders["content-type"]).startsWith("text/event-stream");
    if (!isStream) return { ...shown, text, outcome: "answered", code: "" };
    const stream = readStream(text);
    return { ...shown, text: stream.text, outcome: stream.end, code: stream.code };
  };

  const ask = async (asked: CallerRequest): Promise<CallerResult> => {
    for (let tries = 1; ; tries += 1) {
      const known = routers().filter((router) => !left.has(router));
      turn += 1;
      const result = await send(known[turn % known.length] ?? "", asked);
      if (result.code === "shutting_down") left.add(result.router);
      if (result.outcome !== outcomes.notRun || tries === maximumTries) return result;
    }
  };

  return { send, sendWithRetries: ask, [Symbol.asyncDispose]: () => agent.destroy() };
};
