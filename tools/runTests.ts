/**
 * Runs the given test files. Tests listed in `KNOWN-RED.txt` (the text before the first bar of a line) may fail and are
 * printed; any other failure fails the run. Used by both `npm test` and CI, so that their results agree.
 */
import { spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";

const knownFailuresFile = "KNOWN-RED.txt";

const concurrency = 4;

/** Tests that measure a process's memory run one file at a time, after all others. */
const isExclusive = (file: string): boolean => file.includes("/exclusive/");

/** @returns The names of the tests that may fail. */
const readKnownFailures = (): readonly string[] =>
  (existsSync(knownFailuresFile) ? readFileSync(knownFailuresFile, "utf8") : "")
    .split("\n")
    .filter((line) => line.trim() !== "")
    .map((line) => line.split("|")[0]?.trim() ?? "");

/** Matches failed tests within suites, and files that exited before their tests ran; ignores the lines of suites. */
const failedTestLine = /^(?: +not ok \d+ - (.*?)|not ok \d+ - (.*\.test\.m?js))(?: # .*)?$/;

const run = async (
  files: readonly string[],
  concurrentFiles: number,
): Promise<{ readonly failed: readonly string[]; readonly isPassing: boolean }> => {
  const failed = new Set<string>();
  const runner = spawn(
    process.execPath,
    [
      "--enable-source-maps",
      "--test",
      `--test-concurrency=${concurrentFiles}`,
      "--test-reporter=tap",
      ...files,
    ],
    { stdio: ["ignore", "pipe", "inherit"] },
  );
  let rest = "";
  runner.stdout.setEncoding("utf8");
  runner.stdout.on("data", (text: string) => {
    process.stdout.write(text);
    const lines = (rest + text).split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) {
      const found = failedTestLine.exec(line);
      const name = found?.[1] ?? found?.[2];
      if (name !== undefined) failed.add(name);
    }
  });
  const code = await new Promise<number | null>((resolve) => runner.on("close", resolve));
  return { failed: [...failed], isPassing: code === 0 };
};

const knownFailures = readKnownFailures();
const files = process.argv.slice(2);
const results = [
  await run(
    files.filter((file) => !isExclusive(file)),
    concurrency,
  ),
  await run(files.filter(isExclusive), 1),
];
const failed = results.flatMap((result) => result.failed);
const isPassing = results.every((result) => result.isPassing);
if (knownFailures.length > 0)
  console.log(`Known failures (${knownFailuresFile}):\n${readFileSync(knownFailuresFile, "utf8")}`);
const unexpected = failed.filter((name) => !knownFailures.includes(name));
for (const name of unexpected) console.log(`Unexpected failure: ${name}`);
const onlyKnownFailed = failed.length > 0 && unexpected.length === 0;
if (!isPassing && onlyKnownFailed) console.log("Only known failures occurred.");
process.exitCode = isPassing || onlyKnownFailed ? 0 : 1;
