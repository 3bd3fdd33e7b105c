/** For how long engines have accepted connections and not answered, as something in between does that hands nothing on. */
import type { Clock } from "../clock.ts";
import { toleratedSilence } from "./constants.ts";

export interface UnansweredTime {
  readonly noteAnswer: () => void;
  /** @param since - When the engines that have not answered were asked, milliseconds on the monotonic clock. */
  readonly noteSilence: (since: number) => void;
  /** Whether engines were silent when they were last asked. */
  readonly isSilent: () => boolean;
  /** Whether they have been for so long that an accepted connection shows no path. */
  readonly isTooLong: () => boolean;
}

/** Creates the time of a router that has not asked an engine yet. */
export const createUnansweredTime = (clock: Clock): UnansweredTime => {
  let silentSince: number | undefined;
  let isTooLong = false;

  return {
    noteAnswer: () => {
      silentSince = undefined;
      isTooLong = false;
    },
    noteSilence: (since) => {
      silentSince ??= since;
      if (clock.monotonic() - silentSince >= toleratedSilence) isTooLong = true;
    },
    isSilent: () => silentSince !== undefined,
    isTooLong: () => isTooLong,
  };
};
