/** Errors of the operators' client. */
import { PomelocleatError } from "../protocol/errors.ts";
import type { ExitName } from "./exitCodes.ts";

/** A command failed; `exit` names its exit code. */
export const CommandError = PomelocleatError.subclass("CommandError", {
  props: { exit: "internal" as ExitName },
});
export type CommandError = InstanceType<typeof CommandError> & Error;

/** Makes a {@link CommandError}. */
export const commandError = (message: string, exit: ExitName): CommandError =>
  new CommandError(message, { props: { exit } });
