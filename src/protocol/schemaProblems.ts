/** What zod refuses, as problems of a file. */
import type { z } from "zod";
import type { FileProblem } from "./errors.ts";

/** Writes a path of zod's as `organisations[2].models[0]`. */
export const formatPath = (path: readonly PropertyKey[]): string =>
  path.reduce<string>((text, step) => {
    if (typeof step === "number") return `${text}[${step}]`;
    return text === "" ? String(step) : `${text}.${String(step)}`;
  }, "");

/** Lists what zod refuses. */
export const listSchemaProblems = (error: z.ZodError): readonly FileProblem[] =>
  error.issues.map(({ path, message }) => ({ path: formatPath(path), cause: message }));
