/** A caller that lost its connection or its router can resume its stream at any other router. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { headers } from "../src/protocol/constants.ts";
import { createResumeTokens } from "../src/protocol/resumeToken.ts";
import {
  failureOf,
  isComplete,
  lastEventIdOf,
  readStream,
  streamedRequest as question,
  textOf,
} from "./support/eventStream.ts";
import type { ReadStream } from "./support/eventStream.ts";
import { atMostOnceHeaders, startLocalSystem } from "./support/localSystem.ts";
import type { CallOptions, LocalSystem, LocalSystemOptions } from "./support/localSystem.ts";

const path = "/v1/chat/completions";
const slow = { tokenMilliseconds: 10 };

const startWith = (options: LocalSystemOptions = {}) =>
  startLocalSystem({
    routers: 2,
    ...options,
    changeConfiguration: (configuration) => ({
      ...configuration,
      classes: configuration.classes.map((item) => ({ ...item, hedgeAfter: undefined })),
    }),
  });

/** Reads a number of events from router 0, then drops the connection. */
const readEvents = async (
  system: LocalSystem,
  events: number,
  options: CallOptions = {},
): Promise<ReadStream> => readStream(await system.call(path, { body: question, ...options }), events);

const resume = (system: LocalSystem, id: string, options: CallOptions = {}): Promise<Response> =>
  system.call(path, {
    router: 1,
    body: question,
    ...options,
    headers: { ...options.headers, [headers.lastEventId]: id },
  });

const errorOf = async (answer: Response) => {
  const { error } = (await answer.json()) as { error: { code: string; outcome: string } };
  return [answer.status, error.code, error.outcome] as const;
};

const executionsOf = (system: LocalSystem) => system.engines.flatMap((engine) => engine.executions());

const readUndisturbed = async (): Promise<ReadStream> => {
  await using system = await startWith();
  return await readStream(await system.call(path, { body: question }));
};

/** @returns An event without the fields that differ between runs: ids, times and cached tokens. */
const normaliseEvent = (data: string): unknown => {
  if (data === "[DONE]") return data;
  const chunk = JSON.parse(data) as { usage?: { completion_tokens: number } };
  return JSON.stringify({ ...chunk, id: "", created: 0, usage: chunk.usage?.completion_tokens });
};

/** Expects several streams together to have the same events as one undisturbed stream. */
const expectWhole = (undisturbed: ReadStream, ...streams: readonly ReadStream[]): void => {
  const given = streams.flatMap(({ events }) => events.map(({ data }) => normaliseEvent(data)));
  expect(given).toEqual(undisturbed.events.map(({ data }) => normaliseEvent(data)));
};

describe("a stream resumed at another router", () => {
  it("has no gap and no duplicate wherever it was cut, and starts no new execution", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith();
    for (let lostAfter = 1; lostAfter < undisturbed.events.length; lostAfter += 1) {
      const before = executionsOf(system).length;
      const lost = await readEvents(system, lostAfter);
      const rest = await readStream(await resume(system, lastEventIdOf(lost)));
      expect(isComplete(rest)).toEqual(true);
      expectWhole(undisturbed, lost, rest);
      expect(executionsOf(system).length).toEqual(before + 1);
    }
  });

  it("can be cut and resumed repeatedly, under the same request id", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith({ engineSettings: slow });
    const first = await system.call(path, { body: question });
    const lost = await readStream(first, 2);
    const second = await resume(system, lastEventIdOf(lost));
    const lostAgain = await readStream(second, 3);
    const third = await resume(system, lastEventIdOf(lostAgain), { router: 0 });
    expectWhole(undisturbed, lost, lostAgain, await readStream(third));
    expect(third.headers.get(headers.requestId)).toEqual(first.headers.get(headers.requestId));
  });

  it("continues at another engine if its engine fails after the resumption", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith({ engineSettings: slow });
    const lost = await readEvents(system, 2);
    const answer = await resume(system, lastEventIdOf(lost));
    const [engine] = system.engines.filter((item) => item.executions().length > 0);
    engine?.crash();
    expectWhole(undisturbed, lost, await readStream(answer));
  });

  it("is not stopped by its first router, which still runs", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith({ engineSettings: { tokenMilliseconds: 150 } });
    const lost = await readEvents(system, 2);
    expectWhole(undisturbed, lost, await readStream(await resume(system, lastEventIdOf(lost))));
  });

  it("is not stopped if the caller resumes it at the same router", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith({ engineSettings: { tokenMilliseconds: 150 } });
    const lost = await readEvents(system, 2);
    const answer = await resume(system, lastEventIdOf(lost), { router: 0 });
    expectWhole(undisturbed, lost, await readStream(answer));
    expect(executionsOf(system).map(({ state }) => state)).toEqual(["finished"]);
  });
});

