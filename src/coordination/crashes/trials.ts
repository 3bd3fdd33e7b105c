/** The few requests that may be sent although what they ask is held back: the way back for what was held by chance. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { claimPatience, claimRetryDelay } from "./constants.ts";
import type { HeldRequests } from "./quarantinedRequests.ts";
import type { QuarantineRecords } from "./quarantineRecords.ts";

/** What trials are made with. */
export interface TrialsParts<Request> {
  readonly held: HeldRequests;
  readonly records: Pick<QuarantineRecords, "claimTrial">;
  readonly clock: Clock;
  /** @returns The id of a request, for the log. */
  readonly idOf: (request: Request) => string;
}

/** See {@link createTrials}. */
export interface Trials<Request extends object> {
  /** Whether a request is a trial that is under way. */
  readonly has: (request: Request) => boolean;
  /** @returns Whether a request is the next trial of what it asks; the store knows of it then. */
  readonly claim: (request: Request, fingerprint: Fingerprint) => Promise<boolean>;
  /** One that failed at a replica is not sent to another. */
  readonly end: (request: Request) => void;
}

const writeLog = createLogger("quarantine");

/** Creates trials of which none is under way. */
export const createTrials = <Request extends object>({
  held,
  records,
  clock,
  idOf,
}: TrialsParts<Request>): Trials<Request> => {
  const underWay = new WeakSet<Request>();
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
      writeLog("trial", { held: fingerprint, request: idOf(request), trials: known.record.trials });
      underWay.add(request);
      return true;
    },
  };
};
