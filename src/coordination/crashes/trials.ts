/** The few requests with quarantined traits that may be sent all the same, to release those that were quarantined by chance. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { claimTimeout, claimRetryDelay } from "./constants.ts";
import type { QuarantinedTraits } from "./quarantinedTraits.ts";
import type { QuarantineRecords } from "./quarantineRecords.ts";

export interface TrialsDependencies<Request> {
  readonly quarantined: QuarantinedTraits;
  readonly records: Pick<QuarantineRecords, "claimTrial">;
  readonly clock: Clock;
  /** @returns The id of a request, for the log. */
  readonly idOf: (request: Request) => string;
}

export interface Trials<Request extends object> {
  /** @returns Whether a request is a trial under way. */
  readonly has: (request: Request) => boolean;
  /**
   * @param fingerprints - The quarantined traits of the request.
   * @returns Whether the request is the next trial of all of them; the trials are recorded in the store then.
   */
  readonly claim: (request: Request, fingerprints: readonly Fingerprint[]) => Promise<boolean>;
  /** Ends a trial: a trial that failed at one replica is not sent to another. */
  readonly end: (request: Request) => void;
}

const writeLog = createLogger("quarantine");

/** Creates trials; none is under way. */
export const createTrials = <Request extends object>({
  quarantined,
  records,
  clock,
  idOf,
}: TrialsDependencies<Request>): Trials<Request> => {
  const underWay = new WeakSet<Request>();
  const claiming = new Set<Fingerprint>();

  const claimWithTimeout = (fingerprint: Fingerprint): Promise<boolean> =>
    Promise.race([records.claimTrial(fingerprint), pause(clock, claimTimeout).then(() => false)]);

  const claimOne = async (request: Request, fingerprint: Fingerprint): Promise<boolean> => {
    const known = quarantined.get(fingerprint);
    if (known === undefined) return true;
    claiming.add(fingerprint);
    const isClaimed = await claimWithTimeout(fingerprint);
    claiming.delete(fingerprint);
    if (isClaimed) {
      writeLog("trial", { held: fingerprint, request: idOf(request), trials: known.record.trials });
      return true;
    }
    known.trialFrom = Math.max(known.trialFrom, clock.monotonic() + claimRetryDelay);
    return false;
  };

  const mayClaim = (fingerprint: Fingerprint): boolean =>
    !claiming.has(fingerprint) && quarantined.isTrialDue(fingerprint);

  return {
    has: (request) => underWay.has(request),
    end: (request) => {
      underWay.delete(request);
    },
    claim: async (request, fingerprints) => {
      if (fingerprints.length === 0 || !fingerprints.every(mayClaim)) return false;
      for (const fingerprint of fingerprints) {
        if (!(await claimOne(request, fingerprint))) return false;
      }
      underWay.add(request);
      return true;
    },
  };
};
