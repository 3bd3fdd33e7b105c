/** Writes the schema files: `npm run schemas`. */
import { writeFile } from "node:fs/promises";
import { createSchemaFiles, repositoryRoot } from "./schemaFiles.ts";

for (const { path, text } of await createSchemaFiles()) {
  await writeFile(new URL(path, repositoryRoot), text);
}
