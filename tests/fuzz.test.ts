/** Random input leads to typed errors, and the router keeps running. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { Agent } from "undici";
import { decodeConfigurationRecord } from "../src/protocol/configuration/record.ts";
import { headers } from "../src/protocol/constants.ts";
import { UpstreamError } from "../src/protocol/errors.ts";
import { parseCompletionRequest } from "../src/protocol/completionRequest.ts";
import { createConfigurationHistory } from "../src/state/configurationHistory.ts";
import { HttpModelEngine } from "../src/transport/HttpModelEngine.ts";
import { startLocalSystem } from "./support/localSystem.ts";
import type { LocalSystem } from "./support/localSystem.ts";

const seed = 20261202;
const routes = ["/v1/chat/completions", "/v1/completions", "/services/records-desk/x"] as const;

const headerText = fc.string({
  unit: fc.integer({ min: 0x21, max: 0x7e }).map((code) => String.fromCharCode(code)),
});

/** Request bodies from random bytes to almost valid ones. */
const anyBody = fc.oneof(
  fc.string({ unit: "binary" }),
  fc.json(),
  fc
    .record(
      {
        model: fc.oneof(fc.constant("records-assistant"), fc.string()),
        messages: fc.oneof(
          fc.array(fc.record({ role: fc.oneof(fc.constant("user"), fc.string()), content: fc.jsonValue() })),
          fc.jsonValue(),
        ),
        prompt: fc.jsonValue(),
        stream: fc.jsonValue(),
        max_tokens: fc.oneof(fc.constant(2), fc.jsonValue()),
        [fc.sample(fc.string(), { seed, numRuns: 1 })[0] ?? "field"]: fc.jsonValue(),
      },
      { requiredKeys: ["model"] },
    )
    .map((value) => JSON.stringify(value)),
);

const anyHeaders = fc.record(
  {
    [headers.requestClass]: headerText,
    [headers.idempotent]: fc.oneof(fc.constant("false"), headerText),
    [headers.idempotencyKey]: headerText,
    [headers.prefixLevels]: fc.oneof(fc.constant("1,5,90000"), headerText),
    [headers.lastEventId]: headerText,
  },
  { requiredKeys: [] },
);

interface ErrorAnswer {
  readonly error?: { readonly code?: unknown; readonly type?: unknown; readonly outcome?: unknown };
}

describe("a router that receives random requests", () => {
  let system: LocalSystem;
  before(async () => {
    system = await startLocalSystem({ engines: 1 });
  });
  after(async () => {
    await system[Symbol.asyncDispose]();
  });

  it("answers every request with 200 or a typed error, and never with internal_error", async () => {
    await fc.assert(
      fc.asyncProperty(fc.constantFrom(...routes), anyBody, anyHeaders, async (route, body, given) => {
        const answer = await system.call(route, { body, headers: given });
        const text = await answer.text();
        if (answer.status === 200) return;
        const { error } = JSON.parse(text) as ErrorAnswer;
        expect(typeof error?.code).toEqual("string");
        expect(typeof error?.type).toEqual("string");
        expect(error?.outcome).toEqual(answer.headers.get(headers.outcome));
        expect(error?.code).not.toEqual("internal_error");
      }),
      { seed, numRuns: 300 },
    );
    expect((await system.call("/readyz")).status).toEqual(200);
  });
});

/** A stream of three tokens in the format of an engine. */
const engineStream = [" one", " two", " three"]
  .map((content) =>
    JSON.stringify({ id: "attempt", choices: [{ index: 0, delta: { content }, finish_reason: null }] }),
  )
  .concat("[DONE]")
  .map((data) => `data: ${data}\n\n`)
  .join("");

/** @returns The text read from a fake engine that sends these chunks; the fault if reading fails. */
const readEngineStream = async (parts: readonly Buffer[]): Promise<string> => {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, { "content-type": "text/event-stream", [headers.attempt]: "attempt" });
    for (const part of parts) response.write(part);
    response.end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const pool = new Agent();
  try {
    const engine = new HttpModelEngine(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, pool);
    const request = parseCompletionRequest("text", '{"model":"m","prompt":"p"}', []);
    const call = { attempt: "attempt", organisation: "o", request, idempotencyKey: undefined, priority: 0 };
    const rest = { cacheSalt: "s", delivered: { text: "", tokens: 0 }, stallTimeout: 10_000 };
    const answer = await engine.complete({ ...call, ...rest }, new AbortController().signal);
    let text = "";
    for await (const frames of answer.frames) text += frames.map((frame) => frame.text).join("");
    return text;
  } catch (error) {
    if (error instanceof UpstreamError) return error.fault;
    throw error;
  } finally {
    await pool.destroy();
    await new Promise((resolve) => server.close(resolve));
  }
};

describe("an engine's stream", () => {
  it("gives the same text however it is split into chunks", async () => {
    const bytes = Buffer.from(engineStream);
    const cuts = fc.array(fc.integer({ min: 0, max: bytes.length }), { maxLength: 6 });
    await fc.assert(
      fc.asyncProperty(cuts, async (given) => {
        const bounds = [0, ...given.sort((left, right) => left - right), bytes.length];
        const parts = bounds.slice(1).map((end, index) => bytes.subarray(bounds[index], end));
        expect(await readEngineStream(parts)).toEqual(" one two three");
      }),
      { seed, numRuns: 60 },
    );
  });

  it("ends in a typed fault if it is random bytes", async () => {
    const faults = ["malformed", "closed_early", "crossed"];
    await fc.assert(
      fc.asyncProperty(fc.uint8Array({ maxLength: 200 }), async (noise) => {
        expect(faults).toInclude(
          await readEngineStream([Buffer.from(noise), Buffer.from("\n\ndata: {\n\n")]),
        );
      }),
      { seed, numRuns: 60 },
    );
  });
});

describe("random records of the log", () => {
  it("are void and change nothing", () => {
    fc.assert(
      fc.property(fc.array(fc.oneof(fc.string(), fc.json()), { maxLength: 20 }), (data) => {
        const history = createConfigurationHistory();
        const outcomes = data.map((item, offset) => history.apply({ offset, appendedAt: 0, data: item }));
        expect(outcomes.map((outcome) => outcome.kind)).toEqual(data.map(() => "void"));
        expect(history.current()).toEqual(undefined);
        expect(data.map(decodeConfigurationRecord)).toEqual(data.map(() => undefined));
      }),
      { seed, numRuns: 200 },
    );
  });
});
