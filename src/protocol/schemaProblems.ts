/** Converts zod errors into problems of a file. */
import type { z } from "zod";
import type { FileProblem } from "./errors.ts";

/** Formats the path of a zod issue, for example `organisations[2].models[0]`. */
export const formatPath = (path: readonly PropertyKey[]): string =>
  path.reduce<string>((text, key) => {
    if (typeof key === "number") return `${text}[${key}]`;
    return text === "" ? String(key) : `${text}.${String(key)}`;
  }, "");

/** Lists the issues of a zod error as problems of a file. */
export const listSchemaProblems = (error: z.ZodError): readonly FileProblem[] =>
  error.issues.map(({ path, message }) => ({ path: formatPath(path), cause: message }));
