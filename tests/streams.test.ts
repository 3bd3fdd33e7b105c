/** Streams are complete and in order, or end with a typed error, whatever faults engines have. */
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { ClassConfiguration } from "../src/protocol/configuration/schema.ts";
import {
  endingOf,
  failureOf,
  isComplete,
  lastEventIdOf,
  readStream,
  streamedRequest as question,
  streamedTokens as tokens,
  textOf,
} from "./support/eventStream.ts";
import type { ReadStream } from "./support/eventStream.ts";
import { atMostOnceHeaders, operatorKey, startLocalSystem } from "./support/localSystem.ts";
import type { LocalSystem, LocalSystemOptions } from "./support/localSystem.ts";

/** Starts a system whose classes all have the given settings, and don't hedge by default. */
const startWith = (changes: Partial<ClassConfiguration>, options: LocalSystemOptions = {}) =>
  startLocalSystem({
    ...options,
    changeConfiguration: (configuration) => ({
      ...configuration,
      classes: configuration.classes.map((item) => ({ ...item, hedgeAfter: undefined, ...changes })),
    }),
  });

/** Deadlines at which requests that can't succeed fail soon, milliseconds. */
const shortDeadlines = { firstTokenDeadline: 100, completionDeadline: 300, stallTimeout: 50 };

const ask = async (system: LocalSystem, body: object = question): Promise<ReadStream> =>
  readStream(await system.call("/v1/chat/completions", { body }));

/** @returns The answer of engines without faults. */
const askUndisturbed = async (): Promise<ReadStream> => {
  await using system = await startWith({});
  return await ask(system);
};

const fetchEngineStates = async (system: LocalSystem): Promise<readonly string[]> => {
  const answer = await system.call("/operator/engines", {
    headers: { authorization: `Bearer ${operatorKey}` },
  });
  const view = (await answer.json()) as { readonly engines: readonly { readonly state: string }[] };
  return view.engines.map(({ state }) => state);
};

const errorOf = async (answer: Response) => {
  const { error } = (await answer.json()) as { error: { code: string; outcome: string } };
  return [answer.status, error.code, error.outcome] as const;
};

const expectSame = (stream: ReadStream, undisturbed: ReadStream): void => {
  expect(textOf(stream)).toEqual(textOf(undisturbed));
  expect(endingOf(stream)).toEqual({ finishReasons: ["length"], completionTokens: [tokens] });
  expect(isComplete(stream)).toEqual(true);
};

describe("a stream whose engines fail again and again", () => {
  it("continues at other engines with the same text, and adds up its usage", async () => {
    const undisturbed = await askUndisturbed();
    for (const fault of ["closeEarlyAfterTokens", "stallAfterTokens"] as const) {
      await using system = await startWith({ stallTimeout: 60 });
      for (const engine of system.engines) engine.faults[fault] = 3;
      expectSame(await ask(system), undisturbed);
      const attempts = system.engines.flatMap((engine) => engine.executions());
      expect(attempts.length).toEqual(tokens / 3 + 1);
    }
  });

  // The end of a connection is no end marker.
  it("continues at other engines that end their connections inside an event, without a length or chunks", async () => {
    const undisturbed = await askUndisturbed();
    await using system = await startWith({});
    for (const engine of system.engines) engine.faults.unframed = true;
    expectSame(await ask(system), undisturbed);
    expect(system.engines.flatMap((engine) => engine.executions()).length).toEqual(1);
    for (const engine of system.engines) engine.faults.closeEarlyAfterTokens = 3;
    expectSame(await ask(system), undisturbed);
    expect(system.engines.flatMap((engine) => engine.executions()).length).toEqual(1 + tokens / 3 + 1);
  });

  it("is complete also as a response without streaming", async () => {
    const undisturbed = await askUndisturbed();
    await using system = await startWith({});
    for (const engine of system.engines) engine.faults.closeEarlyAfterTokens = 5;
    const answer = await system.call("/v1/chat/completions", { body: { ...question, stream: false } });
    const body = (await answer.json()) as {
      choices: [{ message: { content: string }; finish_reason: string }];
      usage: { completion_tokens: number };
    };
    expect(body.choices[0].message.content).toEqual(textOf(undisturbed));
    expect(body.choices[0].finish_reason).toEqual("length");
    expect(body.usage.completion_tokens).toEqual(tokens);
  });

  it("is complete although every engine crashes in turn", async () => {
    const undisturbed = await askUndisturbed();
    await using system = await startWith({}, { engines: 3 });
    for (const engine of system.engines) engine.faults.dieAfterTokens = 2;
    expectSame(await ask(system), undisturbed);
  });
});

