import { describe, it } from "node:test";
import { expect } from "earl";
import { createManualClock } from "../../src/coordination/manualClock.ts";
import { createEngineModel } from "./engineModel.ts";
import type { EngineJob, EngineParameters } from "./types.ts";

const parameters: EngineParameters = {
  maximumRunning: 2,
  prefillTokensPerSecond: 1000,
  prefillOverhead: 5,
  chunkTokens: 100,
  cacheTokens: 1000,
  decodeInterval: 10,
  decodeSlowdown: 2,
};

const identity = { id: "engine", dataCentre: "zarqa-hall", model: "records-assistant", weightsVersion: "1" };

/** Creates an engine with a log of the events of its jobs, each with its simulated time. */
const createEngineTrial = (changed: Partial<EngineParameters> = {}) => {
  const clock = createManualClock();
  const engine = createEngineModel(identity, { ...parameters, ...changed }, clock);
  const log: string[] = [];
  const record = (what: string): number => log.push(`${clock.monotonic()} ${what}`);
  const submit = (name: string, question: string, priority = 0): (() => void) | undefined => {
    const job: EngineJob = {
      priority,
      levels: [
        { key: "shared", tokens: 200 },
        { key: question, tokens: 300 },
      ],
      promptTokens: 300,
      outputTokens: 3,
      onStart: (cached) => record(`${name} begun with ${cached}`),
      onFirstToken: () => record(`${name} first`),
      onEnd: (ended) => record(`${name} ${ended}`),
    };
    return engine.submit(job);
  };
  return { clock, engine, log, submit };
};

describe("createEngineModel", () => {
  it("computes only the tokens that are not cached, then decodes", () => {
    const { clock, log, submit } = createEngineTrial();
    submit("cold", "q1");
    clock.advanceTo(1000);
    submit("warm", "q2");
    clock.advanceTo(2000);
    expect(log).toEqual([
      "0 cold begun with 0",
      "305 cold first",
      "325 cold finished",
      "1000 warm begun with 200",
      "1105 warm first",
      "1125 warm finished",
    ]);
  });

  it("runs a more urgent prompt after the current chunk, and decodes slower in a fuller batch", () => {
    const { clock, log, submit } = createEngineTrial();
    submit("patient", "q1", 5);
    clock.advanceTo(10);
    submit("urgent", "q2", 0);
    clock.advanceTo(2000);
    // The urgent prompt starts after the first chunk, and its first token comes before the other prompt is complete.
    expect(log.map((line) => line.split(" ").slice(1).join(" "))).toEqual([
      "patient begun with 0",
      "urgent begun with 0",
      "urgent first",
      "urgent finished",
      "patient first",
      "patient finished",
    ]);
    expect(log[3]).toEqual("434 urgent finished");
  });

  it("queues requests when the batch is full", () => {
    const { clock, engine, submit } = createEngineTrial();
    ["a", "b", "c"].forEach((name) => submit(name, name));
    expect([engine.load().running, engine.load().waiting]).toEqual([2, 1]);
    expect(engine.load().pendingPromptTokens).toEqual(900);
    expect(engine.queueView(0).pendingTokens).toEqual(500);
    clock.advanceTo(2000);
    expect([engine.load().running, engine.load().pendingPromptTokens]).toEqual([0, 0]);
  });

  it("fails its jobs and clears its cache in a crash, and accepts no jobs until its restart", () => {
    const { clock, engine, log, submit } = createEngineTrial();
    submit("first", "q1");
    clock.advanceTo(310);
    const before = engine.load().incarnation;
    engine.crash();
    expect(log.at(-1)).toEqual("310 first failed");
    expect(submit("refused", "q2")).toEqual(undefined);
    engine.restart();
    submit("again", "q1");
    clock.advanceTo(2000);
    expect(log.includes("310 again begun with 0")).toEqual(true);
    expect(engine.load().incarnation === before).toEqual(false);
  });

  it("starts the next prompt when one is cancelled", () => {
    const { clock, log, submit } = createEngineTrial();
    const cancel = submit("given up", "q1");
    submit("next", "q2");
    clock.advanceTo(50);
    cancel?.();
    clock.advanceTo(2000);
    expect(log).toEqual([
      "0 given up begun with 0",
      "50 next begun with 0",
      "355 next first",
      "375 next finished",
    ]);
  });
});
