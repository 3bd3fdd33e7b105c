/** Settings files: their text, and what is wrong with it. Functions throw `FileError`. */
import { readFileSync } from "node:fs";
import { fileError } from "../protocol/errors.ts";

/** @returns The file's text. */
export const readSettingsText = (file: string): string => {
  try {
    return readFileSync(file, "utf8");
  } catch (cause) {
    throw fileError(file, [{ path: "", cause: (cause as Error).message }]);
  }
};

/** @returns What the JSON says. */
export const parseSettingsText = (text: string, file: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw fileError(file, [{ path: "", cause: (cause as SyntaxError).message }]);
  }
};
