import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { expect } from "earl";
import fc from "fast-check";
import { LogService } from "../../protocol/LogService.ts";
import { platformError } from "../../protocol/errors.ts";
import type { AppendedRecords, LogPage, LogRecord } from "../../protocol/types.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import type { Clock } from "../clock.ts";
import { createManualClock } from "../manualClock.ts";
import type { ManualClock } from "../manualClock.ts";
import { startLease } from "./lease.ts";
import type { Lease } from "./lease.ts";
import { createLeaseHistory } from "./leaseHistory.ts";
import { defaultEpoch } from "../../protocol/storeEpoch.ts";

const duration = 1_000;
const lease = "orders/levant";

/** What becomes of the next append of one writer. */
type AppendFate = "taken" | "answeredLate" | "answerLost" | "takenLate" | "refused";

/** One log; each writer sees it through a view of its own, with its own faults. */
const createLog = () => {
  const records: LogRecord[] = [];
  /** Answers and effects that are still on their way. */
  const late: (() => void)[] = [];
  let earliestOffset = 0;

  class View extends LogService {
    outage = false;
    next: AppendFate = "taken";

    override append(_stream: string, data: readonly string[]): Promise<AppendedRecords> {
      const take = (): AppendedRecords => ({
        offsets: data.map((item) => {
          records.push({ offset: records.length, appendedAt: 0, data: item });
          return records.length - 1;
        }),
        epoch: defaultEpoch,
      });
      const fate = this.outage ? "refused" : this.next;
      this.next = "taken";
      if (fate === "taken") return Promise.resolve(take());
      if (fate === "answeredLate") {
        const taken = take();
        return new Promise((resolve) => late.push(() => resolve(taken)));
      }
      if (fate === "answerLost") take();
      if (fate === "takenLate") late.push(take);
      return Promise.reject(platformError("no answer", "unreachable", fate !== "refused"));
    }

    override read(_stream: string, fromOffset: number, limit: number): Promise<LogPage> {
      if (this.outage) return Promise.reject(platformError("no answer", "unreachable", false));
      const kept = records.slice(Math.max(fromOffset, earliestOffset)).slice(0, limit);
      return Promise.resolve({
        records: kept,
        earliestOffset,
        nextOffset: records.length,
        epoch: defaultEpoch,
      });
    }
  }
  return {
    records,
    view: () => new View(),
    takeLate: () => late.shift()?.(),
    takeAllLate: () => {
      for (const take of late.splice(0)) take();
    },
    expire: () => (earliestOffset = records.length),
  };
};

/** A clock whose timers stand still while its process is frozen; its time goes on. */
const createFreezableClock = (clock: ManualClock) => {
  const waiting: (() => void)[] = [];
  const state = { frozen: false };
  const after: Clock["after"] = (delay, callback) =>
    clock.after(delay, () => {
      if (state.frozen) waiting.push(callback);
      else callback();
    });
  const resume = (): void => {
    state.frozen = false;
    for (const callback of waiting.splice(0)) callback();
  };
  return { clock: { ...clock, after }, freeze: () => (state.frozen = true), resume };
};

const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 4; turn += 1) await setImmediate();
};

const createContender = (name: string, log: ReturnType<typeof createLog>, clock: ManualClock) => {
  const view = log.view();
  const process = createFreezableClock(clock);
  const start = (): Lease =>
    startLease({
      name: lease,
      holder: name,
      log: view,
      history: createLeaseHistory(process.clock),
      clock: process.clock,
      metrics: new MemoryMetrics(),
      duration: () => duration,
      isCandidate: () => true,
    });
  return { name, view, process, lease: start() };
};

type Contender = ReturnType<typeof createContender>;

const createRace = (count: number) => {
  const clock = createManualClock();
  const log = createLog();
  const contenders = Array.from({ length: count }, (_, index) =>
    createContender(`router-${index}`, log, clock),
  );
  const holders = (): readonly Contender[] => contenders.filter((item) => item.lease.tenure() !== undefined);
  const advance = async (milliseconds: number): Promise<void> => {
    const end = clock.monotonic() + milliseconds;
    while (clock.monotonic() < end) {
      clock.advanceTo(Math.min(end, clock.monotonic() + 20));
      await settle();
    }
  };
  const end = async (): Promise<void> => {
    for (const { process, view } of contenders) {
      process.resume();
      view.outage = false;
    }
    log.takeAllLate();
    await Promise.all(contenders.map((item) => item.lease[Symbol.asyncDispose]()));
  };
  return { clock, log, contenders, holders, advance, end };
};

const action = fc.oneof(
  fc.record({ kind: fc.constant("advance" as const), milliseconds: fc.integer({ min: 20, max: 700 }) }),
  fc.record({
    kind: fc.constantFrom("freeze" as const, "resume" as const, "outage" as const, "heal" as const),
    who: fc.nat({ max: 2 }),
  }),
  fc.record({
    kind: fc.constant("append" as const),
    who: fc.nat({ max: 2 }),
    fate: fc.constantFrom<AppendFate>("answeredLate", "answerLost", "takenLate", "refused"),
  }),
  fc.record({ kind: fc.constant("takeLate" as const) }),
  fc.record({ kind: fc.constant("expire" as const) }),
);

