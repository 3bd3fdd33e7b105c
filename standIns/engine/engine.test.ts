import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import type { CacheEventPage, EngineLoad } from "../../src/protocol/types.ts";
import { createEngineStandIn } from "./engine.ts";

interface Chunk {
  readonly id: string;
  readonly choices: readonly { readonly text: string; readonly finish_reason: string | null }[];
  readonly usage?: { readonly prompt_tokens_details: { readonly cached_tokens: number } };
}

const longPrompt = "shared rules of the consortium ".repeat(20);

const post = (url: string, body: object = {}, headers: Record<string, string> = {}): Promise<Response> =>
  fetch(url, { method: "POST", headers, body: JSON.stringify(body) });

const startText = (url: string, body: object, attempt = "attempt"): Promise<Response> => {
  const headers = { "x-attempt-id": attempt };
  return post(`${url}/v1/completions`, { model: "model", stream: true, ...body }, headers);
};

/** Reads a stream up to its end or to the point where it was cut. */
const readText = async (
  answer: Response,
): Promise<{ readonly body: string; readonly isComplete: boolean }> => {
  const decoder = new TextDecoder();
  let body = "";
  try {
    for await (const part of answer.body ?? []) body += decoder.decode(part as Uint8Array);
    return { body, isComplete: true };
  } catch {
    return { body, isComplete: false };
  }
};

const readChunks = async (answer: Response): Promise<readonly Chunk[]> => {
  const { body } = await readText(answer);
  const events = body.split("\n\n").filter((event) => event.startsWith("data: {"));
  return events.map((event) => JSON.parse(event.slice("data: ".length)) as Chunk);
};

const complete = async (url: string, body: object, attempt?: string): Promise<readonly Chunk[]> =>
  readChunks(await startText(url, body, attempt));

const textsOf = (chunks: readonly Chunk[]): readonly string[] =>
  chunks.flatMap(({ choices }) => choices.map(({ text }) => text)).filter((text) => text !== "");

const cachedOf = (chunks: readonly Chunk[]): number | undefined =>
  chunks.at(-1)?.usage?.prompt_tokens_details.cached_tokens;

const refusalOf = async (answer: Response): Promise<readonly unknown[]> => {
  const { error } = (await answer.json()) as { readonly error: { readonly code: string } };
  return [answer.status, error.code, answer.headers.get("x-pomelocleat-outcome")];
};

