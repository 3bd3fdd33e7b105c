import { describe, it } from "node:test";
import { expect } from "earl";
import type { AnswerSpan } from "../../state/forwarding/reportedLimit.ts";
import { createManualClock } from "../manualClock.ts";
import { missingLimitsToEnd } from "./constants.ts";
import { createCoordinatedLimit } from "./coordinatedLimit.ts";

const span = (askedAt: number, heardAt: number): AnswerSpan => ({ askedAt, receivedAt: heardAt });

const reported = (perSecond: number, askedAt: number, heardAt: number) => ({
  perSecond,
  ...span(askedAt, heardAt),
});

const start = () => createCoordinatedLimit(createManualClock(1_000), reported(2, 100, 200));

describe("a coordinated limit", () => {
  it("is the lower of two that were reported at the same time, in whichever order they arrive", () => {
    for (const [first, second] of [
      [reported(1, 150, 300), reported(5, 160, 310)],
      [reported(5, 160, 310), reported(1, 150, 300)],
    ] as const) {
      const limit = createCoordinatedLimit(createManualClock(1_000), first);
      limit.observeLimit(second);
      expect(limit.rate()).toEqual(1);
    }
  });

  it("follows reports in answers that were requested after the last report had arrived", () => {
    const limit = start();
    limit.observeLimit(reported(8, 210, 300));
    expect(limit.rate()).toEqual(8);
    limit.observeLimit(reported(0.5, 310, 400));
    expect(limit.rate()).toEqual(0.5);
  });

  it("ignores older reports that arrive late", () => {
    const limit = start();
    limit.observeLimit(reported(8, 210, 300));
    limit.observeLimit(reported(1, 20, 90));
    limit.observeLimit(reported(1, 100, 200));
    expect(limit.rate()).toEqual(8);
  });

  it("does not rise with one answer without a limit, even if it is reported repeatedly", () => {
    const limit = start();
    for (let count = 0; count < 2 * missingLimitsToEnd; count += 1) limit.observeNoLimit(span(210, 300));
    expect(limit.rate()).toEqual(2);
    expect(limit.endedAt()).toEqual(undefined);
  });

  it("does not rise with answers without a limit that were in flight when the limit was reported", () => {
    const limit = start();
    for (let count = 0; count < 2 * missingLimitsToEnd; count += 1)
      limit.observeNoLimit(span(150 + count, 250));
    expect(limit.rate()).toEqual(2);
  });

  it("rises with consecutive answers without a limit, and then ends", () => {
    const limit = start();
    const rates = Array.from({ length: missingLimitsToEnd }, (_, index) => {
      limit.observeNoLimit(span(210 + index * 100, 300 + index * 100));
      return limit.rate();
    });
    expect(rates).toEqual([2, 4, 8, 16, 32]);
    expect(limit.endedAt()).toEqual(300 + (missingLimitsToEnd - 1) * 100);
  });

  it("restarts only with a report that arrived after the answers without a limit", () => {
    const limit = start();
    for (let index = 0; index < missingLimitsToEnd; index += 1)
      limit.observeNoLimit(span(210 + index * 100, 300 + index * 100));
    limit.observeLimit(reported(2, 150, 260));
    limit.observeLimit(reported(2, 100, 200));
    expect(limit.endedAt() === undefined).toEqual(false);
    limit.observeLimit(reported(3, 900, 1_000));
    expect([limit.endedAt(), limit.rate()]).toEqual([undefined, 3]);
  });

  it("grants one request in ten seconds at a limit of 0, so that its end shows", () => {
    const limit = createCoordinatedLimit(createManualClock(1_000), reported(0, 100, 200));
    expect(limit.rate()).toEqual(0.1);
  });
});
