/** Error types of the stand-ins. */
import { PomelocleatError } from "../src/protocol/errors.ts";

/** Makes a stand-in answer a request with an error status. */
export const RefusalError = PomelocleatError.subclass("RefusalError", {
  props: { status: 500, code: "failed", notRun: false },
});
export type RefusalError = InstanceType<typeof RefusalError> & Error;

/**
 * Creates a {@link RefusalError}.
 *
 * @param code - The error code in the answer's body.
 * @param notRun - True adds the header that declares that the request was not executed.
 */
export const refusal = (status: number, code: string, notRun = false): RefusalError =>
  new RefusalError(`The stand-in refuses: ${code}`, { props: { status, code, notRun } });

/** Makes a stand-in cut the connection of a request on purpose. */
export const CutError = PomelocleatError.subclass("CutError");
export type CutError = InstanceType<typeof CutError> & Error;

/** Creates a {@link CutError}. */
export const cutError = (message: string): CutError => new CutError(message);

/** A process that ended or timed out before it was ready. */
export const ProcessError = PomelocleatError.subclass("ProcessError");
export type ProcessError = InstanceType<typeof ProcessError> & Error;

/** Creates a {@link ProcessError}. */
export const processError = (message: string): ProcessError => new ProcessError(message);
