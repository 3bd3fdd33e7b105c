/** Enforces the usage limit that an organisation has over all routers, and refunds requests that have not run. */
import type { CallerRequest, OrganisationLimit } from "../../protocol/forwarding/types.ts";
import { metricNames } from "../../state/constants.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import { refusals } from "../requests/refusals.ts";
import type { UsageLimits } from "../usageLimits/usageLimits.ts";
import type { ForwardRun } from "../forwarding/forwardRun.ts";

export interface UsageAdmissionDependencies {
  readonly limits: UsageLimits;
  readonly metrics: Metrics;
}

export interface UsageAdmission {
  /**
   * Charges a request to the limit before it is sent to a replica, once. A request that another router takes on is
   * charged there.
   *
   * @throws `RequestError` where the limit is exceeded.
   */
  readonly admit: (run: ForwardRun) => Promise<void>;
  /** Corrects the charge of a request that has ended: it is charged once for each time that it ran. */
  readonly settle: (run: ForwardRun) => void;
}

const millisecondsPerSecond = 1_000;

const writeLog = createLogger("requests");

/** @returns The cost of a request in the limit's unit. */
export const usageOf = (
  { countedTokens }: CallerRequest,
  { unit, plainTokens }: OrganisationLimit,
): number => (unit === "tokens" ? (countedTokens ?? plainTokens) : 1);

/** Creates the admission by usage limits. */
export const createUsageAdmission = ({ limits, metrics }: UsageAdmissionDependencies): UsageAdmission => {
  /** The cost of each request that was charged. */
  const charged = new WeakMap<ForwardRun, number>();

  return {
    admit: async (run) => {
      const { organisation } = run.admission;
      if (organisation?.limit === undefined || charged.has(run)) return;
      const amount = usageOf(run.request, organisation.limit);
      const wait = await limits.acquire(organisation.name, amount);
      if (wait === undefined) {
        charged.set(run, amount);
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
      const amount = charged.get(run);
      const name = run.admission.organisation?.name;
      if (amount === undefined || name === undefined) return;
      const executions = run.executions();
      if (executions === 0) limits.refund(name, amount);
      if (executions > 1) limits.charge(name, amount * (executions - 1));
    },
  };
};
