/** What the slopes bench gives, and its table. */
import type { Row } from "../report/table.ts";
import { fitLine, valueAt } from "./measure.ts";
import type { Line, Point } from "./measure.ts";

/** One dimension with its measurements. */
export interface SlopeResult {
  readonly dimension: string;
  readonly target: number;
  /** Microseconds of one decision, from the request's arrival to the report of its end. */
  readonly decision: readonly Point[];
  readonly decisionLine: Line;
  /** Bytes of heap of all that the scheduler and the engine directory keep. */
  readonly heap: readonly Point[];
  readonly heapLine: Line;
  /** The least part of decisions that gave an engine at once, over all sizes. */
  readonly admitted: number;
}

/** All that the bench gives. */
export interface SlopeReport {
  readonly policy: string;
  readonly dimensions: readonly SlopeResult[];
  /** Microseconds for one load digest in a directory of `size` engines, with the scheduler listening. */
  readonly digest: readonly Point[];
  /** Bytes of heap that `size` decisions more, each with a prompt of its own, leave behind: next to none. */
  readonly history: readonly Point[];
}

const kibibyte = 1024;

const pointCells = (points: readonly Point[], format: (value: number) => string): string =>
  points.map(({ size, value }) => `${size}: ${format(value)}`).join(", ");

const formatMicroseconds = (value: number): string => value.toFixed(1);
const formatKibibytes = (value: number): string => (value / kibibyte).toFixed(0);

/** The rows for the terminal and for the page. */
export const slopeRows = ({ dimensions: results, digest, history }: SlopeReport): readonly Row[] => [
  ["for each", "measured at", "slope", "at the target"],
  ...results.flatMap(({ dimension, target, decision, decisionLine, heap, heapLine }) => [
    [
      `${dimension}: decision, µs`,
      pointCells(decision, formatMicroseconds),
      (decisionLine.slope * 1000).toFixed(2) + " ns",
      `${target}: ${formatMicroseconds(valueAt(decisionLine, target))}`,
    ],
    [
      `${dimension}: heap, KiB`,
      pointCells(heap, formatKibibytes),
      heapLine.slope.toFixed(0) + " bytes",
      `${target}: ${formatKibibytes(valueAt(heapLine, target))}`,
    ],
  ]),
  ["load digest, µs", pointCells(digest, (value) => value.toFixed(2)), "-", "-"],
  [
    "further decision: heap, KiB",
    pointCells(history, formatKibibytes),
    fitLine(history).slope.toFixed(2) + " bytes",
    "-",
  ],
];
