import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import { createEngineStandIn } from "./engine.ts";

interface Chunk {
  readonly id: string;
  readonly choices: readonly { readonly text: string; readonly finish_reason: string | null }[];
  readonly usage?: { readonly prompt_tokens_details: { readonly cached_tokens: number } };
}

/** Posts a text completion and gives the chunks of its stream. */
const complete = async (url: string, body: object, attempt = "attempt"): Promise<readonly Chunk[]> => {
  const answer = await fetch(`${url}/v1/completions`, {
    method: "POST",
    headers: { "x-attempt-id": attempt },
    body: JSON.stringify({ model: "model", stream: true, ...body }),
  });
  return readChunks(answer);
};

const readChunks = async (answer: Response): Promise<readonly Chunk[]> => {
  const events = (await answer.text()).split("\n\n").filter((event) => event.startsWith("data: {"));
  return events.map((event) => JSON.parse(event.slice("data: ".length)) as Chunk);
};

const textsOf = (chunks: readonly Chunk[]): readonly string[] =>
  chunks.flatMap(({ choices }) => choices.map(({ text }) => text)).filter((text) => text !== "");

const cachedOf = (chunks: readonly Chunk[]): number | undefined =>
  chunks.at(-1)?.usage?.prompt_tokens_details.cached_tokens;

describe("engine stand-in", () => {
  it("continues a partial answer byte for byte", async () => {
    await using engine = await createEngineStandIn();
    const property = fastCheck.asyncProperty(
      fastCheck.string({ maxLength: 300 }),
      fastCheck.nat(),
      async (prompt, cut) => {
        const whole = textsOf(await complete(engine.url, { prompt, max_tokens: 60 }));
        const delivered = cut % (whole.length + 1);
        const continued = prompt + whole.slice(0, delivered).join("");
        const rest = await complete(engine.url, { prompt: continued, max_tokens: 60 - delivered });
        expect(textsOf(rest)).toEqual(whole.slice(delivered));
      },
    );
    await fastCheck.assert(property, { seed: 7, numRuns: 60 });
  });

  it("serves a prompt from its cache only under the same salt", async () => {
    await using engine = await createEngineStandIn();
    const prompt = "shared rules of the consortium ".repeat(20);
    const ask = async (salt: string) => cachedOf(await complete(engine.url, { prompt, cache_salt: salt }));
    expect(await ask("one")).toEqual(0);
    expect(await ask("one")).toEqual(144);
    expect(await ask("other")).toEqual(0);
  });

  it("keeps an answer whose caller is gone, and resumes it from any token", async () => {
    await using engine = await createEngineStandIn({ averageTokens: 0 });
    engine.faults.closeEarlyAfterTokens = 3;
    const broken = complete(engine.url, { prompt: "a long history", max_tokens: 20 }, "first");
    await expect(broken).toBeRejected();
    engine.faults.closeEarlyAfterTokens = null;
    const resume = async (from: number): Promise<readonly string[]> => {
      const url = `${engine.url}/v1/attempts/first/resume?from=${String(from)}`;
      return textsOf(await readChunks(await fetch(url, { method: "POST" })));
    };
    const all = await resume(0);
    expect(all.length).toEqual(20);
    expect(await resume(3)).toEqual(all.slice(3));
    expect(engine.executions().map(({ state }) => state)).toEqual(["finished"]);
  });

  it("comes back from a crash empty and as another incarnation", async () => {
    await using engine = await createEngineStandIn();
    const prompt = "shared rules of the consortium ".repeat(20);
    await complete(engine.url, { prompt });
    const before = engine.load();
    await fetch(`${engine.url}/stand-in/crash`, { method: "POST" });
    expect(engine.load().cachedTokens).toEqual(0);
    expect(engine.load().incarnation === before.incarnation).toEqual(false);
    expect(cachedOf(await complete(engine.url, { prompt }))).toEqual(0);
  });

  it("takes effect although the answer is lost", async () => {
    await using engine = await createEngineStandIn();
    engine.faults.loseAnswers = 1;
    await expect(complete(engine.url, { prompt: "check" })).toBeRejected();
    expect(engine.executions().length).toEqual(1);
  });
});
