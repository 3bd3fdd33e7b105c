/** Parses the JSON log lines of routers: a few known fields, and any others. */
import { z } from "zod";

const logLineSchema = z.looseObject({
  at: z.string(),
  part: z.string(),
  event: z.string(),
  router: z.string().default("?"),
});

/** One line. The other fields depend on the event. */
export type LogLine = Readonly<z.output<typeof logLineSchema>>;

/** The parsed lines of a text, and how many lines could not be parsed. */
export interface ReadLines {
  readonly lines: readonly LogLine[];
  readonly unreadable: number;
}

const parseLine = (text: string): LogLine | undefined => {
  // Skips prefixes that log collectors add, such as the name of the process.
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  try {
    return logLineSchema.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    return undefined;
  }
};

/** Parses the logs of any number of routers; lines may be in any order. */
export const readLogLines = (text: string): ReadLines => {
  const nonEmptyLines = text.split("\n").filter((line) => line.trim() !== "");
  const lines = nonEmptyLines.map(parseLine).filter((line) => line !== undefined);
  return { lines, unreadable: nonEmptyLines.length - lines.length };
};

/** @returns A field as text; a dash if it is missing or not a simple value. */
export const fieldOf = (line: LogLine, name: string): string => {
  const value = line[name];
  return typeof value === "string" || typeof value === "number" || typeof value === "boolean"
    ? String(value)
    : "-";
};

/** @returns A field if it is a number, else `undefined`. */
export const numberOf = (line: LogLine, name: string): number | undefined => {
  const value = line[name];
  return typeof value === "number" ? value : undefined;
};
