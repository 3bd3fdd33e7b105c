/** Answers that callers received. */
import type { CallerAnswer } from "../../standIns/platform/platformSystem.ts";

/** @returns Whether an answer is a success and whole. */
export const isServed = ({ status, isCut }: CallerAnswer): boolean => status === 200 && !isCut;
