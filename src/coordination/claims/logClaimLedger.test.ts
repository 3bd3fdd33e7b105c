/** Tests that a request with an idempotency key is dispatched at most once, whatever faults the log service has. */
import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { driveClock, FakeLogService } from "../../../tests/support/FakeLogService.ts";
import type { RequestError } from "../../protocol/errors.ts";
import type { RequestContext } from "../../protocol/types.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import type { Clock } from "../clock.ts";
import { createManualClock } from "../manualClock.ts";
import type { Claim, ClaimResult } from "./ClaimLedger.ts";
import { indexSpan } from "./constants.ts";
import type { LogClaimLedger } from "./logClaimLedger.ts";
import { createLogClaimLedger } from "./logClaimLedger.ts";

const retention = 3_600_000;
const startOfTime = 1_800_000_000_000;
const answer = { status: 200, contentType: "application/json", body: Buffer.from('{"done":true}') };

const setUp = (routers: number) => {
  const clock = createManualClock(startOfTime);
  const log = new FakeLogService(clock);
  const driver = driveClock(clock, log);
  const first = startLedger(log, clock);
  const second = startLedger(log, clock);
  const others = Array.from({ length: Math.max(0, routers - 2) }, () => startLedger(log, clock));
  const ledgers = [first, second, ...others];
  return { clock, log, ledgers, first, second, [Symbol.asyncDispose]: () => driver[Symbol.asyncDispose]() };
};

const startLedger = (log: FakeLogService, clock: Clock): LogClaimLedger =>
  createLogClaimLedger({ log, clock, metrics: new MemoryMetrics(), retention: () => retention });

const contextOf = (clock: Clock, idempotencyKey: string, organisation = "petra-wings"): RequestContext =>
  ({
    organisation: { name: organisation },
    idempotencyKey,
    completionDeadline: clock.monotonic() + 10_000,
  }) as RequestContext;

const newKey = (clock: Clock, age = 0): string => `${Math.floor(clock.wall() - age)}-${crypto.randomUUID()}`;

/** @returns The kind of the result, or the outcome and code of the refusal. */
const resultOf = async (result: Promise<ClaimResult>): Promise<string> => {
  try {
    return (await result).kind;
  } catch (error) {
    const { failure } = error as RequestError;
    return `${failure.outcome} ${failure.code}`;
  }
};

const claimOf = async (result: Promise<ClaimResult>): Promise<Claim> => {
  const settled = await result;
  if (settled.kind !== "claimed") throw new TypeError("not claimed");
  return settled.claim;
};

describe("a claim", () => {
  it("is granted to only one of many routers that request it at the same time", async () => {
    await using system = setUp(8);
    const { clock, ledgers } = system;
    const context = contextOf(clock, newKey(clock));
    const results = await Promise.all(ledgers.map((ledger) => resultOf(ledger.acquire(context, "same"))));
    expect(results.filter((result) => result === "claimed").length).toEqual(1);
    expect(results.filter((result) => result === "outcome_unknown already_claimed").length).toEqual(7);
  });

  it("does not conflict with the same key of another organisation", async () => {
    await using system = setUp(2);
    const { clock, first, second } = system;
    const key = newKey(clock);
    expect(await resultOf(first.acquire(contextOf(clock, key, "petra-wings"), "a"))).toEqual("claimed");
    expect(await resultOf(second.acquire(contextOf(clock, key, "royal-desert-air"), "b"))).toEqual("claimed");
  });

  it("returns the recorded outcome to a retry at another router", async () => {
    await using system = setUp(2);
    const { clock, first, second } = system;
    const context = contextOf(clock, newKey(clock));
    const claim = await claimOf(first.acquire(context, "same"));
    await claim.complete("status 200", answer);
    const result = await second.acquire(context, "same");
    expect(result).toEqual({ kind: "completed", outcome: { summary: "status 200", answer } });
  });

  it("refuses a retry as already completed if the answer was too long to record", async () => {
    await using system = setUp(2);
    const { clock, first, second } = system;
    const context = contextOf(clock, newKey(clock));
    const claim = await claimOf(first.acquire(context, "same"));
    await claim.complete("status 200", { ...answer, body: Buffer.alloc(5_000) });
    const again = second.claim(context, "same").then(() => "claimed");
    expect(await again.catch((error: unknown) => (error as RequestError).failure)).toEqual({
      status: 409,
      code: "already_completed",
      outcome: "completed",
      parameter: "idempotency-key",
    });
  });

  it("refuses a different request with the same key", async () => {
    await using system = setUp(2);
    const { clock, first, second } = system;
    const context = contextOf(clock, newKey(clock));
    await first.acquire(context, "one");
    expect(await resultOf(second.acquire(context, "two"))).toEqual("not_run idempotency_key_reused");
  });

  it("can be acquired again after a release, also by a retry that is already waiting", async () => {
    await using system = setUp(2);
    const { clock, first, second } = system;
    const context = contextOf(clock, newKey(clock));
    const claim = await claimOf(first.acquire(context, "same"));
    const waiting = resultOf(second.acquire(context, "same"));
    await claim.release();
    expect(await waiting).toEqual("claimed");
    expect(await resultOf(first.acquire(context, "same"))).toEqual("outcome_unknown already_claimed");
  });

  it("makes no retry wait once it is abandoned, and cannot be released afterwards", async () => {
    await using system = setUp(2);
    const { clock, first, second } = system;
    const context = contextOf(clock, newKey(clock));
    const claim = await claimOf(first.acquire(context, "same"));
    await claim.abandon();
    await first.flush();
    const before = clock.monotonic();
    expect(await resultOf(second.acquire(context, "same"))).toEqual("outcome_unknown already_claimed");
    expect(clock.monotonic() - before < 100).toEqual(true);
    await claim.release();
    expect(await resultOf(second.acquire(context, "same"))).toEqual("outcome_unknown already_claimed");
  });

  it("stays in force after its holder died before dispatching or answering", async () => {
    await using system = setUp(1);
    const { clock, log, first } = system;
    const context = contextOf(clock, newKey(clock));
    await first.acquire(context, "same");
    const restarted = startLedger(log, clock);
    expect(await resultOf(restarted.acquire(context, "same"))).toEqual("outcome_unknown already_claimed");
  });
});

