/** Writes the cost of decisions into the capacity page, extrapolated to one node of the target deployment. */
import { commitName, writeSection } from "../report/page.ts";
import { formatMarkdownTable } from "../report/table.ts";
import type { Row } from "../report/table.ts";
import { valueAt } from "./measure.ts";
import { slopeRows } from "./report.ts";
import type { SlopeReport } from "./report.ts";

/** One node of the target deployment: 460 nodes in front of 12,000 replicas in 12 data centres. */
const node = {
  /** 19,000 requests per second over 460 nodes. */
  decisionsPerSecond: 41,
  /** Load digests of the data centre's 1,000 engines, one every 2 s from each. */
  digestsPerSecond: 500,
} as const;

/** Share of one core that the requirements allow for the control path. */
const controlShare = 0.019;

const page = "docs/CAPACITY.md";

const microsecondsInSecond = 1_000_000;
const mebibyte = 1024 * 1024;

const atTarget = ({ dimensions, digest }: SlopeReport) => {
  const engines = dimensions.find(({ dimension }) => dimension === "engine");
  const organisations = dimensions.find(({ dimension }) => dimension === "organisation");
  const decision = engines?.decision.at(-1)?.value ?? NaN;
  const moreOrganisations =
    organisations === undefined
      ? NaN
      : valueAt(organisations.heapLine, organisations.target) - valueAt(organisations.heapLine, 50);
  return {
    decision,
    decisionShare: (decision * node.decisionsPerSecond) / microsecondsInSecond,
    digestShare: ((digest.at(-1)?.value ?? NaN) * node.digestsPerSecond) / microsecondsInSecond,
    heap: (engines?.heap.at(-1)?.value ?? NaN) + moreOrganisations,
  };
};

const summaryRows = (report: SlopeReport): readonly Row[] => {
  const { decision, decisionShare, digestShare, heap } = atTarget(report);
  const percent = (share: number): string => `${(share * 100).toFixed(2)} % of a core`;
  return [
    ["for one node at the target", "worked out"],
    [`${node.decisionsPerSecond} decisions a second of ${decision.toFixed(0)} µs`, percent(decisionShare)],
    [`${node.digestsPerSecond} load digests a second, taken in (not received)`, percent(digestShare)],
    ["allowed for all control", percent(controlShare)],
    ["scheduler and directory, 1,000 engines, 570 organisations", `${(heap / mebibyte).toFixed(1)} MiB`],
  ];
};

/** Writes the section "Measured slopes: decisions" of the capacity page. */
export const writeCapacitySection = (report: SlopeReport): void => {
  const text = [
    "## Measured slopes: decisions",
    `\`npm run bench -- slopes --write\` with src as of ${commitName()}: decisions of one router alone, others fixed at 200 engines, 50 organisations, 2,000 prefixes.`,
    formatMarkdownTable(slopeRows(report)),
    formatMarkdownTable(summaryRows(report)),
  ];
  writeSection(page, "Capacity", "slopes of decisions", text.join("\n\n"));
};
