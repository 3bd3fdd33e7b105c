/** A caller that lost its connection or its router gets the rest of its stream from any other router. */
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

/** Reads so many events from router 0, and loses the connection. */
const begin = async (system: LocalSystem, events: number, options: CallOptions = {}): Promise<ReadStream> =>
  readStream(await system.call(path, { body: question, ...options }), events);

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

/** An event without what differs from run to run: ids, times, and what the caches held. */
const essenceOf = (data: string): unknown => {
  if (data === "[DONE]") return data;
  const chunk = JSON.parse(data) as { usage?: { completion_tokens: number } };
  return JSON.stringify({ ...chunk, id: "", created: 0, usage: chunk.usage?.completion_tokens });
};

/** What several streams gave together must be what one undisturbed stream gives, event by event. */
const expectWhole = (undisturbed: ReadStream, ...streams: readonly ReadStream[]): void => {
  const given = streams.flatMap(({ events }) => events.map(({ data }) => essenceOf(data)));
  expect(given).toEqual(undisturbed.events.map(({ data }) => essenceOf(data)));
};

describe("a stream picked up at another router", () => {
  it("has no gap and no repeat, wherever it was lost, and runs nothing anew", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith();
    for (let lostAfter = 1; lostAfter < undisturbed.events.length; lostAfter += 1) {
      const before = executionsOf(system).length;
      const lost = await begin(system, lostAfter);
      const rest = await readStream(await resume(system, lastEventIdOf(lost)));
      expect(isComplete(rest)).toEqual(true);
      expectWhole(undisturbed, lost, rest);
      expect(executionsOf(system).length).toEqual(before + 1);
    }
  });

  it("can be lost and picked up again, under the same request id", async () => {
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

  it("goes on elsewhere where its engine fails after that", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith({ engineSettings: slow });
    const lost = await begin(system, 2);
    const answer = await resume(system, lastEventIdOf(lost));
    const [engine] = system.engines.filter((item) => item.executions().length > 0);
    engine?.crash();
    expectWhole(undisturbed, lost, await readStream(answer));
  });

  it("survives that its first router, still alive, tells the engine to stop", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith({ engineSettings: { tokenMilliseconds: 150 } });
    const lost = await begin(system, 2);
    expectWhole(undisturbed, lost, await readStream(await resume(system, lastEventIdOf(lost))));
  });

  it("is not stopped by the router that the caller comes back to", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith({ engineSettings: { tokenMilliseconds: 150 } });
    const lost = await begin(system, 2);
    const answer = await resume(system, lastEventIdOf(lost), { router: 0 });
    expectWhole(undisturbed, lost, await readStream(answer));
    expect(executionsOf(system).map(({ state }) => state)).toEqual(["finished"]);
  });
});

describe("a stream whose engine is gone when its caller comes back", () => {
  const loseWithEngine = async (system: LocalSystem, options: CallOptions = {}): Promise<ReadStream> => {
    const lost = await begin(system, 4, options);
    for (const engine of system.engines) engine.crash();
    return lost;
  };

  it("goes on elsewhere after the text that the caller sends", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith();
    const lost = await loseWithEngine(system);
    const body = { ...question, pomelocleat_delivered: textOf(lost) };
    const answer = await resume(system, lastEventIdOf(lost), { body });
    expectWhole(undisturbed, lost, await readStream(answer));
  });

  it("asks for the text where the caller sends none, and runs nothing", async () => {
    await using system = await startWith();
    const lost = await loseWithEngine(system);
    const answer = await resume(system, lastEventIdOf(lost));
    expect(await errorOf(answer)).toEqual([409, "delivered_text_needed", "failed"]);
    expect(executionsOf(system).length).toEqual(1);
  });

  it("is of unknown outcome where it may run only once, also if the caller forgets to say so", async () => {
    await using system = await startWith();
    const lost = await loseWithEngine(system, { headers: atMostOnceHeaders(`${Date.now()}-lost`) });
    const body = { ...question, pomelocleat_delivered: textOf(lost) };
    const answer = await resume(system, lastEventIdOf(lost), { body });
    expect(await errorOf(answer)).toEqual([502, "outcome_unknown", "outcome_unknown"]);
    expect(executionsOf(system).length).toEqual(1);
  });
});

/** Of the engine that continued it: more than the caller has from there, and fewer than the rest of the answer has. */
const tokensBeforeCrash = 6;

describe("a stream that had been continued before its caller lost it", () => {
  /** Each engine cuts streams after 3 tokens, so that the piece at which the caller goes comes from a second one. */
  const loseContinued = async (system: LocalSystem): Promise<ReadStream> => {
    for (const engine of system.engines) engine.faults.closeEarlyAfterTokens = 3;
    const lost = await begin(system, 5);
    for (const engine of system.engines) engine.faults.closeEarlyAfterTokens = null;
    return lost;
  };

  it("is picked up at the engine that continued it", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith({ engineSettings: slow });
    const lost = await loseContinued(system);
    const before = executionsOf(system).length;
    expectWhole(undisturbed, lost, await readStream(await resume(system, lastEventIdOf(lost))));
    expect(executionsOf(system).length).toEqual(before);
  });

  it("needs its text where that engine fails as well, and is whole with it", async () => {
    const undisturbed = await readUndisturbed();
    await using system = await startWith({ engineSettings: slow });
    const lost = await loseContinued(system);
    // Where the test is held up, the stream must not have come to its end before the crash.
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

  it("is refused if forged, foreign, for another body, or stale; nothing is run", async () => {
    await using system = await startWith();
    const lost = await begin(system, 4);
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
      ["a longer life", changed(1, "99999999999"), {}, forged],
      ["made idempotent", changed(2, fields[2] === "1" ? "0" : "1"), {}, forged],
      ["another secret", otherSecret, {}, forged],
      ["another organisation", id, { organisation: "royal-desert-air" }, forged],
      [
        "another body",
        id,
        { body: { ...question, max_tokens: 13 } },
        [409, "resume_of_other_request", "outcome_unknown"],
      ],
      ["an old one", stale, {}, [409, "resume_token_expired", "outcome_unknown"]],
      ["beyond the end", changed(9, "400"), {}, [409, "invalid_resume_position", "outcome_unknown"]],
      [
        "other text",
        id,
        { body: { ...question, pomelocleat_delivered: "other" } },
        [409, "delivered_text_differs", "outcome_unknown"],
      ],
      [
        "no stream",
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