describe("a stream whose engine has crashed before its caller resumes it", () => {
  const loseStreamAndEngines = async (
    system: LocalSystem,
    options: CallOptions = {},
  ): Promise<ReadStream> => {
    const lost = await readEvents(system, 4, options);
    for (const engine of system.engines) engine.crash();
    return lost;
  };

  it("continues at another engine after the delivered text that the caller sends", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith();
    const lost = await loseStreamAndEngines(system);
    const body = { ...question, pomelocleat_delivered: textOf(lost) };
    const answer = await resume(system, lastEventIdOf(lost), { body });
    expectWhole(undisturbed, lost, await readStream(answer));
  });

  it("needs the delivered text, and runs nothing if the caller sends none", async () => {
    await using system = await startWith();
    const lost = await loseStreamAndEngines(system);
    const answer = await resume(system, lastEventIdOf(lost));
    expect(await errorOf(answer)).toEqual([409, "delivered_text_needed", "failed"]);
    expect(executionsOf(system).length).toEqual(1);
  });

  it("has an unknown outcome if it is non-idempotent, even if the caller doesn't repeat that header", async () => {
    await using system = await startWith();
    const lost = await loseStreamAndEngines(system, { headers: atMostOnceHeaders(`${Date.now()}-lost`) });
    const body = { ...question, pomelocleat_delivered: textOf(lost) };
    const answer = await resume(system, lastEventIdOf(lost), { body });
    expect(await errorOf(answer)).toEqual([502, "outcome_unknown", "outcome_unknown"]);
    expect(executionsOf(system).length).toEqual(1);
  });
});

/** Tokens from the engine that continued the stream: more than the caller has from it, fewer than the answer still has. */
const tokensBeforeCrash = 6;

describe("a stream that was continued at a second engine before its caller lost it", () => {
  /** Each engine cuts streams after 3 tokens, so that a second engine serves the part at which the caller disconnects. */
  const loseContinuedStream = async (system: LocalSystem): Promise<ReadStream> => {
    for (const engine of system.engines) engine.faults.closeEarlyAfterTokens = 3;
    const lost = await readEvents(system, 5);
    for (const engine of system.engines) engine.faults.closeEarlyAfterTokens = null;
    return lost;
  };

  it("is resumed at the engine that continued it", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith({ engineSettings: slow });
    const lost = await loseContinuedStream(system);
    const before = executionsOf(system).length;
    expectWhole(undisturbed, lost, await readStream(await resume(system, lastEventIdOf(lost))));
    expect(executionsOf(system).length).toEqual(before);
  });

  it("needs the delivered text if that engine fails as well, and is complete with it", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith({ engineSettings: slow });
    const lost = await loseContinuedStream(system);
    // Keeps the stream from ending before the crash if the test runs slowly.
    for (const engine of system.engines) engine.faults.stallAfterTokens = tokensBeforeCrash;
    const answer = await resume(system, lastEventIdOf(lost));
    for (const engine of system.engines) engine.crash();
    for (const engine of system.engines) engine.faults.stallAfterTokens = null;
    const cut = await readStream(answer);
    expect(isComplete(cut)).toEqual(false);
    expect(failureOf(cut)?.code).toEqual("delivered_text_needed");
    const events = cut.events.filter(({ event }) => event !== "error");
    const more = { ...cut, events };
    const id = events.length === 0 ? lastEventIdOf(lost) : lastEventIdOf(more);
    const body = { ...question, pomelocleat_delivered: textOf(lost, more) };
    expectWhole(undisturbed, lost, more, await readStream(await resume(system, id, { body })));
  });
});

describe("a resume token", () => {
  const sharedSecret = "test-shared-secret-of-all-routers-0123456789";

  it("is refused, and runs nothing, if forged, from another organisation, for another body or expired", async () => {
    await using system = await startWith();
    const lost = await readEvents(system, 4);
    const id = lastEventIdOf(lost);
    const fields = id.split(",");
    const changed = (index: number, value: string): string => fields.with(index, value).join(",");
    const point = createResumeTokens(sharedSecret).read(id, "petra-wings", 0);
    if (typeof point === "string") throw new TypeError(point);
    const stale = `${createResumeTokens(sharedSecret).sign({ ...point, expiresAt: 1 })},4,0`;
    const otherSecret = `${createResumeTokens("another-secret").sign(point)},4,0`;
    const forged = [400, "invalid_resume_token", "outcome_unknown"] as const;
    const cases: readonly (readonly [string, string, CallOptions, readonly [number, string, string]])[] = [
      ["no token", "12", {}, forged],
      ["another engine", changed(6, "records-assistant-9"), {}, forged],
      ["another attempt", changed(5, "another"), {}, forged],
      ["a later expiry", changed(1, "99999999999"), {}, forged],
      ["made idempotent", changed(2, fields[2] === "1" ? "0" : "1"), {}, forged],
      ["another secret", otherSecret, {}, forged],
      ["another organisation", id, { organisation: "royal-desert-air" }, forged],
      [
        "another body",
        id,
        { body: { ...question, max_tokens: 13 } },
        [409, "resume_of_other_request", "outcome_unknown"],
      ],
      ["an expired token", stale, {}, [409, "resume_token_expired", "outcome_unknown"]],
      ["beyond the end", changed(9, "400"), {}, [409, "invalid_resume_position", "outcome_unknown"]],
      [
        "other text",
        id,
        { body: { ...question, pomelocleat_delivered: "other" } },
        [409, "delivered_text_differs", "outcome_unknown"],
      ],
      [
        "a request without streaming",
        id,
        { body: { ...question, stream: false } },
        [400, "resume_not_streamed", "outcome_unknown"],
      ],
    ];
    for (const [name, token, options, expected] of cases) {
      expect([name, ...(await errorOf(await resume(system, token, options)))]).toEqual([name, ...expected]);
    }
    expect(executionsOf(system).length).toEqual(1);
  });
});
