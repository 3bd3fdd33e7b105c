/** Tables of text, for the terminal and for pages. */

/** A row of cells. */
export type Row = readonly string[];

const widthsOf = (rows: readonly Row[]): readonly number[] =>
  (rows[0] ?? []).map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));

const isNumeric = (text: string): boolean => /^[-∞\d]/.test(text);

/** Sets rows in columns, numbers to the right; the first row is the heading. */
export const formatTable = (rows: readonly Row[]): string => {
  const widths = widthsOf(rows);
  const numeric = widths.map((_, column) => rows.slice(1).every((row) => isNumeric(row[column] ?? "-")));
  const formatCell = (text: string, column: number): string =>
    numeric[column] === true ? text.padStart(widths[column] ?? 0) : text.padEnd(widths[column] ?? 0);
  return rows.map((row) => row.map(formatCell).join("  ").trimEnd()).join("\n");
};

/** Writes the same rows as a Markdown table. */
export const formatMarkdownTable = ([heading = [], ...rows]: readonly Row[]): string =>
  [heading, heading.map(() => "---"), ...rows].map((row) => `| ${row.join(" | ")} |`).join("\n");

/** A part as a percentage. */
export const formatShare = (share: number, digits = 1): string =>
  Number.isFinite(share) ? (share * 100).toFixed(digits) : "-";

/** Milliseconds, with a decimal where they are few. */
export const formatMilliseconds = (milliseconds: number): string =>
  Number.isFinite(milliseconds) ? milliseconds.toFixed(milliseconds < 10 ? 1 : 0) : "∞";

/** One measure over another. */
export const formatRatio = (ratio: number): string => (Number.isFinite(ratio) ? ratio.toFixed(2) : "∞");