describe("a stream that can't be finished", () => {
  it("ends with a typed error and without [DONE]", async () => {
    await using system = await startWith(shortDeadlines);
    for (const engine of system.engines) engine.faults.stallAfterTokens = 4;
    const answer = await system.call("/v1/chat/completions", { body: question });
    for (const engine of system.engines) engine.faults.outage = true;
    const stream = await readStream(answer);
    expect(textOf(stream).length).toBeGreaterThan(0);
    expect(isComplete(stream)).toEqual(false);
    expect(stream.events.map(({ data }) => data)).not.toInclude("[DONE]");
    expect(failureOf(stream)?.outcome).toEqual("failed");
  });

  it("is an error status with a typed error without streaming", async () => {
    await using system = await startWith(shortDeadlines);
    for (const engine of system.engines) engine.faults.stallAfterTokens = 0;
    const answer = await system.call("/v1/chat/completions", { body: { ...question, stream: false } });
    const [status, code, outcome] = await errorOf(answer);
    expect(status).toBeGreaterThanOrEqual(502);
    expect(["deadline_exceeded", "upstream_failed"]).toInclude(code);
    expect(outcome).toEqual("failed");
  });
});

describe("deadlines", () => {
  it("move a request from an engine that accepts it and never answers to another one", async () => {
    await using system = await startWith({ firstTokenDeadline: 150, stallTimeout: 100 });
    const undisturbed = await askUndisturbed();
    for (const engine of system.engines) {
      engine.faults.freeze = true;
      expectSame(await ask(system), undisturbed);
      engine.faults.freeze = false;
      while ((await fetchEngineStates(system)).some((state) => state !== "live")) await sleep(5);
    }
  });

  it("answer with the correct outcome as soon as the last one has passed", async () => {
    await using system = await startWith({ ...shortDeadlines, firstTokenDeadline: 300 }, { engines: 1 });
    const [engine] = system.engines;
    if (engine === undefined) return;
    engine.faults.freeze = true;
    const answer = await system.call("/v1/chat/completions", { body: question });
    expect(await errorOf(answer)).toEqual([504, "deadline_exceeded", "failed"]);
  });
});

describe("a caller that goes away", () => {
  it("does not make its engine count as failed", async () => {
    await using system = await startWith(
      {},
      // Without load reports, which would restore the engine's state.
      { engines: 1, engineSettings: { tokenMilliseconds: 20 }, routerSettings: { loadInterval: 60_000 } },
    );
    const controller = new AbortController();
    const body = { ...question, max_tokens: 500 };
    const answer = await system.call("/v1/chat/completions", { body, signal: controller.signal });
    await answer.body?.getReader().read();
    controller.abort();
    const [engine] = system.engines;
    while (engine?.executions()[0]?.state === "running") await sleep(5);
    expect(engine?.executions()[0]?.state).toEqual("cancelled");
    expect(await fetchEngineStates(system)).toEqual(["live"]);
  });

  it("does not cancel a non-idempotent request", async () => {
    await using system = await startWith({}, { engines: 1, engineSettings: { tokenMilliseconds: 5 } });
    const controller = new AbortController();
    const answer = await system.call("/v1/chat/completions", {
      body: { ...question, max_tokens: 100 },
      headers: atMostOnceHeaders(`${Date.now()}-once`),
      signal: controller.signal,
    });
    await answer.body?.getReader().read();
    controller.abort();
    const [engine] = system.engines;
    while (engine?.executions()[0]?.state === "running") await sleep(10);
    expect(engine?.executions().map(({ state }) => state)).toEqual(["finished"]);
  });
});

describe("event ids", () => {
  it("are different for each event", async () => {
    await using system = await startWith({});
    const { events } = await ask(system);
    const ids = events.flatMap(({ id }) => id ?? []);
    expect(new Set(ids).size).toEqual(events.length - 1);
    expect(lastEventIdOf({ status: 200, events })).toEqual(ids.at(-1) ?? "");
  });
});
