/** Formats tables for the terminal and for Markdown pages. */

/** The cells of a row. */
export type Row = readonly string[];

const widthsOf = (rows: readonly Row[]): readonly number[] =>
  (rows[0] ?? []).map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));

const isNumeric = (text: string): boolean => /^[-∞\d]/.test(text);

/** Formats rows as aligned columns with numbers right-aligned; the first row is the heading. */
export const formatTable = (rows: readonly Row[]): string => {
  const widths = widthsOf(rows);
  const numeric = widths.map((_, column) => rows.slice(1).every((row) => isNumeric(row[column] ?? "-")));
  const formatCell = (text: string, column: number): string =>
    numeric[column] === true ? text.padStart(widths[column] ?? 0) : text.padEnd(widths[column] ?? 0);
  return rows.map((row) => row.map(formatCell).join("  ").trimEnd()).join("\n");
};

/** Formats rows as a Markdown table; the first row is the heading. */
export const formatMarkdownTable = ([heading = [], ...rows]: readonly Row[]): string =>
  [heading, heading.map(() => "---"), ...rows].map((row) => `| ${row.join(" | ")} |`).join("\n");

/** Formats a share between 0 and 1 as a percentage without the sign. */
export const formatShare = (share: number, digits = 1): string =>
  Number.isFinite(share) ? (share * 100).toFixed(digits) : "-";

/** Formats milliseconds, with one decimal place below 10. */
export const formatMilliseconds = (milliseconds: number): string =>
  Number.isFinite(milliseconds) ? milliseconds.toFixed(milliseconds < 10 ? 1 : 0) : "∞";

/** Formats a ratio with two decimal places. */
export const formatRatio = (ratio: number): string => (Number.isFinite(ratio) ? ratio.toFixed(2) : "∞");
