/** Runs a case and writes down what was sent, answered and run. */
import { createWriteStream } from "node:fs";
import { join } from "node:path";

/** Exit codes of a case: the rule held, it was broken, or the case could not run. */
const exitCodes = { held: 0, broken: 1, failed: 2 } as const;

/** Longest time that a case may take, milliseconds. */
const timeLimit = 115_000;

/** Writes lines to the record of a case. */
export type WriteRecord = (line: string) => void;

/** What a case has found. */
export interface Verdict {
  readonly isBroken: boolean;
  readonly summary: string;
}

/** What a case is run with. */
export interface CaseContext {
  readonly write: WriteRecord;
  /** False runs the same without the disruption. */
  readonly hasTrouble: boolean;
}

/**
 * Runs a case and ends the process with its result.
 *
 * @param folder - The folder of the case, where its record is written.
 * @param run - Must end all processes that it starts before it settles.
 */
export const runCase = async (
  folder: string,
  run: (context: CaseContext) => Promise<Verdict>,
): Promise<never> => {
  const output = createWriteStream(join(folder, "record.txt"));
  const startedAt = performance.now();
  const write: WriteRecord = (line) => {
    output.write(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${line}\n`);
  };
  const end = (code: number): Promise<never> =>
    new Promise(() => {
      output.end(() => process.exit(code));
    });
  setTimeout(() => {
    console.error("The case took too long.");
    process.exit(exitCodes.failed);
  }, timeLimit).unref();
  for (const signal of ["SIGTERM", "SIGINT"]) process.once(signal, () => process.exit(exitCodes.failed));
  const hasTrouble = process.env.TROUBLE !== "0";
  write(`trouble: ${hasTrouble}`);
  try {
    const { isBroken, summary } = await run({ write, hasTrouble });
    write(`${isBroken ? "BROKEN" : "HELD"}: ${summary}`);
    console.log(`${isBroken ? "broken" : "held"}: ${summary}`);
    return await end(isBroken ? exitCodes.broken : exitCodes.held);
  } catch (error) {
    write(`FAILED: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}`);
    console.error(error);
    return end(exitCodes.failed);
  }
};
