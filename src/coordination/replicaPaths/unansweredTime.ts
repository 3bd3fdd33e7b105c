/** For how long engines have accepted connections and not answered, as something in between does that hands nothing on. */
import { toleratedSilence } from "./constants.ts";

/** Times are milliseconds on the monotonic clock. */
export interface UnansweredTime {
  /** Called when an engine has answered, or none accepts connections any more. */
  readonly end: () => void;
  /** @param askedAt - When the engines that have not answered were asked. */
  readonly noteSilence: (askedAt: number) => void;
  /** Whether engines were silent when they were last asked. */
  readonly isSilent: () => boolean;
  /** Whether one engine that was silent is to be confirmed by others: at first, and before the verdict. */
  readonly needsConfirmation: (askedAt: number) => boolean;
  /** Whether engines have been silent for so long that an accepted connection shows no path. */
  readonly isTooLong: () => boolean;
}

/** Creates the time of a router that has not asked an engine yet. */
export const createUnansweredTime = (): UnansweredTime => {
  let silentSince: number | undefined;
  let isTooLong = false;

  const isOverdue = (askedAt: number): boolean =>
    silentSince !== undefined && askedAt - silentSince >= toleratedSilence;

  return {
    end: () => {
      silentSince = undefined;
      isTooLong = false;
    },
    noteSilence: (askedAt) => {
      silentSince ??= askedAt;
      isTooLong ||= isOverdue(askedAt);
    },
    isSilent: () => silentSince !== undefined,
    needsConfirmation: (askedAt) => silentSince === undefined || (!isTooLong && isOverdue(askedAt)),
    isTooLong: () => isTooLong,
  };
};
