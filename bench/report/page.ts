/** Writes generated sections of the documentation. */
import { execFileSync } from "node:child_process";
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";

/** @returns Abbreviated hash of the last commit that changed `src`, which identifies the benchmarked code. */
export const commitName = (): string =>
  execFileSync("git", ["log", "-1", "--format=%h", "--", "src"], { encoding: "utf8" }).trim();

/**
 * Replaces the text between a section's markers, or appends the section if the page does not have it.
 *
 * @returns The new page.
 */
export const replaceSection = (page: string, section: string, text: string): string => {
  const begin = `<!-- begin ${section} -->`;
  const end = `<!-- end ${section} -->`;
  const block = `${begin}\n${text}\n${end}`;
  const from = page.indexOf(begin);
  const until = page.indexOf(end);
  if (from < 0 || until < from) return `${page.trimEnd()}\n\n${block}\n`;
  return page.slice(0, from) + block + page.slice(until + end.length);
};

/**
 * Writes a section of a page, and creates the page if necessary.
 *
 * @param title - Heading of a newly created page.
 */
export const writeSection = (file: string, title: string, section: string, text: string): void => {
  const page = existsSync(file) ? readFileSync(file, "utf8") : `# ${title}\n`;
  writeFile(file, replaceSection(page, section, text));
};

/** Writes a file and creates its parent directories. */
export const writeFile = (file: string, text: string): void => {
  mkdirSync(dirname(file), { recursive: true });
  writeFileSync(file, text);
};
