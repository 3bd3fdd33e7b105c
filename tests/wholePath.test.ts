/** Requests through router and upstream, in all forms that callers use. */
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import OpenAI from "openai";
import { headers } from "../src/protocol/constants.ts";
import { operatorKey, startLocalSystem } from "./support/localSystem.ts";
import type { LocalSystem } from "./support/localSystem.ts";

const question = {
  model: "records-assistant",
  max_tokens: 6,
  messages: [
    { role: "system" as const, content: "Rule 1: a record is valid for twelve months." },
    { role: "user" as const, content: "Is attendant 17 current?" },
  ],
};

const clientFor = (system: LocalSystem): OpenAI =>
  new OpenAI({
    baseURL: `${system.routers[0]?.url ?? ""}/v1`,
    apiKey: "demo-key-petra-wings",
    maxRetries: 0,
  });

/** @returns Status, code and outcome of an error response. */
const readRefusal = async (answer: Response) => {
  const body = (await answer.json()) as {
    readonly error: { readonly code: string; readonly outcome: string };
  };
  return [answer.status, body.error.code, body.error.outcome] as const;
};

describe("a request through router and upstream", () => {
  it("gives an unmodified OpenAI client the same text with and without streaming", async () => {
    await using system = await startLocalSystem();
    const client = clientFor(system);
    const whole = await client.chat.completions.create(question);
    const stream = await client.chat.completions.create({ ...question, stream: true });
    let text = "";
    for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? "";
    expect(whole.choices[0]?.message.content).toEqual(text);
    expect(text.length).toBeGreaterThan(0);
    expect(whole.choices[0]?.finish_reason).toEqual("length");
    expect(whole.usage?.completion_tokens).toEqual(6);
  });

  it("lists the models of the caller's organisation", async () => {
    await using system = await startLocalSystem();
    const models = await clientFor(system).models.list();
    expect(models.data.map((model) => model.id)).toEqual(["records-assistant"]);
  });

  it("answers text completions", async () => {
    await using system = await startLocalSystem();
    const answer = await clientFor(system).completions.create({
      model: "records-assistant",
      prompt: "Rules.\n\nIs attendant 17 current?",
      max_tokens: 3,
    });
    expect(answer.choices[0]?.text ?? "").toMatchRegex(/^ \w/);
  });

  it("names request, configuration and engine in the answer's headers", async () => {
    await using system = await startLocalSystem();
    const answer = await system.call("/v1/chat/completions", { body: question });
    await answer.text();
    expect(answer.headers.get(headers.configurationVersion)).toEqual("0");
    expect(answer.headers.get(headers.upstream) ?? "").toMatchRegex(/^records-assistant-\d$/);
    expect(answer.headers.get(headers.requestId) ?? "").toMatchRegex(/^[0-9a-f-]{36}$/);
  });

  it("keeps an organisation's prompt cache apart from its rivals", async () => {
    await using system = await startLocalSystem({ engines: 1 });
    const body = {
      ...question,
      messages: [{ role: "system", content: "A long rule. ".repeat(50) }, ...question.messages],
    };
    const cached = async (organisation: string): Promise<string | null> => {
      const answer = await system.call("/v1/chat/completions", { organisation, body });
      await answer.text();
      return answer.headers.get(headers.cachedTokens);
    };
    expect(await cached("petra-wings")).toEqual("0");
    expect(Number(await cached("petra-wings"))).toBeGreaterThan(100);
    expect(await cached("royal-desert-air")).toEqual("0");
  });

  it("calls plain services, and runs a sign-off once for an idempotency key", async () => {
    await using system = await startLocalSystem({ services: 2 });
    const key = `${Date.now()}-key-of-this-test`;
    const signOff = () =>
      system.call("/services/records-desk/sign-offs", {
        body: { attendant: 17 },
        headers: { [headers.idempotencyKey]: key },
      });
    const first = await signOff();
    expect(first.status).toEqual(200);
    const second = await signOff();
    expect([second.status, await second.text()]).toEqual([200, await first.text()]);
    const executions = system.services.flatMap((service) => service.executions());
    expect(executions.length).toEqual(1);
  });

  it("cancels the engine's execution when the caller aborts", async () => {
    await using system = await startLocalSystem({ engines: 1, engineSettings: { tokenMilliseconds: 20 } });
    const controller = new AbortController();
    const body = { ...question, stream: true, max_tokens: 500, ignore_eos: true };
    const answer = await system.call("/v1/chat/completions", { body, signal: controller.signal });
    await answer.body?.getReader().read();
    controller.abort();
    const [engine] = system.engines;
    while (engine?.executions()[0]?.state === "running") await sleep(5);
    expect(engine?.executions()[0]?.state).toEqual("cancelled");
  });
});

