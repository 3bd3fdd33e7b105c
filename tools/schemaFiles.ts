/** The JSON Schemas that the repository ships, made from the zod schemas that the programs use. */
import { format } from "prettier";
import { z } from "zod";
import { clientSettingsSchema } from "../src/commandLine/clientSettings.ts";
import { routerSettingsSchema } from "../src/daemons/routerSettings.ts";
import { configurationSchema } from "../src/protocol/configuration/schema.ts";

/** A file to write, as text. */
export interface SchemaFile {
  /** From the repository's root. */
  readonly path: string;
  readonly text: string;
}

/** The programs' schemas by file; what a file may leave out is optional in them. */
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

/** Makes all schema files. */
export const createSchemaFiles = (): Promise<readonly SchemaFile[]> =>
  Promise.all(schemas.map(([path, title, schema]) => createSchemaFile(path, title, schema)));

/** The repository's root, seen from the compiled tools. */
export const repositoryRoot = new URL("../../", import.meta.url);
