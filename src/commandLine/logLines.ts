/** Log lines of routers as a person's tools read them: any fields, some of them known. */
import { z } from "zod";

const logLineSchema = z.looseObject({
  at: z.string(),
  part: z.string(),
  event: z.string(),
  router: z.string().default("?"),
});

/** One line. Fields besides these differ by event. */
export type LogLine = Readonly<z.output<typeof logLineSchema>>;

/** The lines of a text, and how many were none of a router's. */
export interface ReadLines {
  readonly lines: readonly LogLine[];
  readonly unreadable: number;
}

const parseLine = (text: string): LogLine | undefined => {
  // What collectors put before a line, such as a process's name, is skipped.
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  try {
    return logLineSchema.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    return undefined;
  }
};

/** Reads the logs of any number of routers, in any order. */
export const readLogLines = (text: string): ReadLines => {
  const written = text.split("\n").filter((line) => line.trim() !== "");
  const lines = written.map(parseLine).filter((line) => line !== undefined);
  return { lines, unreadable: written.length - lines.length };
};

/** @returns A field as text; a dash if there is none. */
export const fieldOf = (line: LogLine, name: string): string => {
  const value = line[name];
  return typeof value === "string" || typeof value === "number" || typeof value === "boolean"
    ? String(value)
    : "-";
};

/** @returns A field if it is a number. */
export const numberOf = (line: LogLine, name: string): number | undefined => {
  const value = line[name];
  return typeof value === "number" ? value : undefined;
};
