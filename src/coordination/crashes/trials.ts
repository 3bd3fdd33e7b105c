/** The few requests that may be sent although what they ask is held back: the way back for what was held by chance. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { CallerRequest } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { claimPatience, claimRetryDelay } from "./constants.ts";
import type { HeldRequests } from "./heldRequests.ts";
import type { QuarantineRecords } from "./quarantineRecords.ts";

/** What trials are made with. */
export interface TrialsParts {
  readonly held: HeldRequests;
  readonly records: Pick<QuarantineRecords, "claimTrial">;
  readonly clock: Clock;
}

/** See {@link createTrials}. */
export interface Trials {
  /** Whether a request is a trial that is under way. */
  readonly has: (request: CallerRequest) => boolean;
  /** @returns Whether a request is the next trial of what it asks; the store knows of it then. */
  readonly claim: (request: CallerRequest, fingerprint: Fingerprint) => Promise<boolean>;
  /** One that failed at a replica is not sent to another. */
  readonly end: (request: CallerRequest) => void;
}

const writeLog = createLogger("quarantine");

/** Creates trials of which none is under way. */
export const createTrials = ({ held, records, clock }: TrialsParts): Trials => {
  const underWay = new WeakSet<CallerRequest>();
  const claiming = new Set<Fingerprint>();

  const claimInTime = (fingerprint: Fingerprint): Promise<boolean> =>
    Promise.race([records.claimTrial(fingerprint), pause(clock, claimPatience).then(() => false)]);

  return {
    has: (request) => underWay.has(request),
    end: (request) => {
      underWay.delete(request);
    },
    claim: async (request, fingerprint) => {
      const known = held.get(fingerprint);
      if (known === undefined || claiming.has(fingerprint) || !held.isTrialDue(fingerprint)) return false;
      claiming.add(fingerprint);
      const isClaimed = await claimInTime(fingerprint);
      claiming.delete(fingerprint);
      if (!isClaimed) {
        known.trialFrom = Math.max(known.trialFrom, clock.monotonic() + claimRetryDelay);
        return false;
      }
      writeLog("trial", { held: fingerprint, request: request.id, trials: known.record.trials });
      underWay.add(request);
      return true;
    },
  };
};
