/** `npm run bench -- slopes`: what a router's decisions cost in processor time and memory, by size. */
import { policies, policyNames } from "../policies/policies.ts";
import type { Policy } from "../policies/Policy.ts";
import { formatTable } from "../report/table.ts";
import type { Bench, BenchOptions } from "../types.ts";
import { writeCapacitySection } from "./capacity.ts";
import { fitLine, heapInUse, timeCalls } from "./measure.ts";
import type { Point } from "./measure.ts";
import { slopeRows } from "./report.ts";
import type { SlopeReport, SlopeResult } from "./report.ts";
import { createSchedulerHarness } from "./schedulerHarness.ts";
import type { Size } from "./schedulerHarness.ts";

/** What is counted, and what the target of the first letter makes of it for one node. */
interface Dimension {
  readonly name: string;
  readonly sizes: readonly number[];
  readonly target: number;
  readonly sizeOf: (value: number) => Size;
}

/** 12,000 replicas in 12 data centres; a router knows those of its own. */
const enginesOfDataCentre = 1000;

const usual: Size = { engines: 200, organisations: 50, prefixes: 2000 };

const dimensions: readonly Dimension[] = [
  {
    name: "engine",
    sizes: [8, 100, 250, 500, 1000],
    target: enginesOfDataCentre,
    sizeOf: (engines) => ({ ...usual, engines }),
  },
  {
    name: "organisation",
    sizes: [8, 100, 250, 570],
    target: 570,
    sizeOf: (organisations) => ({ ...usual, organisations }),
  },
  {
    name: "tracked prefix",
    sizes: [500, 2000, 8000, 32_000],
    target: 32_000,
    sizeOf: (prefixes) => ({ ...usual, prefixes }),
  },
];

/** Enough to fill every bounded table. */
const decisionsToFill = 10_000;
const decisionsTimed = { usual: 1000, quick: 300 } as const;

const timeAndWeigh = async (policy: Policy, size: Size, timed: number) => {
  const before = await heapInUse();
  const subject = createSchedulerHarness(policy, size);
  await subject.decide(decisionsToFill);
  const bytes = (await heapInUse()) - before;
  const microseconds = await timeCalls(timed, subject.decide);
  return { bytes, microseconds, admitted: subject.admitted() };
};

const measureDimension = async (
  policy: Policy,
  { name, sizes, target, sizeOf }: Dimension,
  timed: number,
): Promise<SlopeResult> => {
  const decision: Point[] = [];
  const heap: Point[] = [];
  let least = 1;
  for (const size of sizes) {
    const { bytes, microseconds, admitted } = await timeAndWeigh(policy, sizeOf(size), timed);
    decision.push({ size, value: microseconds });
    heap.push({ size, value: bytes });
    least = Math.min(least, admitted);
  }
  const lines = { decisionLine: fitLine(decision), heapLine: fitLine(heap) };
  return { dimension: name, target, decision, heap, ...lines, admitted: least };
};

const measureDigests = async (policy: Policy, timed: number): Promise<readonly Point[]> => {
  const points: Point[] = [];
  for (const engines of [100, enginesOfDataCentre]) {
    const subject = createSchedulerHarness(policy, { ...usual, engines });
    await subject.decide(decisionsToFill);
    const value = await timeCalls(timed, subject.takeDigests);
    points.push({ size: engines, value });
  }
  return points;
};

const measureHistory = async (policy: Policy): Promise<readonly Point[]> => {
  const subject = createSchedulerHarness(policy, usual);
  await subject.decide(decisionsToFill);
  const before = await heapInUse();
  const points: Point[] = [];
  let made = 0;
  for (const size of [10_000, 40_000, 80_000]) {
    await subject.decide(size - made);
    made = size;
    points.push({ size, value: (await heapInUse()) - before });
  }
  return points;
};

const measure = async (policy: Policy, quick: boolean): Promise<SlopeReport> => {
  const timed = quick ? decisionsTimed.quick : decisionsTimed.usual;
  const results: SlopeResult[] = [];
  // Compiled code and caches of the runtime must not count as the first size's memory.
  await timeAndWeigh(policy, usual, timed);
  for (const dimension of dimensions) results.push(await measureDimension(policy, dimension, timed));
  return {
    policy: policy.name,
    dimensions: results,
    digest: await measureDigests(policy, timed),
    history: await measureHistory(policy),
  };
};

const run = async ({ json, quick, write, only }: BenchOptions): Promise<void> => {
  const names: readonly string[] = only.length > 0 ? only : [policyNames.leastLoaded, policyNames.ours];
  for (const policy of policies.filter(({ name }) => names.includes(name))) {
    const report = await measure(policy, quick);
    if (write && policy.name === policyNames.ours) writeCapacitySection(report);
    if (json) console.log(JSON.stringify({ bench: "slopes", ...report }));
    else console.log(`\n# ${policy.name}\n${formatTable(slopeRows(report))}`);
  }
};

/** Decision time and memory by size. */
export const slopesBench: Bench = {
  name: "slopes",
  summary: "decision time and memory of a router by engines, organisations, prefixes, digests",
  run,
};
