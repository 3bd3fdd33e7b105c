/** Accepts a configuration as a whole or names everything that is wrong with it. */
import { fileError } from "../errors.ts";
import type { FileProblem } from "../errors.ts";
import { listSchemaProblems } from "../schemaProblems.ts";
import { findCrossReferenceProblems } from "./crossReferences.ts";
import { entriesOf, salvageEntries } from "./entries.ts";
import { findJsonTextProblems } from "./jsonText.ts";
import { configurationSchema } from "./schema.ts";
import type { Configuration } from "./schema.ts";

/** A configuration that was accepted, or why it was not. */
export type ConfigurationCheck =
  | { readonly accepted: true; readonly configuration: Configuration }
  | { readonly accepted: false; readonly problems: readonly FileProblem[] };

/**
 * Checks a parsed file by schema and by cross references.
 *
 * @param file - What `JSON.parse` made of the file.
 */
export const checkConfiguration = (file: unknown): ConfigurationCheck => {
  const parsed = configurationSchema.safeParse(file);
  if (!parsed.success) {
    const crossReferences = findCrossReferenceProblems(salvageEntries(file));
    return { accepted: false, problems: [...listSchemaProblems(parsed.error), ...crossReferences] };
  }
  const problems = findCrossReferenceProblems(entriesOf(parsed.data));
  if (problems.length > 0) return { accepted: false, problems };
  return { accepted: true, configuration: parsed.data };
};

/**
 * Reads a configuration file's text.
 *
 * @param file - The file's name, for messages.
 * @throws `FileError` that lists all problems.
 */
export const parseConfiguration = (text: string, file: string): Configuration => {
  const textProblems = findJsonTextProblems(text);
  if (textProblems.length > 0) throw fileError(file, textProblems);
  const check = checkConfiguration(JSON.parse(text));
  if (!check.accepted) throw fileError(file, check.problems);
  return check.configuration;
};
