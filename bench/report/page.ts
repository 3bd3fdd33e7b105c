/** Parts of the project's pages that benches write. */
import { execFileSync } from "node:child_process";
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";

/** Which state of the product's code a page's figures are of: the last commit that changed it. */
export const commitName = (): string =>
  execFileSync("git", ["log", "-1", "--format=%h", "--", "src"], { encoding: "utf8" }).trim();

/** Puts a text in place of what stands between a page's markers, or at its end. */
export const replaceSection = (page: string, section: string, text: string): string => {
  const begin = `<!-- begin ${section} -->`;
  const end = `<!-- end ${section} -->`;
  const block = `${begin}\n${text}\n${end}`;
  const from = page.indexOf(begin);
  const until = page.indexOf(end);
  if (from < 0 || until < from) return `${page.trimEnd()}\n\n${block}\n`;
  return page.slice(0, from) + block + page.slice(until + end.length);
};

/** Writes a section of a page that may not exist yet. */
export const writeSection = (file: string, title: string, section: string, text: string): void => {
  const page = existsSync(file) ? readFileSync(file, "utf8") : `# ${title}\n`;
  writeFile(file, replaceSection(page, section, text));
};

/** Writes a file, with the folders that it needs. */
export const writeFile = (file: string, text: string): void => {
  mkdirSync(dirname(file), { recursive: true });
  writeFileSync(file, text);
};
