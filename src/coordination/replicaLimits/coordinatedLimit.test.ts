import { describe, it } from "node:test";
import { expect } from "earl";
import type { AnswerSpan } from "../../state/forwarding/limitWord.ts";
import { createManualClock } from "../manualClock.ts";
import { endedAfter } from "./constants.ts";
import { createKeptLimit } from "./coordinatedLimit.ts";

const span = (askedAt: number, heardAt: number): AnswerSpan => ({ askedAt, heardAt });

const word = (perSecond: number, askedAt: number, heardAt: number) => ({
  perSecond,
  ...span(askedAt, heardAt),
});

const start = () => createKeptLimit(createManualClock(1_000), word(2, 100, 200));

describe("what a keeper believes of a limit", () => {
  it("is the lower of two that routers heard at once, in whichever order they are told", () => {
    for (const [first, second] of [
      [word(1, 150, 300), word(5, 160, 310)],
      [word(5, 160, 310), word(1, 150, 300)],
    ] as const) {
      const limit = createKeptLimit(createManualClock(1_000), first);
      limit.hear(second);
      expect(limit.rate()).toEqual(1);
    }
  });

  it("rises and falls with what was asked for after the last word had come", () => {
    const limit = start();
    limit.hear(word(8, 210, 300));
    expect(limit.rate()).toEqual(8);
    limit.hear(word(0.5, 310, 400));
    expect(limit.rate()).toEqual(0.5);
  });

  it("isn't changed by a word that came before, and is told late", () => {
    const limit = start();
    limit.hear(word(8, 210, 300));
    limit.hear(word(1, 20, 90));
    limit.hear(word(1, 100, 200));
    expect(limit.rate()).toEqual(8);
  });

  it("isn't doubted for one answer without the word, nor for the same one told twice", () => {
    const limit = start();
    for (let times = 0; times < 2 * endedAfter; times += 1) limit.hearUnnamed(span(210, 300));
    expect(limit.rate()).toEqual(2);
    expect(limit.endedAt()).toEqual(undefined);
  });

  it("isn't doubted for answers that were under way when the word came", () => {
    const limit = start();
    for (let times = 0; times < 2 * endedAfter; times += 1) limit.hearUnnamed(span(150 + times, 250));
    expect(limit.rate()).toEqual(2);
  });

  it("rises with answers in a row that name none, and is over after some", () => {
    const limit = start();
    const rates = Array.from({ length: endedAfter }, (_, index) => {
      limit.hearUnnamed(span(210 + index * 100, 300 + index * 100));
      return limit.rate();
    });
    expect(rates).toEqual([2, 4, 8, 16, 32]);
    expect(limit.endedAt()).toEqual(300 + (endedAfter - 1) * 100);
  });

  it("begins again only with a word that came after those that named none", () => {
    const limit = start();
    for (let index = 0; index < endedAfter; index += 1)
      limit.hearUnnamed(span(210 + index * 100, 300 + index * 100));
    limit.hear(word(2, 150, 260));
    limit.hear(word(2, 100, 200));
    expect(limit.endedAt() === undefined).toEqual(false);
    limit.hear(word(3, 900, 1_000));
    expect([limit.endedAt(), limit.rate()]).toEqual([undefined, 3]);
  });

  it("never counts fewer than one answer in ten seconds, so that an end shows", () => {
    const limit = createKeptLimit(createManualClock(1_000), word(0, 100, 200));
    expect(limit.rate()).toEqual(0.1);
  });
});