describe("engine stand-in: text and cache", () => {
  it("continues a partial answer byte for byte", async () => {
    await using engine = await createEngineStandIn();
    const property = fastCheck.asyncProperty(
      fastCheck.string({ maxLength: 300 }),
      fastCheck.nat(),
      async (prompt, cut) => {
        const completeAnswer = textsOf(await complete(engine.url, { prompt, max_tokens: 60 }));
        const delivered = cut % (completeAnswer.length + 1);
        const continued = prompt + completeAnswer.slice(0, delivered).join("");
        const rest = await complete(engine.url, { prompt: continued, max_tokens: 60 - delivered });
        expect(textsOf(rest)).toEqual(completeAnswer.slice(delivered));
      },
    );
    await fastCheck.assert(property, { seed: 7, numRuns: 60 });
  });

  it("continues a chat's partial answer", async () => {
    await using engine = await createEngineStandIn();
    const question = { role: "user", content: "Is the renewal valid?" };
    const ask = async (body: object): Promise<string> => {
      const answer = await post(`${engine.url}/v1/chat/completions`, { model: "model", ...body });
      const { choices } = (await answer.json()) as {
        readonly choices: readonly { readonly message: { readonly content: string } }[];
      };
      return choices[0]?.message.content ?? "";
    };
    const completeAnswer = await ask({ messages: [question], max_tokens: 30, ignore_eos: true });
    const partial = completeAnswer.split(" ").slice(0, 11).join(" ");
    const messages = [question, { role: "assistant", content: partial }];
    const rest = await ask({
      messages,
      max_tokens: 20,
      ignore_eos: true,
      continue_final_message: true,
    });
    expect(partial + rest).toEqual(completeAnswer);
  });

  it("serves a prompt from its cache only under the same salt", async () => {
    await using engine = await createEngineStandIn();
    const ask = async (salt: string) =>
      cachedOf(await complete(engine.url, { prompt: longPrompt, cache_salt: salt }));
    expect(await ask("one")).toEqual(0);
    expect(await ask("one")).toEqual(144);
    expect(await ask("other")).toEqual(0);
  });

  it("delays and drops cache events as its fault switches say", async () => {
    await using engine = await createEngineStandIn({ cacheBlocks: 4 });
    const read = async (from: number): Promise<CacheEventPage> =>
      (await (await fetch(`${engine.url}/cache-events?from=${String(from)}`)).json()) as CacheEventPage;
    await complete(engine.url, { prompt: longPrompt });
    const first = await read(0);
    expect(first.events.map(({ kind, blocks }) => [kind, blocks.length])).toEqual([
      ["stored", 9],
      ["evicted", 5],
    ]);
    expect(first.nextSequence).toEqual(2);
    engine.faults.eventLossRatio = 1;
    await complete(engine.url, { prompt: `another ${longPrompt}` });
    expect(await read(2)).toEqual({ incarnation: first.incarnation, events: [], nextSequence: 4 });
    engine.faults.eventDelayMilliseconds = 50_000;
    expect((await read(0)).events).toEqual([]);
  });

  it("restarts after a crash with an empty cache and a new incarnation", async () => {
    await using engine = await createEngineStandIn();
    await complete(engine.url, { prompt: longPrompt });
    const before = engine.load();
    await post(`${engine.url}/stand-in/crash`);
    expect(engine.load().cachedTokens).toEqual(0);
    expect(engine.load().incarnation === before.incarnation).toEqual(false);
    expect(cachedOf(await complete(engine.url, { prompt: longPrompt }))).toEqual(0);
  });
});

describe("engine stand-in: attempts", () => {
  it("keeps the answer of a disconnected caller and resumes it from any token", async () => {
    await using engine = await createEngineStandIn();
    engine.faults.closeEarlyAfterTokens = 3;
    const body = { prompt: "a long history", max_tokens: 20, ignore_eos: true };
    expect(textsOf(await complete(engine.url, body, "first")).length).toEqual(3);
    engine.faults.closeEarlyAfterTokens = null;
    const resume = async (from: number): Promise<readonly string[]> =>
      textsOf(await readChunks(await post(`${engine.url}/v1/attempts/first/resume?from=${String(from)}`)));
    const all = await resume(0);
    expect(all.length).toEqual(20);
    expect(await resume(3)).toEqual(all.slice(3));
    expect(engine.executions().map(({ state }) => state)).toEqual(["finished"]);
    const unknown = await post(`${engine.url}/v1/attempts/second/resume`);
    expect(await refusalOf(unknown)).toEqual([404, "unknown_attempt", "not_run"]);
  });

  it("runs the smallest priority number first and refuses requests beyond its queue", async () => {
    await using engine = await createEngineStandIn({
      maximumRunning: 1,
      maximumWaiting: 2,
      tokenMilliseconds: 1,
    });
    const start = (attempt: string, priority: number): Promise<Response> => {
      const headers = { "x-attempt-id": attempt, "x-priority": String(priority) };
      const body = { model: "model", prompt: attempt, stream: true, max_tokens: 1_000_000, ignore_eos: true };
      return post(`${engine.url}/v1/completions`, body, headers);
    };
    const runningNow = (): readonly string[] =>
      engine.executions().flatMap(({ attempt, state }) => (state === "running" ? [attempt] : []));
    await start("first", 5);
    await start("batch", 9);
    await start("check", 0);
    expect(await refusalOf(await start("late", 0))).toEqual([503, "overloaded", "not_run"]);
    expect(runningNow()).toEqual(["first"]);
    await post(`${engine.url}/v1/attempts/first/cancel`);
    expect(runningNow()).toEqual(["check"]);
    expect([engine.load().running, engine.load().waiting]).toEqual([1, 1]);
  });

  it("refuses unknown models, missing identity and requests while leaving, without running them", async () => {
    await using engine = await createEngineStandIn({ identity: "checked" });
    const ask = async (model: string, organisation?: string): Promise<readonly unknown[]> => {
      const headers: Record<string, string> =
        organisation === undefined ? {} : { "x-organisation": organisation };
      return refusalOf(await post(`${engine.url}/v1/completions`, { model, prompt: "a" }, headers));
    };
    expect(await ask("model")).toEqual([401, "identity_required", "not_run"]);
    expect(await ask("other", "carrier")).toEqual([404, "unknown_model", "not_run"]);
    engine.faults.leaving = true;
    expect(await ask("model", "carrier")).toEqual([503, "leaving", "not_run"]);
    expect(engine.executions()).toEqual([]);
  });
});

