/** Validates a configuration as a whole and reports all its problems at once. */
import { fileError } from "../errors.ts";
import type { FileProblem } from "../errors.ts";
import { listSchemaProblems } from "../schemaProblems.ts";
import { findCrossReferenceProblems } from "./crossReferences.ts";
import { collectValidEntries, listAllEntries } from "./entries.ts";
import { findJsonTextProblems } from "./jsonText.ts";
import { configurationSchema } from "./schema.ts";
import type { Configuration } from "./schema.ts";

/** The accepted configuration, or the problems for which it was refused. */
export type ConfigurationCheck =
  | { readonly accepted: true; readonly configuration: Configuration }
  | { readonly accepted: false; readonly problems: readonly FileProblem[] };

/**
 * Validates a parsed file against the schema and checks its cross references.
 *
 * @param file - The result of `JSON.parse`.
 */
export const checkConfiguration = (file: unknown): ConfigurationCheck => {
  const parsed = configurationSchema.safeParse(file);
  if (!parsed.success) {
    const crossReferences = findCrossReferenceProblems(collectValidEntries(file));
    return { accepted: false, problems: [...listSchemaProblems(parsed.error), ...crossReferences] };
  }
  const problems = findCrossReferenceProblems(listAllEntries(parsed.data));
  if (problems.length > 0) return { accepted: false, problems };
  return { accepted: true, configuration: parsed.data };
};

/**
 * Parses and validates the text of a configuration file.
 *
 * @param file - The file's name, for error messages.
 * @throws `FileError` that lists all the problems.
 */
export const parseConfiguration = (text: string, file: string): Configuration => {
  const textProblems = findJsonTextProblems(text);
  if (textProblems.length > 0) throw fileError(file, textProblems);
  const check = checkConfiguration(JSON.parse(text));
  if (!check.accepted) throw fileError(file, check.problems);
  return check.configuration;
};
