/** Results of the slopes bench and their table. */
import type { Row } from "../report/table.ts";
import { fitLine, valueAt } from "./measure.ts";
import type { Line, Point } from "./measure.ts";

/** Measurements along one dimension. */
export interface SlopeResult {
  readonly dimension: string;
  readonly target: number;
  /** Microseconds of one decision, from the arrival of the request to the report of its end. */
  readonly decision: readonly Point[];
  readonly decisionLine: Line;
  /** Bytes of heap retained by the scheduler and the engine directory. */
  readonly heap: readonly Point[];
  readonly heapLine: Line;
  /** Share of the decisions that yielded an engine immediately; the minimum over all sizes. */
  readonly admitted: number;
}

/** Results of the bench for one policy. */
export interface SlopeReport {
  readonly policy: string;
  readonly dimensions: readonly SlopeResult[];
  /** Microseconds to apply one load digest to a directory of `size` engines that the scheduler observes. */
  readonly digest: readonly Point[];
  /** Bytes of heap retained after `size` more decisions, each with a unique prompt; expected to be close to 0. */
  readonly history: readonly Point[];
}

const kibibyte = 1024;

const pointCells = (points: readonly Point[], format: (value: number) => string): string =>
  points.map(({ size, value }) => `${size}: ${format(value)}`).join(", ");

const formatMicroseconds = (value: number): string => value.toFixed(1);
const formatKibibytes = (value: number): string => (value / kibibyte).toFixed(0);

/** @returns A heading and the rows for the terminal and the capacity page. */
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
