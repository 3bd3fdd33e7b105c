import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  createSchedulingFixture,
  finished,
  settlePromises,
  textOf,
} from "../../../tests/support/schedulingFixture.ts";
import type { AssignmentProgress } from "../../../tests/support/schedulingFixture.ts";
import type { Assignment } from "./Scheduler.ts";

const codeOf = ({ refusal }: AssignmentProgress): string | undefined => refusal?.failure.code;
const isWaiting = ({ assignment, refusal }: AssignmentProgress): boolean =>
  assignment === undefined && refusal === undefined;
const assignmentsOf = (group: readonly AssignmentProgress[]): readonly Assignment[] =>
  group.flatMap(({ assignment }) => assignment ?? []);

const answerOf = (assignment: Assignment, cachedTokens = 0) =>
  finished(assignment, { promptTokens: 2_004, completionTokens: 16, cachedTokens });

describe("PredictiveScheduler: placement", () => {
  it("sends prompts with the same prefix to the engine that has it cached, the same one at every router", async () => {
    const chosen = new Set<string>();
    for (let router = 0; router < 3; router += 1) {
      const { assign, createWork, clock } = createSchedulingFixture({ engines: 8 });
      for (let question = 0; question < 5; question += 1) {
        const assignment = await assign(createWork());
        chosen.add(assignment.engine.id);
        clock.advanceTo(clock.monotonic() + 300);
        assignment.markFirstToken();
        assignment.release(answerOf(assignment, question === 0 ? 0 : 2_000));
      }
    }
    expect(chosen.size).toEqual(1);
  });

  it("expects an empty cache after a restart, a change of weights or a removal from the VM list", async () => {
    const invalidations: readonly ((
      system: ReturnType<typeof createSchedulingFixture>,
      at: Assignment,
    ) => void)[] = [
      ({ report }, { engine }) => report(engine.id, { incarnation: "b" }),
      ({ report }, { engine }) => {
        report(engine.id, { weightsVersion: "2" });
        report(engine.id, { weightsVersion: "1" });
      },
      ({ list, report, ids }, { engine }) => {
        list(ids.filter((id) => id !== engine.id));
        list(ids);
        report(engine.id);
      },
    ];
    for (const invalidate of invalidations) {
      const system = createSchedulingFixture({ engines: 1 });
      const first = await system.assign(system.createWork());
      first.markFirstToken();
      first.release(answerOf(first));
      const second = await system.assign(system.createWork());
      expect(second.expectedCachedTokens).toEqual(2_000);
      system.clock.advanceTo(10);
      invalidate(system, first);
      const third = await system.assign(system.createWork());
      expect(third.expectedCachedTokens).toEqual(0);
      // An answer from before the crash must not count as evidence of cached levels.
      second.markFirstToken();
      second.release(answerOf(second, 2_000));
      third.release({ ...answerOf(third), ended: "failed", firstTokenAfter: undefined });
      const fourth = await system.assign(system.createWork());
      expect(fourth.expectedCachedTokens).toEqual(0);
    }
  });

  it("does not rely on the cache of an engine that answers with another incarnation than reported", async () => {
    const { assign, createWork } = createSchedulingFixture({ engines: 1 });
    const first = await assign(createWork());
    first.markFirstToken();
    first.release({ ...answerOf(first), incarnation: "b" });
    expect((await assign(createWork())).expectedCachedTokens).toEqual(0);
  });

  it("does not count prefixes that another organisation has cached", async () => {
    const { assign, createWork } = createSchedulingFixture({ engines: 1 });
    const first = await assign(createWork({ organisation: "noto" }));
    first.markFirstToken();
    first.release(answerOf(first));
    expect((await assign(createWork({ organisation: "ragusa" }))).expectedCachedTokens).toEqual(0);
  });

  it("never chooses an engine that is excluded, leaving, suspect or on other weights", async () => {
    const { assign, begin, clock, createWork, directory, report } = createSchedulingFixture({ engines: 5 });
    directory.markLeaving("engine-0");
    directory.markFailed("engine-1", 0);
    report("engine-2", { weightsVersion: "2" });
    const only = await assign(createWork({ excluded: ["engine-3"] }));
    expect(only.engine.id).toEqual("engine-4");
    const none = begin(createWork({ excluded: ["engine-1", "engine-3", "engine-4"] }));
    await settlePromises();
    expect(codeOf(none)).toEqual("no_engine");
    const suspectOnly = begin(createWork({ excluded: ["engine-3", "engine-4"] }));
    clock.advanceTo(2_000);
    await settlePromises();
    expect(codeOf(suspectOnly)).toEqual("no_engine");
  });

  it("waits up to one second for a failed engine to report again", async () => {
    const { begin, clock, createWork, directory, report } = createSchedulingFixture({ engines: 1 });
    directory.markFailed("engine-0", 0);
    const early = begin(createWork());
    await settlePromises();
    expect(isWaiting(early)).toEqual(true);
    clock.advanceTo(900);
    report("engine-0");
    clock.advanceTo(950);
    await settlePromises();
    expect(early.assignment?.engine.id).toEqual("engine-0");
    directory.markFailed("engine-0", 950);
    const late = begin(createWork());
    clock.advanceTo(1_900);
    await settlePromises();
    expect(isWaiting(late)).toEqual(true);
    clock.advanceTo(2_000);
    await settlePromises();
    expect(codeOf(late)).toEqual("no_engine");
  });

  it("spreads a hot prefix over more engines before any of them is full", async () => {
    const { begin, createWork, clock } = createSchedulingFixture({ engines: 8, maximumRunning: 8 });
    const requests: AssignmentProgress[] = [];
    for (let question = 0; question < 400; question += 1) {
      requests.push(begin(createWork()));
      await settlePromises();
      clock.advanceTo(clock.monotonic() + 20);
      for (const assignment of assignmentsOf(requests)) assignment.markFirstToken();
      const [ended] = requests.length > 20 ? assignmentsOf(requests.splice(0, 1)) : [];
      ended?.release(answerOf(ended, 2_000));
      expect(requests.filter(isWaiting).length).toEqual(0);
    }
    const chosen = new Set(assignmentsOf(requests).map(({ engine }) => engine.id));
    expect(chosen.size).toBeGreaterThan(2);
  });
});