describe("an idempotency key", () => {
  const cases: readonly (readonly [string, (clock: Clock) => string, string])[] = [
    ["without an issue time", () => "sign-off-17", "not_run invalid_idempotency_key"],
    [
      "that is a random UUID",
      () => "0b4cf3c6-27fb-4f2e-9d0c-2f3a0c5d9b11",
      "not_run invalid_idempotency_key",
    ],
    ["from the future", (clock) => newKey(clock, -60_000), "not_run idempotency_key_from_future"],
    ["issued within the allowed clock skew", (clock) => newKey(clock, -10_000), "claimed"],
    [
      "issued longer ago than claims are kept",
      (clock) => newKey(clock, retention + 1_000),
      "outcome_unknown idempotency_key_too_old",
    ],
    ["issued almost as long ago", (clock) => newKey(clock, retention - 60_000), "claimed"],
  ];
  for (const [name, makeKey, expected] of cases) {
    it(`${name}: ${expected}`, async () => {
      await using system = setUp(1);
      const { clock, first } = system;
      expect(await resultOf(first.acquire(contextOf(clock, makeKey(clock)), "same"))).toEqual(expected);
    });
  }

  it("is checked against the log service's clock if the router's clock is wrong", async () => {
    await using system = setUp(1);
    const { clock, log, first } = system;
    log.clockOffset = retention + 1_000;
    expect(await resultOf(first.acquire(contextOf(clock, newKey(clock)), "same"))).toEqual(
      "outcome_unknown idempotency_key_too_old",
    );
  });

  it("is still found after it was evicted from the index, and by a router that has just started", async () => {
    await using system = setUp(1);
    const { clock, log, first } = system;
    const context = contextOf(clock, newKey(clock));
    await first.acquire(context, "same");
    for (const age of [1, 2, 3]) {
      log.clockOffset = age * indexSpan;
      // Advances the index: 40 random keys, so that each of the four partitions very likely gets some.
      for (let index = 0; index < 40; index += 1) {
        await first.acquire(contextOf(clock, newKey(clock, -log.clockOffset)), "x").catch(() => undefined);
      }
    }
    const again = { ...context, completionDeadline: clock.monotonic() + 10_000 };
    expect(await resultOf(first.acquire(again, "same"))).toEqual("outcome_unknown already_claimed");
    const restarted = startLedger(log, clock);
    expect(await resultOf(restarted.acquire(again, "same"))).toEqual("outcome_unknown already_claimed");
  });
});