describe("engine stand-in: faults", () => {
  it("executes a request whose answer is lost", async () => {
    await using engine = await createEngineStandIn();
    engine.faults.loseAnswers = 1;
    await expect(complete(engine.url, { prompt: "check" })).toBeRejected();
    expect(engine.executions().length).toEqual(1);
  });

  it("sends answers with another attempt's id and answers that are not JSON", async () => {
    await using engine = await createEngineStandIn();
    engine.faults.crossAnswers = 1;
    const crossed = await complete(engine.url, { prompt: "a", max_tokens: 1 }, "mine");
    expect(crossed.some(({ id }) => id === "mine")).toEqual(false);
    engine.faults.garbage = 1;
    const garbage = await readText(await startText(engine.url, { prompt: "a" }));
    expect(() => void JSON.parse(garbage.body.slice("data: ".length))).toThrow();
    const right = await complete(engine.url, { prompt: "a", max_tokens: 1 }, "mine");
    expect(right.every(({ id }) => id === "mine")).toEqual(true);
  });

  it("crashes in the middle of a stream and forgets the attempt", async () => {
    await using engine = await createEngineStandIn();
    const { incarnation } = engine.load();
    engine.faults.dieAfterTokens = 4;
    const body = { prompt: "a", max_tokens: 9, ignore_eos: true };
    const answer = await readText(await startText(engine.url, body, "first"));
    expect([answer.isComplete, answer.body.split("data: ").length - 1]).toEqual([false, 4]);
    expect(engine.load().incarnation === incarnation).toEqual(false);
    expect((await post(`${engine.url}/v1/attempts/first/resume`)).status).toEqual(404);
  });

  it("stalls and freezes until the fault switch is reset", async () => {
    await using engine = await createEngineStandIn();
    engine.faults.stallAfterTokens = 2;
    const answer = await startText(engine.url, { prompt: "a", max_tokens: 9, ignore_eos: true });
    const reader = answer.body?.getReader();
    const first = new TextDecoder().decode((await reader?.read())?.value as Uint8Array | undefined);
    expect(first.split("data: ").length - 1).toEqual(2);
    engine.faults.freeze = true;
    engine.faults.stallAfterTokens = null;
    const second = reader?.read();
    await expect(fetch(`${engine.url}/load`, { signal: AbortSignal.timeout(50) })).toBeRejected();
    engine.faults.freeze = false;
    expect((await second)?.done).toEqual(false);
    expect((await fetch(`${engine.url}/load`)).status).toEqual(200);
  });

  it("reports its load with the configured lag", async () => {
    await using engine = await createEngineStandIn();
    engine.faults.loadLagMilliseconds = 50_000;
    await complete(engine.url, { prompt: longPrompt });
    const lagged = (await (await fetch(`${engine.url}/load`)).json()) as EngineLoad;
    expect([lagged.cachedTokens, engine.load().cachedTokens]).toEqual([0, 144]);
  });
});
