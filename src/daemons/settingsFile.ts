/** Reads and parses settings files. */
import { readFileSync } from "node:fs";
import { fileError } from "../protocol/errors.ts";

/**
 * @returns The file's text.
 * @throws `FileError` if it can't be read.
 */
export const readSettingsText = (file: string): string => {
  try {
    return readFileSync(file, "utf8");
  } catch (cause) {
    throw fileError(file, [{ path: "", cause: (cause as Error).message }]);
  }
};

/**
 * @returns The parsed JSON.
 * @throws `FileError` if the text is not JSON.
 */
export const parseSettingsText = (text: string, file: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw fileError(file, [{ path: "", cause: (cause as SyntaxError).message }]);
  }
};