describe("a log service that fails", () => {
  it("makes requests fail as not_run while it is unavailable, and a retry runs after it recovers", async () => {
    await using system = setUp(2);
    const { clock, log, first, second } = system;
    const context = contextOf(clock, newKey(clock));
    log.isDown = true;
    expect(await resultOf(first.acquire(context, "same"))).toEqual("not_run claims_unavailable");
    log.isDown = false;
    expect(await resultOf(second.acquire(context, "same"))).toEqual("claimed");
  });

  it("does not prevent a claim when answers to appends are lost", async () => {
    await using system = setUp(1);
    const { clock, log, first } = system;
    log.loseAnswers = 3;
    expect(await resultOf(first.acquire(contextOf(clock, newKey(clock)), "same"))).toEqual("claimed");
  });

  it("leaves no claim behind if no append is answered", async () => {
    await using system = setUp(2);
    const { clock, log, first, second } = system;
    const context = contextOf(clock, newKey(clock));
    log.loseAnswers = 1_000;
    expect(await resultOf(first.acquire(context, "same"))).toEqual("not_run claims_unavailable");
    log.loseAnswers = 0;
    expect(await resultOf(second.acquire(context, "same"))).toEqual("claimed");
  });

  it("leaves no claim behind if the claim cannot be read back", async () => {
    await using system = setUp(2);
    const { clock, log, first, second } = system;
    const context = contextOf(clock, newKey(clock));
    log.readsFail = true;
    expect(await resultOf(first.acquire(context, "same"))).toEqual("not_run claims_unavailable");
    log.readsFail = false;
    expect(await resultOf(second.acquire(context, "same"))).toEqual("claimed");
  });

  it("may append a claim after its release, and the claim is ignored", async () => {
    await using system = setUp(2);
    const { clock, log, first, second } = system;
    const context = contextOf(clock, newKey(clock));
    log.delayAppends = 1;
    const claim = await claimOf(first.acquire(context, "same"));
    await claim.release();
    log.applyDelayedAppends();
    expect(await resultOf(second.acquire(context, "same"))).toEqual("claimed");
  });

  it("is probed with single records while it is unavailable", async () => {
    await using system = setUp(1);
    const { clock, log, first } = system;
    log.loseAppends = 1_000;
    const attempts = Array.from({ length: 200 }, () =>
      resultOf(first.acquire(contextOf(clock, newKey(clock)), "x")),
    );
    expect([...new Set(await Promise.all(attempts))]).toEqual(["not_run claims_unavailable"]);
    log.loseAppends = 0;
    await first.flush();
    // Releases are appended only for claims that may have been appended.
    expect(log.records().length < 60).toEqual(true);
  });
});

describe("an append", () => {
  it("contains the claims of many requests", async () => {
    await using system = setUp(1);
    const { clock, log, first } = system;
    const attempts = Array.from({ length: 400 }, () => first.acquire(contextOf(clock, newKey(clock)), "x"));
    await Promise.all(attempts);
    expect(log.appends <= 8).toEqual(true);
  });
});

describe("at most once", () => {
  const fault = fc.constantFrom("none", "down", "loseAnswers", "loseAppends", "delayAppends", "readsFail");
  const step = fc.record({
    router: fc.nat(2),
    key: fc.nat(2),
    fault,
    ending: fc.constantFrom("dies", "releases", "completes"),
    arrive: fc.boolean(),
    restart: fc.boolean(),
    together: fc.boolean(),
  });

  it("holds for random interleavings of retries, router restarts and log faults", async () => {
    const property = fc.asyncProperty(fc.array(step, { minLength: 2, maxLength: 12 }), async (steps) => {
      await using system = setUp(3);
      const { clock, log, ledgers } = system;
      const keys = [newKey(clock), newKey(clock), newKey(clock)];
      const runs = new Map<string, number>();
      const pending: Promise<unknown>[] = [];

      const request = async ({ router, key, ending }: (typeof steps)[number]): Promise<void> => {
        const name = keys[key] ?? "";
        const attempt = ledgers[router]?.acquire(contextOf(clock, name), "same");
        const result = await attempt?.catch(() => undefined);
        if (result?.kind !== "claimed") return;
        if (ending === "releases") {
          await result.claim.release();
          return;
        }
        runs.set(name, (runs.get(name) ?? 0) + 1);
        if (ending === "completes") await result.claim.complete("status 200", answer);
      };

      for (const item of steps) {
        log.isDown = item.fault === "down";
        log.readsFail = item.fault === "readsFail";
        log.loseAnswers = item.fault === "loseAnswers" ? 2 : 0;
        log.loseAppends = item.fault === "loseAppends" ? 2 : 0;
        log.delayAppends = item.fault === "delayAppends" ? 2 : 0;
        if (item.restart) ledgers[item.router] = startLedger(log, clock);
        pending.push(request(item));
        if (!item.together) await pending.at(-1);
        if (item.arrive) log.applyDelayedAppends();
      }
      log.isDown = false;
      log.readsFail = false;
      await Promise.all(pending);
      log.applyDelayedAppends();
      for (const key of [0, 1, 2]) {
        const last = { router: 0, key, ending: "completes" as const };
        await request({ ...last, fault: "none", arrive: false, restart: false, together: false });
      }
      expect(runs.size).toEqual(3);
      expect([...runs.values()].filter((count) => count > 1)).toEqual([]);
    });
    await fc.assert(property, { seed: 5, numRuns: 80 });
  });
});
