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

const create = (now: number) => {
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

const silent = upstreamError("no first piece in time", "stalled", "streaming");

describe("a request whose last attempt is silent", () => {
  it("has failed by its deadline where that is due, whichever timer fired first", () => {
    const { stopper, decision } = create(deadline - 1);
    expect(decision.decide(silent, progress, new Set())).toEqual(undefined);
    expect(stopper.reason()).toEqual("deadline");
  });

  it("has failed by its deadline also while it waits for an engine", () => {
    const { stopper, decision } = create(deadline - 1);
    decision.decide(silent, progress, new Set());
    const waiting = create(deadline - 1);
    const noEngine = requestError("no engine", {
      code: "no_engine",
      status: 503,
      outcome: "not_run",
    } as never);
    waiting.decision.decide(silent, progress, new Set());
    expect(waiting.decision.decide(noEngine, progress, new Set(["engine"]))).toEqual(undefined);
    expect([stopper.reason(), waiting.stopper.reason()]).toEqual(["deadline", "deadline"]);
  });

  it("is tried again while there is time", () => {
    const { stopper, decision } = create(0);
    expect(typeof decision.decide(silent, progress, new Set())).toEqual("number");
    expect(stopper.reason()).toEqual(undefined);
  });
});