describe("PredictiveScheduler: admission", () => {
  it("refuses at once, with Retry-After, work that cannot meet its deadline", async () => {
    const { begin, createWork, report } = createSchedulingFixture({ engines: 1 });
    report("engine-0", { running: 4, waiting: 3, pendingPromptTokens: 50_000 });
    const urgent = begin(createWork({ requestClass: "price-lookup" }));
    const batch = begin(createWork({ requestClass: "reconciliation" }));
    await settlePromises();
    expect(codeOf(urgent)).toEqual("overloaded");
    expect(urgent.refusal?.failure.outcome).toEqual("not_run");
    expect(urgent.refusal?.failure.retryAfterSeconds).toEqual(5);
    expect(isWaiting(batch)).toEqual(true);
  });

  it("refuses queued work once its deadline cannot be met, and serves the rest", async () => {
    const { begin, assign, createWork, clock } = createSchedulingFixture({ engines: 1, maximumRunning: 1 });
    const slotHolder = await assign(createWork());
    slotHolder.markFirstToken();
    const queued = begin(createWork());
    clock.advanceTo(100);
    const urgent = begin(createWork({ requestClass: "price-lookup" }));
    await settlePromises();
    if (isWaiting(urgent)) clock.advanceTo(700);
    await settlePromises();
    expect(codeOf(urgent)).toEqual("overloaded");
    expect(isWaiting(queued)).toEqual(true);
    slotHolder.release(answerOf(slotHolder));
    clock.advanceTo(clock.monotonic() + 1);
    await settlePromises();
    expect(queued.assignment?.engine.id).toEqual("engine-0");
  });

  it("removes queued work when its caller disconnects", async () => {
    const { assign, begin, createWork, clock, scheduler } = createSchedulingFixture({
      engines: 1,
      maximumRunning: 1,
    });
    const slotHolder = await assign(createWork());
    const caller = new AbortController();
    const waiting = begin(createWork(), caller.signal);
    caller.abort();
    await settlePromises();
    expect(codeOf(waiting)).toEqual("caller_gone");
    slotHolder.release(answerOf(slotHolder));
    clock.advanceTo(100);
    const next = await assign(createWork());
    next.release(answerOf(next));
    expect((scheduler.dump() as { readonly waiting: number }).waiting).toEqual(0);
  });

  it("serves interactive work before batch work, and loses none of either", async () => {
    const { assign, begin, createWork, clock } = createSchedulingFixture({ engines: 1, maximumRunning: 1 });
    let slotHolder = await assign(createWork());
    const batch = Array.from({ length: 3 }, () => begin(createWork({ requestClass: "reconciliation" })));
    const interactive = Array.from({ length: 3 }, () => begin(createWork()));
    for (let round = 0; round < 6; round += 1) {
      slotHolder.markFirstToken();
      slotHolder.release(answerOf(slotHolder, 2_000));
      clock.advanceTo(clock.monotonic() + 1);
      await settlePromises();
      const granted = [interactive, batch].map((group) => assignmentsOf(group).length);
      expect(granted).toEqual([Math.min(3, round + 1), Math.max(0, round - 2)]);
      const latest = round < 3 ? interactive[round] : batch[round - 3];
      slotHolder = latest?.assignment ?? slotHolder;
    }
  });

  it("serves organisations in proportion to their standing, even when one floods the queue", async () => {
    const { assign, begin, createWork, clock } = createSchedulingFixture({
      engines: 1,
      maximumRunning: 1,
      standings: { flood: 1, noto: 3 },
    });
    let slotHolder = await assign(createWork({ organisation: "flood" }));
    const segments = [textOf("rules", 100), "question"];
    const flood = Array.from({ length: 20 }, () => begin(createWork({ organisation: "flood", segments })));
    const noto = Array.from({ length: 8 }, () => begin(createWork({ organisation: "noto", segments })));
    const assigned = new Set([slotHolder]);
    for (let round = 0; round < 8; round += 1) {
      slotHolder.markFirstToken();
      slotHolder.release(answerOf(slotHolder));
      clock.advanceTo(clock.monotonic() + 1);
      await settlePromises();
      slotHolder =
        assignmentsOf([...flood, ...noto]).find((assignment) => !assigned.has(assignment)) ?? slotHolder;
      assigned.add(slotHolder);
    }
    expect([flood, noto].map((group) => assignmentsOf(group).length)).toEqual([2, 6]);
  });

  it("runs a request that is late only for its cold prefix at low priority, and refuses it behind a queue", async () => {
    const { assign, begin, createWork, report } = createSchedulingFixture({ engines: 1 });
    const long = { requestClass: "price-lookup", segments: [textOf("rules", 8_000), "question"] };
    const late = await assign(createWork(long));
    expect(late.priority).toEqual(6);
    expect(late.expectedCachedTokens).toEqual(0);
    report("engine-0", { running: 4, waiting: 3, pendingPromptTokens: 50_000 });
    const other = { ...long, segments: [textOf("other rules", 8_000), "question"] };
    const behind = begin(createWork(other));
    await settlePromises();
    expect(codeOf(behind)).toEqual("overloaded");
  });

  it("lowers the priority of an organisation that is over its prefill budget", async () => {
    const { assign, createWork, clock } = createSchedulingFixture({
      engines: 8,
      maximumRunning: 64,
      standings: { flood: 1, noto: 15 },
    });
    const priorities: (number | undefined)[] = [];
    for (let number = 0; number < 30; number += 1) {
      const segments = [textOf(`season ${number}`, 2_000), "question"];
      priorities.push((await assign(createWork({ organisation: "flood", segments }))).priority);
    }
    expect(Math.max(...priorities.slice(0, 5).map((priority) => priority ?? 0)) < 7).toEqual(true);
    expect((priorities.at(-1) ?? 0) >= 7).toEqual(true);
    const rival = await assign(createWork({ organisation: "noto", segments: ["question"] }));
    expect(rival.priority).toEqual(3);
    clock.advanceTo(60_000);
    const later = await assign(createWork({ organisation: "flood", segments: ["question"] }));
    expect(later.priority).toEqual(3);
  });

  it("does not count waiting batch work against its organisation's interactive work", async () => {
    const { assign, begin, createWork } = createSchedulingFixture({ engines: 4, concurrentRequests: 4 });
    const batch = Array.from({ length: 10 }, () => begin(createWork({ requestClass: "reconciliation" })));
    await settlePromises();
    expect(assignmentsOf(batch).length).toEqual(3);
    expect(batch.filter(isWaiting).length).toEqual(7);
    expect((await assign(createWork())).engine.pool).toEqual("modelli");
  });

  it("enforces an organisation's limit, and counts a retried request once", async () => {
    const { assign, begin, createWork } = createSchedulingFixture({ concurrentRequests: 2 });
    const first = await assign(createWork());
    await assign(createWork());
    const third = begin(createWork());
    await settlePromises();
    expect(codeOf(third)).toEqual("organisation_limit");
    first.release({ ...answerOf(first), ended: "failed", firstTokenAfter: undefined });
    const again = await assign(createWork({ excluded: [first.engine.id] }));
    const beyond = begin(createWork());
    await settlePromises();
    expect(codeOf(beyond)).toEqual("organisation_limit");
    again.release(answerOf(again));
    expect((await assign(createWork())).engine.pool).toEqual("modelli");
  });
});

