/** A request answered with `not_run` has not run, at whatever point it failed. */
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import fc from "fast-check";
import { headers, outcomes } from "../src/protocol/constants.ts";
import type { EngineStandIn } from "../standIns/engine/types.ts";
import { failureOf, isComplete, readStream } from "./support/eventStream.ts";
import { operatorKey, startLocalSystem } from "./support/localSystem.ts";
import type { LocalSystem } from "./support/localSystem.ts";

/** The faults that an engine can have during a round of requests. */
const failures = {
  none: () => undefined,
  outage: ({ faults }) => void (faults.outage = true),
  loseAnswers: ({ faults }) => void (faults.loseAnswers = 3),
  freeze: ({ faults }) => void (faults.freeze = true),
  latency: ({ faults }) => void (faults.latencyMilliseconds = 60),
  leaving: ({ faults }) => void (faults.leaving = true),
  garbage: ({ faults }) => void (faults.garbage = 3),
  crossAnswers: ({ faults }) => void (faults.crossAnswers = 3),
  closeEarly: ({ faults }) => void (faults.closeEarlyAfterTokens = 2),
  closeAtOnce: ({ faults }) => void (faults.closeEarlyAfterTokens = 0),
  stall: ({ faults }) => void (faults.stallAfterTokens = 1),
  die: ({ faults }) => void (faults.dieAfterTokens = 2),
} as const satisfies Record<string, (engine: EngineStandIn) => void>;
type Failure = keyof typeof failures;

const clearFaults = ({ faults }: EngineStandIn): void =>
  void Object.assign(faults, {
    outage: false,
    loseAnswers: 0,
    freeze: false,
    latencyMilliseconds: 0,
    leaving: false,
    garbage: 0,
    crossAnswers: 0,
    closeEarlyAfterTokens: null,
    stallAfterTokens: null,
    dieAfterTokens: null,
  });

/** A request of a round. */
interface Plan {
  readonly stream: boolean;
  /** Whether the request is marked as non-idempotent. */
  readonly once: boolean;
  /** Whether its class hedges. */
  readonly hedged: boolean;
  /** Milliseconds after which the caller aborts; `undefined`: never. */
  readonly leaveAfter: number | undefined;
  readonly body: "valid" | "malformed" | "rejected";
}

const planArbitrary: fc.Arbitrary<Plan> = fc.record({
  stream: fc.boolean(),
  once: fc.boolean(),
  hedged: fc.boolean(),
  leaveAfter: fc.oneof(
    { arbitrary: fc.constant(undefined), weight: 4 },
    { arbitrary: fc.nat(40), weight: 1 },
  ),
  body: fc.constantFrom("valid" as const, "valid" as const, "malformed" as const, "rejected" as const),
});

const createBody = ({ stream, body }: Plan) => ({
  model: "records-assistant",
  stream,
  max_tokens: 4,
  messages: [
    { role: "user", content: body === "rejected" ? [{ type: "image" }] : "Is attendant 17 current?" },
  ],
});

/** @returns The outcome that the caller received; `finished`, `cut`, `left` if the call threw, or `no Retry-After`. */
const sendPlan = async (system: LocalSystem, plan: Plan, key: string): Promise<string> => {
  const cancellation = plan.leaveAfter === undefined ? {} : { signal: AbortSignal.timeout(plan.leaveAfter) };
  try {
    const answer = await system.call("/v1/chat/completions", {
      body: plan.body === "malformed" ? "{" : createBody(plan),
      headers: {
        [headers.idempotencyKey]: key,
        ...(plan.once ? { [headers.idempotent]: "false" } : {}),
        [headers.requestClass]: plan.hedged ? "currency-check" : "course-summary",
      },
      ...cancellation,
    });
    if (answer.status !== 200) {
      const outcome = answer.headers.get(headers.outcome) ?? "";
      const mayRetry = outcome === outcomes.notRun && answer.status >= 429;
      const hasRetryAfter = Number(answer.headers.get(headers.retryAfter)) > 0;
      await answer.text();
      return mayRetry && !hasRetryAfter ? "no Retry-After" : outcome;
    }
    if (!plan.stream) {
      await answer.text();
      return "finished";
    }
    const stream = await readStream(answer);
    return isComplete(stream) ? "finished" : (failureOf(stream)?.outcome ?? "cut");
  } catch {
    return "left";
  }
};

const waitUntilEnginesLive = async (system: LocalSystem): Promise<void> => {
  for (;;) {
    const answer = await system.call("/operator/engines", {
      headers: { authorization: `Bearer ${operatorKey}` },
    });
    const view = (await answer.json()) as { readonly engines: readonly { readonly state: string }[] };
    if (view.engines.every(({ state }) => state === "live")) return;
    await sleep(5);
  }
};

describe("not_run", () => {
  it("is true at every point of failure, and non-idempotent requests never run twice", async () => {
    await using system = await startLocalSystem({
      engineSettings: { tokenMilliseconds: 5, maximumRunning: 2, maximumWaiting: 1 },
      changeConfiguration: (configuration) => ({
        ...configuration,
        classes: configuration.classes.map((item) => ({
          ...item,
          firstTokenDeadline: 80,
          completionDeadline: 200,
          stallTimeout: 40,
          hedgeAfter: item.hedgeAfter === undefined ? undefined : 30,
        })),
      }),
    });
    const results = new Map<string, { readonly plan: Plan; readonly outcome: string }>();
    const failure = fc.constantFrom(...(Object.keys(failures) as Failure[]));
    await fc.assert(
      fc.asyncProperty(
        fc.oneof(
          fc.tuple(failure, failure),
          failure.map((name) => [name, name] as const),
        ),
        fc.array(planArbitrary, { minLength: 4, maxLength: 6 }),
        async (chosen, round) => {
          system.engines.forEach((engine, index) => failures[chosen[index] ?? "none"](engine));
          await Promise.all(
            round.map(async (plan) => {
              const key = `${Date.now()}-request-${results.size}`;
              results.set(key, { plan, outcome: "" });
              results.set(key, { plan, outcome: await sendPlan(system, plan, key) });
            }),
          );
          system.engines.forEach(clearFaults);
          await waitUntilEnginesLive(system);
        },
      ),
      { seed: 17, numRuns: 40, endOnFailure: true },
    );

    const executions = system.engines.flatMap((engine) => engine.executions());
    const countExecutions = (key: string): number =>
      executions.filter(({ idempotencyKey }) => idempotencyKey === key).length;
    const outcomesSeen = new Set<string>();
    for (const [key, { plan, outcome }] of results) {
      outcomesSeen.add(outcome);
      if (outcome === outcomes.notRun)
        expect([key, outcome, countExecutions(key)]).toEqual([key, outcome, 0]);
      if (plan.leaveAfter === undefined) expect([key, outcome]).not.toEqual([key, "cut"]);
      if (plan.once)
        expect([key, Math.min(2, countExecutions(key))]).toEqual([key, Math.min(1, countExecutions(key))]);
    }
    // The test proves something only if the rounds reach every kind of outcome.
    expect([...outcomesSeen]).not.toInclude("no Retry-After");
    expect([...outcomesSeen]).toInclude(
      "finished",
      outcomes.notRun,
      outcomes.failed,
      outcomes.outcomeUnknown,
    );
  });
});
