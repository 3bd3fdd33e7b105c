/** Parses records of the platform's store. */
import { z } from "zod";
import { platformError } from "./errors.ts";
import { listSchemaProblems } from "./schemaProblems.ts";

/**
 * Parses the JSON of a record.
 *
 * @param key - The record's key, for the message of an error.
 * @throws `PlatformError` that names the fields at fault.
 */
export const parseRecord = <Schema extends z.ZodType>(
  schema: Schema,
  key: string,
  text: string,
): z.output<Schema> => {
  try {
    return schema.parse(JSON.parse(text));
  } catch (cause) {
    const problems = cause instanceof z.ZodError ? listSchemaProblems(cause) : [];
    const details = problems.map((problem) => `: ${problem.path}: ${problem.cause}`).join("");
    throw platformError(`the record ${key} can't be read${details}`, "malformed", false, cause);
  }
};

/**
 * Parses the key of a record, or a text made from it.
 *
 * @throws `PlatformError` if it can't be used.
 */
export const parseKey = (schema: z.ZodType<string>, key: string): string => {
  const { data, error } = schema.safeParse(key);
  if (data !== undefined) return data;
  const problems = listSchemaProblems(error).map(({ cause }) => cause);
  throw platformError(`the key ${key} can't be used: ${problems.join(", ")}`, "malformed", false);
};
