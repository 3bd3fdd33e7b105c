/** The decision where a request finds memory, without simulated engines. */
import { describe, it } from "node:test";
import { expect } from "earl";
import type { Prompt } from "../../protocol/forwarding/types.ts";
import { createReplicaState } from "../../state/forwarding/replicaState.ts";
import { engineEntry } from "../../../tests/support/forwardingFixture.ts";
import { createBatchMemory, expectedAnswer } from "./batchMemory.ts";

const memoryTokens = 100_000;

const promptOf = (tokens: number, answerTokens: number, expectedAnswerTokens?: number): Prompt => ({
  model: "m",
  tokens,
  answerTokens,
  expectedAnswerTokens,
  parts: [],
});

const replicaWith = (own: number, others = 0) => {
  const replica = createReplicaState(engineEntry("a"));
  replica.reservedTokens = own;
  replica.peerTotals.reservedTokens = others;
  return replica;
};

describe("the expected answer", () => {
  it("is bounded by the stated maximum, so that a hint that is too long wastes no memory", () => {
    expect(expectedAnswer(promptOf(1, 1_000, 100))).toEqual(400);
    expect(expectedAnswer(promptOf(1, 400, 1_000))).toEqual(400);
    expect(expectedAnswer(promptOf(1, 0, 100))).toEqual(400);
  });

  it("is a share of the maximum without a hint, and nothing if that is not stated either", () => {
    expect(expectedAnswer(promptOf(1, 400))).toEqual(200);
    expect(expectedAnswer(promptOf(1, 0))).toEqual(0);
  });
});

describe("the cost of memory", () => {
  it("is nothing while the request fits, whoever reserved the rest", () => {
    const { costAt } = createBatchMemory();
    expect(costAt(replicaWith(45_000, 38_000), 12_000, memoryTokens)).toEqual(0);
    expect(costAt(replicaWith(0, 83_001), 12_000, memoryTokens)).toBeGreaterThan(400);
  });

  it("grows with the excess, so that the replica that lacks least is preferred where none has room", () => {
    const { costAt } = createBatchMemory();
    const costs = [90_000, 95_000, 140_000].map((own) => costAt(replicaWith(own), 12_000, memoryTokens));
    expect(costs).toEqual([...costs].sort((left, right) => left - right));
    expect(new Set(costs).size).toEqual(3);
  });

  it("grows with the time for which requests hold memory at the service", () => {
    const memory = createBatchMemory();
    const before = memory.costAt(replicaWith(150_000), 12_000, memoryTokens);
    for (let index = 0; index < 200; index += 1) memory.noteHeld("engines", 6_000);
    expect(memory.costAt(replicaWith(150_000), 12_000, memoryTokens)).toBeGreaterThan(before * 2);
  });
});

describe("the reservation of a request", () => {
  it("counts parts that the replica caches for others only in part", () => {
    const { reservationOf } = createBatchMemory();
    const whole = reservationOf(promptOf(12_000, 200, 100), 0);
    expect(whole).toEqual(12_200);
    expect(reservationOf(promptOf(12_000, 200, 100), 8_000)).toBeLessThan(whole);
    expect(reservationOf(promptOf(12_000, 200, 100), 8_000)).toBeGreaterThan(whole - 8_000);
  });
});
