import type { Readable } from "node:stream";
import { text as readAll } from "node:stream/consumers";
import { readTextFile } from "./clientSettings.ts";
import type { ReadLines } from "./logLines.ts";
import { readLogLines } from "./logLines.ts";

/** @returns A line about the lines that could not be parsed; empty if all could. */
export const describeUnreadable = (unreadable: number): string =>
  unreadable === 0 ? "" : `${unreadable} lines were not a router's\n`;

/**
 * Reads logs from files, or from standard input if no files are given.
 *
 * @throws `FileError` if a file can't be read.
 */
export const readLogs = async (files: readonly string[], input: Readable): Promise<ReadLines> => {
  const texts = files.length === 0 ? [await readAll(input)] : await Promise.all(files.map(readTextFile));
  return readLogLines(texts.join("\n"));
};
