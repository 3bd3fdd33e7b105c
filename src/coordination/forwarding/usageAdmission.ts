/** Holds requests to their organisation's limit over all routers, and gives back what has not run. */
import type { CallerRequest, OrganisationLimit } from "../../protocol/forwarding/types.ts";
import { metricNames } from "../../state/constants.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import { refusals } from "../requests/refusals.ts";
import type { UsageLimits } from "../usageLimits/usageLimits.ts";
import type { ForwardRun } from "./forwardRun.ts";

/** What it works with. */
export interface UsageAdmissionDependencies {
  readonly limits: UsageLimits;
  readonly metrics: Metrics;
}

/** See {@link createUsageAdmission}. */
export interface UsageAdmission {
  /** Counts a request before anything else is done for it; rejects with `RequestError` beyond the limit. */
  readonly admit: (run: ForwardRun) => Promise<void>;
  /** A request that was counted has ended: it counts as often as it ran. */
  readonly settle: (run: ForwardRun) => void;
}

const millisecondsPerSecond = 1_000;

const writeLog = createLogger("requests");

/** @returns What a request counts, in the limit's unit. */
export const usageOf = (
  { countedTokens }: CallerRequest,
  { unit, plainTokens }: OrganisationLimit,
): number => (unit === "tokens" ? (countedTokens ?? plainTokens) : 1);

/** Creates an admission. */
export const createUsageAdmission = ({ limits, metrics }: UsageAdmissionDependencies): UsageAdmission => {
  /** Requests that were counted, with what they count. */
  const counted = new WeakMap<ForwardRun, number>();

  return {
    admit: async (run) => {
      const { organisation } = run.admission;
      if (organisation?.limit === undefined) return;
      const amount = usageOf(run.request, organisation.limit);
      const wait = await limits.acquire(organisation.name, amount);
      if (wait === undefined) {
        counted.set(run, amount);
        return;
      }
      metrics.count(metricNames.limited);
      writeLog("limited", {
        request: run.request.id,
        organisation: organisation.name,
        amount,
        comeBackAfter: Math.round(wait),
      });
      throw refusals.organisationLimit(wait / millisecondsPerSecond);
    },
    settle: (run) => {
      const amount = counted.get(run);
      const name = run.admission.organisation?.name;
      if (amount === undefined || name === undefined) return;
      const runs = run.executions();
      if (runs === 0) limits.refund(name, amount);
      if (runs > 1) limits.charge(name, amount * (runs - 1));
    },
  };
};
