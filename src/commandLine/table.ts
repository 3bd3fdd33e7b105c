/** Plain tables for terminals. */

/** Lines up columns; the last one is not padded. */
export const formatTable = (rows: readonly (readonly string[])[]): string => {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
  const lines = rows.map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  "));
  return lines.map((line) => `${line.trimEnd()}\n`).join("");
};

/** The part of a digest that people compare. */
export const shortDigest = (digest: string | null): string => digest?.slice(0, 12) ?? "-";

/** A moment as people and programs read it. */
export const formatTime = (millisecondsSince1970: number): string =>
  new Date(millisecondsSince1970).toISOString();
