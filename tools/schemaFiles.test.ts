import { readFile } from "node:fs/promises";
import { describe, it } from "node:test";
import { expect } from "earl";
import { createSchemaFiles, repositoryRoot } from "./schemaFiles.ts";

describe("createSchemaFiles", () => {
  it("makes what is committed; otherwise run npm run schemas", async () => {
    for (const { path, text } of await createSchemaFiles()) {
      expect(await readFile(new URL(path, repositoryRoot), "utf8")).toEqual(text);
    }
  });
});
