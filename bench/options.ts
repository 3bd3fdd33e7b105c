/** Parses the command line of `npm run bench`. */
import { parseArgs } from "node:util";
import { fileError } from "../src/protocol/errors.ts";
import type { BenchOptions } from "./types.ts";

/** Seeds used when the command line gives none. */
const defaultSeeds = [1, 2, 3] as const;

/** Which bench to run, with its options. */
export interface BenchCommand {
  /** `undefined` if the command line names no bench; the benches are then listed. */
  readonly name: string | undefined;
  readonly options: BenchOptions;
}

const readSeeds = (text: string | undefined): readonly number[] => {
  if (text === undefined) return defaultSeeds;
  const seeds = text.split(",").map(Number);
  if (seeds.every((seed) => Number.isInteger(seed))) return seeds;
  throw fileError("command line", [{ path: "--seeds", cause: "must be whole numbers separated by commas" }]);
};

const readNames = (text: string): readonly string[] => text.split(",").filter((name) => name !== "");

/**
 * Parses the command line.
 *
 * @param commandArguments - Arguments after `npm run bench --`.
 * @returns The command.
 * @throws `FileError` for seeds that are not whole numbers, `TypeError` for unknown options.
 */
export const parseBenchCommand = (commandArguments: readonly string[]): BenchCommand => {
  const { values, positionals } = parseArgs({
    args: [...commandArguments],
    allowPositionals: true,
    options: {
      json: { type: "boolean", default: false },
      write: { type: "boolean", default: false },
      quick: { type: "boolean", default: false },
      seeds: { type: "string" },
      only: { type: "string", default: "" },
    },
  });
  const { json, write, quick, seeds, only } = values;
  return {
    name: positionals[0],
    options: { json, write, quick, seeds: readSeeds(seeds), only: readNames(only) },
  };
};
