/** `npm run schemas`: writes the JSON Schema files. */
import { writeFile } from "node:fs/promises";
import { createSchemaFiles, repositoryRoot } from "./schemaFiles.ts";

for (const { path, text } of await createSchemaFiles()) {
  await writeFile(new URL(path, repositoryRoot), text);
}
