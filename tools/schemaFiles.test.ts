import { readFile } from "node:fs/promises";
import { describe, it } from "node:test";
import { expect } from "earl";
import { createSchemaFiles, repositoryRoot } from "./schemaFiles.ts";

describe("createSchemaFiles", () => {
  it("creates the committed schema files (to update them: npm run schemas)", async () => {
    for (const { path, text } of await createSchemaFiles()) {
      expect(await readFile(new URL(path, repositoryRoot), "utf8")).toEqual(text);
    }
  });
});