describe("lease", () => {
  it("never has two holders, and each holder's number is above the last one's", async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(action, { maxLength: 30 }), async (actions) => {
        const race = createRace(3);
        let last = { name: "", fencingNumber: -1 };
        const check = (): void => {
          const holders = race.holders();
          expect(holders.length <= 1).toEqual(true);
          const [holder] = holders;
          const fencingNumber = holder?.lease.tenure()?.fencingNumber;
          if (holder === undefined || fencingNumber === undefined) return;
          if (holder.name === last.name) expect(fencingNumber >= last.fencingNumber).toEqual(true);
          else expect(fencingNumber > last.fencingNumber).toEqual(true);
          last = { name: holder.name, fencingNumber };
        };
        for (const step of actions) {
          if (step.kind === "advance") {
            for (let passed = 0; passed < step.milliseconds; passed += 20) {
              await race.advance(20);
              check();
            }
          } else if (step.kind === "takeLate") race.log.takeLate();
          else if (step.kind === "expire") race.log.expire();
          else {
            const contender = race.contenders[step.who];
            if (contender === undefined) continue;
            if (step.kind === "append") contender.view.next = step.fate;
            else if (step.kind === "freeze") contender.process.freeze();
            else if (step.kind === "resume") contender.process.resume();
            else contender.view.outage = step.kind === "outage";
          }
          await settle();
          check();
        }
        // Whatever happened, one of them holds it again soon after the faults have ended.
        for (const { process, view } of race.contenders) {
          process.resume();
          view.outage = false;
          view.next = "taken";
        }
        race.log.takeAllLate();
        await race.advance(3 * duration);
        expect(race.holders().length).toEqual(1);
        await race.end();
      }),
      { seed: 6, numRuns: 60 },
    );
  });

  it("goes on to hold through an outage that is shorter than the lease, and stops in a longer one", async () => {
    const race = createRace(1);
    await race.advance(100);
    const first = race.contenders[0]?.lease.tenure();
    expect(first?.fencingNumber).toEqual(0);
    if (race.contenders[0] !== undefined) race.contenders[0].view.outage = true;
    await race.advance(700);
    expect(first?.isValid()).toEqual(true);
    await race.advance(duration);
    expect(first?.isValid()).toEqual(false);
    expect(race.holders().length).toEqual(0);
    await race.end();
  });

  it("resolves a grant whose answer was lost by reading", async () => {
    const clock = createManualClock();
    const log = createLog();
    const contender = createContender("router-0", log, clock);
    contender.view.next = "answerLost";
    await settle();
    expect(log.records.length).toEqual(1);
    expect(contender.lease.tenure()?.fencingNumber).toEqual(0);
    await contender.lease[Symbol.asyncDispose]();
  });

  it("counts a tenure from before its append was sent, however late the answer", async () => {
    const clock = createManualClock();
    const log = createLog();
    const contender = createContender("router-0", log, clock);
    contender.view.next = "answeredLate";
    await settle();
    clock.advanceTo(duration - 1);
    log.takeAllLate();
    await settle();
    expect(log.records.length).toEqual(1);
    expect(contender.lease.tenure()).toEqual(undefined);
    await contender.lease[Symbol.asyncDispose]();
  });

  it("is given up at once by an orderly end, and taken by another without a wait", async () => {
    const race = createRace(2);
    await race.advance(300);
    const [first] = race.holders();
    const other = race.contenders.find((item) => item !== first);
    await first?.lease[Symbol.asyncDispose]();
    await race.advance(200);
    expect(other?.lease.tenure() === undefined).toEqual(false);
    await race.end();
  });

  it("hands what a holder noted to the next one, also after a crash", async () => {
    const race = createRace(2);
    await race.advance(300);
    const [first] = race.holders();
    expect(await first?.lease.tenure()?.saveNote(["engine-1"])).toEqual(true);
    first?.process.freeze();
    await race.advance(3 * duration);
    expect(race.holders()[0]?.lease.tenure()?.note()).toEqual(["engine-1"]);
    expect(race.holders()[0] === first).toEqual(false);
    await race.end();
  });

  it("is over for a holder that was frozen, before it can act again", async () => {
    const race = createRace(2);
    await race.advance(300);
    const [frozen] = race.holders();
    const old = frozen?.lease.tenure();
    frozen?.process.freeze();
    await race.advance(3 * duration);
    expect(old?.isValid()).toEqual(false);
    const next = race.holders()[0]?.lease.tenure();
    expect((next?.fencingNumber ?? -1) > (old?.fencingNumber ?? -1)).toEqual(true);
    await race.end();
  });
});