const step = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant("ask" as const), requestClass: fc.nat(2) }) },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant("end" as const), which: fc.nat(20), complete: fc.boolean() }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("abort" as const), which: fc.nat(40) }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("wait" as const), time: fc.integer({ min: 1, max: 400 }) }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("report" as const),
      engine: fc.nat(2),
      running: fc.nat(4),
      incarnation: fc.constantFrom("a", "b"),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("fail" as const), engine: fc.nat(2) }) },
);

describe("PredictiveScheduler: random sequences of events", () => {
  it("ends every request exactly once, assigns only live engines, and refuses before the deadline", async () => {
    const classes = ["price-lookup", "line-tagging", "reconciliation"];
    const property = fc.asyncProperty(fc.array(step, { maxLength: 60, size: "max" }), async (steps) => {
      const system = createSchedulingFixture({ engines: 3, maximumRunning: 2 });
      const { clock, directory, scheduler } = system;
      const requests: { readonly begun: AssignmentProgress; readonly caller: AbortController }[] = [];
      const released = new Set<Assignment>();
      const end = (assignment: Assignment, complete: boolean): void => {
        if (complete) assignment.markFirstToken();
        assignment.release(complete ? answerOf(assignment) : { ...answerOf(assignment), ended: "failed" });
        released.add(assignment);
      };
      const running = (): readonly Assignment[] =>
        assignmentsOf(requests.map(({ begun }) => begun)).filter((assignment) => !released.has(assignment));
      for (const action of steps) {
        if (action.kind === "ask") {
          const caller = new AbortController();
          const work = system.createWork({ requestClass: classes[action.requestClass] ?? "" });
          requests.push({ begun: system.begin(work, caller.signal), caller });
        } else if (action.kind === "end") {
          const assignment = running()[action.which];
          if (assignment !== undefined) end(assignment, action.complete);
        } else if (action.kind === "abort") requests[action.which]?.caller.abort();
        else if (action.kind === "wait") clock.advanceTo(clock.monotonic() + action.time);
        else if (action.kind === "report") system.report(`engine-${action.engine}`, action);
        else directory.markFailed(`engine-${action.engine}`, clock.monotonic());
        await settlePromises();
        for (const id of system.ids) {
          const own = running().filter(({ engine }) => engine.id === id).length;
          expect(directory.get(id)?.inFlight).toEqual(own);
        }
      }
      for (const id of system.ids) system.report(id);
      for (let round = 0; round < 200 && requests.some(({ begun }) => isWaiting(begun)); round += 1) {
        for (const assignment of running()) end(assignment, true);
        clock.advanceTo(clock.monotonic() + 50);
        await settlePromises();
      }
      expect(requests.filter(({ begun }) => isWaiting(begun)).length).toEqual(0);
      expect((scheduler.dump() as { readonly waiting: number }).waiting).toEqual(0);
    });
    await fc.assert(property, { numRuns: 150, seed: 20261202 });
  });
});
