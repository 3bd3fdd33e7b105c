/** Generates the JSON Schemas in the repository from the zod schemas that the programs use. */
import { format } from "prettier";
import { z } from "zod";
import { clientSettingsSchema } from "../src/commandLine/clientSettings.ts";
import { routerSettingsSchema } from "../src/daemons/routerSettings.ts";
import { configurationSchema } from "../src/protocol/configuration/schema.ts";

/** A schema file with its content. */
export interface SchemaFile {
  /** Relative to the repository's root. */
  readonly path: string;
  readonly text: string;
}

/** Path, title and zod schema of each file. The JSON Schemas describe the input, so fields with defaults are optional. */
const schemas: readonly (readonly [path: string, title: string, schema: z.ZodType])[] = [
  ["docs/configuration.schema.json", "pomelocleat configuration", configurationSchema],
  ["docs/router-settings.schema.json", "pomelocleat router settings", routerSettingsSchema],
  ["docs/client-settings.schema.json", "pomelocleat client settings", clientSettingsSchema],
];

const createSchemaFile = async (path: string, title: string, schema: z.ZodType): Promise<SchemaFile> => {
  const { $schema, ...fields } = z.toJSONSchema(schema, { io: "input" });
  const text = JSON.stringify({ $schema, title, ...fields });
  return { path, text: await format(text, { parser: "json", printWidth: 110 }) };
};

/** @returns All schema files, formatted. */
export const createSchemaFiles = (): Promise<readonly SchemaFile[]> =>
  Promise.all(schemas.map(([path, title, schema]) => createSchemaFile(path, title, schema)));

/** The repository's root, relative to the compiled tools. */
export const repositoryRoot = new URL("../../", import.meta.url);
