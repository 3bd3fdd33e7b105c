import { describe, it } from "node:test";
import { expect } from "earl";
import { warmUp } from "../model/constants.ts";
import { createLevantMix } from "../model/mixes.ts";
import type { RequestRecord } from "../model/types.ts";
import { classOutcomes, organisationOutcomes } from "./measures.ts";

const mix = createLevantMix();

/** A check of 5,000 tokens, of which engines held 4,000: 129 ms of an idle engine. */
const createRecord = (at: number, changes: Partial<RequestRecord>): RequestRecord => ({
  arrival: {
    at: warmUp + at,
    organisation: "petra-wings",
    className: "currency-check",
    levels: [],
    promptTokens: 5000,
    outputTokens: 1,
    router: 0,
  },
  outcome: "finished",
  firstTokenAfter: 100,
  assignedAfter: 10,
  endedAfter: 200,
  attempts: 1,
  cachedAnywhereTokens: 4000,
  startedTokens: 5000,
  cachedTokens: 4000,
  wastedTokens: 0,
  ...changes,
});

const refused = { outcome: "refused", firstTokenAfter: undefined, assignedAfter: undefined } as const;

const outcomesOf = (records: readonly RequestRecord[]) => {
  const results = [{ records, prefillShare: 0 }];
  const [checks] = classOutcomes(results, mix, warmUp + 1000);
  const [organisation] = organisationOutcomes(results, mix, warmUp + 1000);
  return { checks, organisation };
};

describe("the admission bench's measures", () => {
  it("tell in time, late, refused and unanswered apart", () => {
    const { checks } = outcomesOf([
      createRecord(0, {}),
      createRecord(1, { firstTokenAfter: 601 }),
      createRecord(2, refused),
      createRecord(3, { outcome: "late", firstTokenAfter: undefined }),
    ]);
    const { inTime, late, refused: parts, unanswered } = checks ?? {};
    expect([inTime, late, parts, unanswered]).toEqual([0.25, 0.25, 0.25, 0.25]);
  });

  it("count how long a refused request had been hopeless", () => {
    // The deadline is 600 ms and the best engine needs 129 ms.
    expect(outcomesOf([createRecord(0, { ...refused, endedAfter: 571 })]).checks?.hopelessFor).toEqual(100);
    expect(outcomesOf([createRecord(0, { ...refused, endedAfter: 400 })]).checks?.hopelessFor).toEqual(0);
  });

  it("count what an organisation has under way at once and is admitted in one second", () => {
    const records = [0, 100, 250, 1105].map((at) => createRecord(at, {}));
    const { organisation } = outcomesOf([...records, createRecord(160, refused)]);
    expect([organisation?.mostConcurrent, organisation?.mostAdmittedPerSecond]).toEqual([2, 3]);
  });
});
