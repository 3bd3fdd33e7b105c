/** Failures of the stand-ins, as types. */
import { PomelocleatError } from "../src/protocol/errors.ts";

/** A call that a stand-in refuses with an error answer. */
export const RefusalError = PomelocleatError.subclass("RefusalError", {
  props: { status: 500, code: "failed", notRun: false },
});
export type RefusalError = InstanceType<typeof RefusalError> & Error;

/**
 * Makes a {@link RefusalError}.
 *
 * @param notRun - True adds the header by which an upstream declares that nothing ran.
 */
export const refusal = (status: number, code: string, notRun = false): RefusalError =>
  new RefusalError(`The stand-in refuses: ${code}`, { props: { status, code, notRun } });

/** A connection that a stand-in cuts on purpose. */
export const CutError = PomelocleatError.subclass("CutError");
export type CutError = InstanceType<typeof CutError> & Error;

/** Makes a {@link CutError}. */
export const cutError = (message: string): CutError => new CutError(message);

/** A process that ended, or stayed silent, before it was ready. */
export const ProcessError = PomelocleatError.subclass("ProcessError");
export type ProcessError = InstanceType<typeof ProcessError> & Error;

/** Makes a {@link ProcessError}. */
export const processError = (message: string): ProcessError => new ProcessError(message);
