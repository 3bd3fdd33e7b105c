import { commandError } from "./errors.ts";

/**
 * @param option - With its dashes.
 * @returns The seconds that an option gives; throws a `CommandError` unless they are more than 0.
 */
export const readSeconds = (option: string, text: string): number => {
  const seconds = Number(text);
  if (!(seconds > 0)) throw commandError(`${option} must be a number of seconds, not ${text}.`, "usage");
  return seconds;
};
