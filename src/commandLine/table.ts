/** Plain text tables for terminals. */

/** Pads cells so that columns line up; trailing spaces are removed. */
export const formatTable = (rows: readonly (readonly string[])[]): string => {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
  const lines = rows.map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  "));
  return lines.map((line) => `${line.trimEnd()}\n`).join("");
};

/** @returns The first characters of a digest, enough for people to compare. */
export const shortDigest = (digest: string | null): string => digest?.slice(0, 12) ?? "-";

/** @returns A time in ISO 8601. */
export const formatTime = (millisecondsSince1970: number): string =>
  new Date(millisecondsSince1970).toISOString();
