/** Settings of the operators' client: options and environment variables take precedence over the settings file. */
import { readFile } from "node:fs/promises";
import { z } from "zod";
import { findJsonTextProblems } from "../protocol/configuration/jsonText.ts";
import { listSchemaProblems } from "../protocol/schemaProblems.ts";
import { fileError } from "../protocol/errors.ts";

/** The schema of the settings file. */
export const clientSettingsSchema = z.strictObject({
  logService: z.url().optional().describe("The platform's log service"),
  vmList: z.url().optional().describe("The platform's VM list"),
  operatorKey: z.string().min(1).optional().describe("Shown to routers"),
  publisher: z.string().min(1).max(200).optional().describe("Who publishes, for the history"),
  timeout: z
    .number()
    .int()
    .min(1)
    .max(600_000)
    .default(5_000)
    .describe("Longest wait for an answer, milliseconds"),
});

/** Validated settings. */
export type ClientSettings = Readonly<z.output<typeof clientSettingsSchema>>;

/** Settings from options and environment variables. */
export type ClientOptions = { readonly [Field in keyof ClientSettings]?: string | undefined };

/**
 * Reads a text file.
 *
 * @throws `FileError` naming the file.
 */
export const readTextFile = async (file: string): Promise<string> => {
  try {
    return await readFile(file, "utf8");
  } catch (error) {
    throw fileError(file, [{ path: "", cause: error instanceof Error ? error.message : "cannot be read" }]);
  }
};

const readJsonObject = async (file: string): Promise<object> => {
  const text = await readTextFile(file);
  const problems = findJsonTextProblems(text);
  if (problems.length > 0) throw fileError(file, problems);
  const value: unknown = JSON.parse(text);
  if (typeof value === "object" && value !== null) return value;
  throw fileError(file, [{ path: "", cause: "must be an object" }]);
};

/**
 * Merges options and the settings file, and validates the result.
 *
 * @param file - The settings file, if there is one.
 * @throws `FileError` listing all problems.
 */
export const readClientSettings = async (
  options: ClientOptions,
  file: string | undefined,
): Promise<ClientSettings> => {
  const fromFile = file === undefined ? {} : await readJsonObject(file);
  const given = Object.entries<unknown>(options).filter(([, value]) => value !== undefined);
  const parsed = clientSettingsSchema.safeParse({ ...fromFile, ...Object.fromEntries(given) });
  if (parsed.success) return parsed.data;
  throw fileError(file ?? "options", listSchemaProblems(parsed.error));
};
