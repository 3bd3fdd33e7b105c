/** Remembers which traits were answered not long ago, so that they are less suspect when replicas crash. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { RequestTrait } from "../../protocol/forwarding/requestTrait.ts";
import { createBoundedMap } from "../../state/boundedMap.ts";
import type { Clock } from "../clock.ts";
import { maxRecentAnswers, recentAnswerDuration } from "./constants.ts";

export interface RecentAnswers {
  readonly note: (traits: readonly RequestTrait[]) => void;
  /** @returns Whether a request with this trait was answered within the duration. */
  readonly has: (fingerprint: Fingerprint) => boolean;
}

/** Creates an empty memory. */
export const createRecentAnswers = (clock: Clock): RecentAnswers => {
  const answeredAt = createBoundedMap<number>(maxRecentAnswers);
  return {
    note: (traits) => {
      const now = clock.monotonic();
      for (const { fingerprint } of traits) answeredAt.set(fingerprint, now);
    },
    has: (fingerprint) => {
      const at = answeredAt.get(fingerprint);
      return at !== undefined && clock.monotonic() - at < recentAnswerDuration;
    },
  };
};
