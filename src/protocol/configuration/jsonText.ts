/**
 * A JSON syntax check that reports positions. `JSON.parse` gives no position for some syntax errors and accepts
 * duplicate names in an object; both have to be reported for a configuration file.
 */
import type { FileProblem } from "../errors.ts";

/** Deepest accepted nesting; deeper nesting is reported as an error. */
const maximumDepth = 64;

const whitespace = /[ \t\n\r]*/y;
const stringToken = /"(?:[^"\\\u0000-\u001f]|\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4}))*"/y;
const plainToken = /-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?|true|false|null/y;

/** A syntax error. */
interface SyntaxFault {
  readonly position: number;
  readonly cause: string;
}

/** The position after a value, or the syntax error in it. */
type ScanResult = number | SyntaxFault;

const isFault = (result: ScanResult): result is SyntaxFault => typeof result !== "number";

const match = (pattern: RegExp, text: string, position: number): string | undefined => {
  pattern.lastIndex = position;
  return pattern.exec(text)?.[0];
};

const skipWhitespace = (text: string, position: number): number =>
  position + (match(whitespace, text, position)?.length ?? 0);

const expected = (text: string, position: number, what: string): SyntaxFault => ({
  position,
  cause: position < text.length ? `expected ${what}` : `expected ${what}, but the file ends`,
});

const lineAndColumn = (text: string, position: number): string => {
  const before = text.slice(0, position).split("\n");
  return `line ${before.length}, column ${(before.at(-1)?.length ?? 0) + 1}`;
};

const childPath = (path: string, key: string): string => (path === "" ? key : `${path}.${key}`);

/**
 * Finds syntax errors and duplicate names.
 *
 * @returns The first syntax error with its line and column; if there is none, every duplicate name.
 */
export const findJsonTextProblems = (text: string): readonly FileProblem[] => {
  const duplicates: FileProblem[] = [];

  const scanMembers = (start: number, path: string, depth: number): ScanResult => {
    const keys = new Set<string>();
    let position = skipWhitespace(text, start + 1);
    if (text[position] === "}") return position + 1;
    for (;;) {
      const token = match(stringToken, text, position);
      if (token === undefined) return expected(text, position, "a name in double quotes");
      const key = JSON.parse(token) as string;
      const memberPath = childPath(path, key);
      if (keys.has(key)) {
        duplicates.push({
          path: memberPath,
          cause: `given twice, again at ${lineAndColumn(text, position)}`,
        });
      }
      keys.add(key);
      position = skipWhitespace(text, position + token.length);
      if (text[position] !== ":") return expected(text, position, '":"');
      const end = scanValue(position + 1, memberPath, depth);
      if (isFault(end)) return end;
      position = skipWhitespace(text, end);
      if (text[position] === "}") return position + 1;
      if (text[position] !== ",") return expected(text, position, '"," or "}"');
      position = skipWhitespace(text, position + 1);
    }
  };

  const scanItems = (start: number, path: string, depth: number): ScanResult => {
    let position = skipWhitespace(text, start + 1);
    if (text[position] === "]") return position + 1;
    for (let index = 0; ; index += 1) {
      const end = scanValue(position, `${path}[${index}]`, depth);
      if (isFault(end)) return end;
      position = skipWhitespace(text, end);
      if (text[position] === "]") return position + 1;
      if (text[position] !== ",") return expected(text, position, '"," or "]"');
      position += 1;
    }
  };

  const scanValue = (start: number, path: string, depth: number): ScanResult => {
    const position = skipWhitespace(text, start);
    if (depth > maximumDepth) return { position, cause: "nested too deeply" };
    if (text[position] === "{") return scanMembers(position, path, depth + 1);
    if (text[position] === "[") return scanItems(position, path, depth + 1);
    const token = match(stringToken, text, position) ?? match(plainToken, text, position);
    return token === undefined ? expected(text, position, "a value") : position + token.length;
  };

  const scanText = (): ScanResult => {
    const end = scanValue(0, "", 0);
    if (isFault(end)) return end;
    const position = skipWhitespace(text, end);
    return position === text.length ? position : expected(text, position, "the end of the file");
  };

  const result = scanText();
  if (!isFault(result)) return duplicates;
  return [{ path: "", cause: `not JSON at ${lineAndColumn(text, result.position)}: ${result.cause}` }];
};
