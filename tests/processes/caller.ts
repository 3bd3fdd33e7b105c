/** A test client that spreads its requests over the routers in turn, as the platform's load balancer does. */
import { randomUUID } from "node:crypto";
import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";
import { demoKey } from "../../demo/processes.ts";
import { headers, outcomes } from "../../src/protocol/constants.ts";

const maxAttempts = 12;
const requestTimeout = 20_000;

/** A request to send. */
export interface CallerRequest {
  readonly path: string;
  readonly organisation?: string;
  readonly body: object;
  readonly requestClass?: string;
  /** The idempotency key; its presence marks the request as non-idempotent. */
  readonly key?: string;
}

/** The result of a request, or of a single attempt. */
export interface CallerResult {
  readonly router: string;
  /** `answered`, the outcome that the router stated, or `cut` if the connection broke while the request ran. */
  readonly outcome: string;
  /** The error code of a failure; empty if there was none. */
  readonly code: string;
  readonly status: number;
  /** The concatenated content of a stream, or the response body. */
  readonly text: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

export interface Caller extends AsyncDisposable {
  /** Sends the request once, to the given router. */
  readonly send: (router: string, callerRequest: CallerRequest) => Promise<CallerResult>;
  /** Retries at the next router while the outcome is `not_run`, up to a limit, and returns the last result. */
  readonly sendWithRetries: (callerRequest: CallerRequest) => Promise<CallerResult>;
}

/** @returns A new idempotency key: the time in milliseconds and a random UUID. */
export const newKey = (): string => `${Date.now()}-${randomUUID()}`;

/** @returns A streamed chat completion request. */
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

/** @returns A non-idempotent request to the sign-off service, which may run at most once. */
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

const requestHeaders = (callerRequest: CallerRequest): Record<string, string> => ({
  authorization: `Bearer ${demoKey(callerRequest.organisation ?? "petra-wings")}`,
  "content-type": "application/json",
  ...(callerRequest.requestClass === undefined ? {} : { [headers.requestClass]: callerRequest.requestClass }),
  ...(callerRequest.key === undefined
    ? {}
    : { [headers.idempotent]: "false", [headers.idempotencyKey]: callerRequest.key }),
});

const errorCodeOf = (error: unknown): string => (error as { code?: string }).code ?? String(error);

/**
 * Creates a caller.
 *
 * @param routers - Returns the URLs of the routers that requests are spread over.
 */
export const createCaller = (routers: () => readonly string[]): Caller => {
  const agent = new Agent({ pipelining: 1 });
  /** Routers that answered `shutting_down`; they get no further requests. */
  const shuttingDown = new Set<string>();
  let roundRobinIndex = 0;

  const send = async (router: string, callerRequest: CallerRequest): Promise<CallerResult> => {
    const failed = { router, status: 0, text: "", headers: {} };
    let status: number;
    let text = "";
    let answerHeaders;
    try {
      const answer = await request(`${router}${callerRequest.path}`, {
        method: "POST",
        headers: requestHeaders(callerRequest),
        body: JSON.stringify(callerRequest.body),
        dispatcher: agent,
        signal: AbortSignal.timeout(requestTimeout),
      });
      status = answer.statusCode;
      answerHeaders = answer.headers;
      for await (const chunk of answer.body) text += (chunk as Buffer).toString("utf8");
    } catch (error) {
      const code = errorCodeOf(error);
      // The request can't have run, since no connection was made.
      if (code === "ECONNREFUSED") return { ...failed, outcome: outcomes.notRun, code };
      return { ...failed, outcome: "cut", code, text: readStream(text).text };
    }
    const common = { router, status, headers: answerHeaders };
    if (status !== 200) {
      const { error } = readError(text);
      return { ...common, text, outcome: error?.outcome ?? "untyped", code: error?.code ?? "" };
    }
    const isStream = String(answerHeaders["content-type"]).startsWith("text/event-stream");
    if (!isStream) return { ...common, text, outcome: "answered", code: "" };
    const stream = readStream(text);
    return { ...common, text: stream.text, outcome: stream.end, code: stream.code };
  };

  const sendWithRetries = async (callerRequest: CallerRequest): Promise<CallerResult> => {
    for (let attempt = 1; ; attempt += 1) {
      const available = routers().filter((router) => !shuttingDown.has(router));
      roundRobinIndex += 1;
      const result = await send(available[roundRobinIndex % available.length] ?? "", callerRequest);
      if (result.code === "shutting_down") shuttingDown.add(result.router);
      if (result.outcome !== outcomes.notRun || attempt === maxAttempts) return result;
    }
  };

  return { send, sendWithRetries, [Symbol.asyncDispose]: () => agent.destroy() };
};