describe("invalid input", () => {
  const cases: readonly (readonly [string, string, object, readonly [number, string, string]])[] = [
    ["malformed JSON", "/v1/chat/completions", { body: "{" }, [400, "invalid_body", "not_run"]],
    [
      "no messages",
      "/v1/chat/completions",
      { body: { model: "records-assistant" } },
      [400, "invalid_body", "not_run"],
    ],
    [
      "an unknown model",
      "/v1/chat/completions",
      { body: { ...question, model: "nothing" } },
      [404, "unknown_model", "not_run"],
    ],
    [
      "another deployment's model",
      "/v1/chat/completions",
      { body: { ...question, model: "modelli" } },
      [404, "unknown_model", "not_run"],
    ],
    [
      "a field that would raise its priority",
      "/v1/chat/completions",
      { body: { ...question, priority: -100 } },
      [400, "unsupported_field", "not_run"],
    ],
    [
      "a wrong key",
      "/v1/chat/completions",
      { body: question, headers: { authorization: "Bearer wrong" } },
      [401, "invalid_api_key", "not_run"],
    ],
    [
      "an unknown class",
      "/v1/chat/completions",
      { body: question, headers: { [headers.requestClass]: "nothing" } },
      [400, "unknown_class", "not_run"],
    ],
    [
      "a malformed header",
      "/v1/chat/completions",
      { body: question, headers: { [headers.idempotent]: "perhaps" } },
      [400, "invalid_header", "not_run"],
    ],
    [
      "a sign-off without a key",
      "/services/records-desk/sign-offs",
      { body: {} },
      [400, "missing_idempotency_key", "not_run"],
    ],
    ["an unknown service", "/services/nothing/x", {}, [404, "unknown_service", "not_run"]],
    ["an unknown route", "/v2/nothing", {}, [404, "unknown_route", "not_run"]],
    [
      "an over-long body",
      "/v1/chat/completions",
      { body: "x".repeat(9 * 1024 * 1024) },
      [413, "body_too_large", "not_run"],
    ],
  ];

  it("is refused with a typed error, and the router keeps serving", async () => {
    await using system = await startLocalSystem();
    for (const [name, path, options, expected] of cases) {
      const answer = await readRefusal(await system.call(path, options));
      expect([name, ...answer]).toEqual([name, ...expected]);
    }
    const answer = await system.call("/v1/chat/completions", { body: question });
    expect(answer.status).toEqual(200);
  });
});

describe("a faulty engine", () => {
  const ask = async (system: LocalSystem, fault: (system: LocalSystem) => void) => {
    fault(system);
    const answer = await system.call("/v1/chat/completions", { body: { ...question, stream: true } });
    return answer.text();
  };
  /** Waits until the router reports every engine as live. */
  const waitUntilEnginesLive = async (system: LocalSystem): Promise<void> => {
    for (;;) {
      const answer = await system.call("/operator/engines", {
        headers: { authorization: `Bearer ${operatorKey}` },
      });
      const view = (await answer.json()) as { readonly engines: readonly { readonly state: string }[] };
      if (view.engines.every((engine) => engine.state === "live")) return;
      await sleep(5);
    }
  };
  const textOf = (stream: string): string =>
    [...stream.matchAll(/"content":"([^"]*)"/g)].map(([, text]) => text).join("");

  it("is replaced by another one: garbage, crossed answers, early close, stall, crash", async () => {
    await using system = await startLocalSystem({
      changeConfiguration: (configuration) => ({
        ...configuration,
        classes: configuration.classes.map((item) => ({ ...item, stallTimeout: 100 })),
      }),
    });
    const undisturbed = textOf(await ask(system, () => undefined));
    const faults: readonly ((engine: LocalSystem["engines"][number]) => void)[] = [
      (engine) => (engine.faults.garbage = 1),
      (engine) => (engine.faults.crossAnswers = 1),
      (engine) => (engine.faults.closeEarlyAfterTokens = 2),
      (engine) => (engine.faults.stallAfterTokens = 2),
      (engine) => (engine.faults.dieAfterTokens = 3),
    ];
    for (const setFault of faults) {
      // Each engine has the fault in turn, since either may be chosen first.
      for (const engine of system.engines) {
        const stream = await ask(system, () => setFault(engine));
        expect(textOf(stream)).toEqual(undisturbed);
        expect(stream.endsWith("data: [DONE]\n\n")).toEqual(true);
        Object.assign(engine.faults, {
          garbage: 0,
          crossAnswers: 0,
          closeEarlyAfterTokens: null,
          stallAfterTokens: null,
          dieAfterTokens: null,
        });
        await waitUntilEnginesLive(system);
      }
    }
  });
});
