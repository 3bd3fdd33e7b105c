import { describe, it } from "node:test";
import { expect } from "earl";
import { requestError, upstreamError } from "../../protocol/errors.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import { createManualClock } from "../manualClock.ts";
import type { RetryBudget } from "./retryBudget.ts";
import { createRetryDecision } from "./retryDecision.ts";
import { createStopper } from "./stopper.ts";

const deadline = 300;
const progress = { idempotent: true, mayHaveRun: true, delivered: false, continuable: true };

const createFixture = (now: number) => {
  const clock = createManualClock(now);
  const stopper = createStopper();
  const requestClass = { name: "class", firstTokenDeadline: deadline };
  const decision = createRetryDecision({
    context: { requestClass, completionDeadline: deadline, firstTokenDeadline: deadline } as never,
    stopper,
    retryBudget: { tryTake: () => true } as Pick<RetryBudget, "tryTake"> as RetryBudget,
    clock,
    metrics: new MemoryMetrics(),
    random: () => 1,
  });
  return { stopper, decision };
};

const noFirstPiece = upstreamError("no first piece in time", "stalled", "streaming");

// The first-piece timeout and the completion deadline can be due at the same time, and their timers fire in any order.
describe("a request whose last attempt sent no first piece", () => {
  it("fails with its deadline if that is due, whichever timer fired first", () => {
    const { stopper, decision } = createFixture(deadline - 1);
    expect(decision.decide(noFirstPiece, progress, new Set())).toEqual(undefined);
    expect(stopper.reason()).toEqual("deadline");
  });

  it("fails with its deadline also while it waits for an engine", () => {
    const { stopper, decision } = createFixture(deadline - 1);
    decision.decide(noFirstPiece, progress, new Set());
    const waiting = createFixture(deadline - 1);
    const noEngine = requestError("no engine", {
      code: "no_engine",
      status: 503,
      outcome: "not_run",
    } as never);
    waiting.decision.decide(noFirstPiece, progress, new Set());
    expect(waiting.decision.decide(noEngine, progress, new Set(["engine"]))).toEqual(undefined);
    expect([stopper.reason(), waiting.stopper.reason()]).toEqual(["deadline", "deadline"]);
  });

  it("is retried while there is time", () => {
    const { stopper, decision } = createFixture(0);
    expect(typeof decision.decide(noFirstPiece, progress, new Set())).toEqual("number");
    expect(stopper.reason()).toEqual(undefined);
  });
});
