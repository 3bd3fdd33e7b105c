/** Enforces this router's share of the limits that organisations have over all routers. */
import type { OrganisationConfiguration } from "../../protocol/configuration/schema.ts";
import type { RequestContext } from "../../protocol/types.ts";
import { batchConcurrencyShare } from "./constants.ts";

/**
 * Counts organisations' requests against their limits. Interactive work counts from its arrival, batch work only
 * while it is assigned to an engine, so that waiting batch work does not block the organisation's interactive work.
 */
export interface OrganisationLimits {
  /**
   * Admits one more request if the limits allow it.
   *
   * @returns Milliseconds after which to retry, or `undefined` if the request was admitted.
   */
  readonly admit: (context: RequestContext, now: number) => number | undefined;
  /** Counts a further attempt of a request that was admitted before. */
  readonly readmit: (context: RequestContext, now: number) => void;
  /** @returns False while batch work must wait for other work of its organisation to end. */
  readonly mayStart: (context: RequestContext) => boolean;
  /** Records that an engine is assigned to the request. */
  readonly start: (context: RequestContext) => void;
  /** Records the end of a request that was never assigned to an engine. */
  readonly cancel: (context: RequestContext) => void;
  /** Records the end of a request that was assigned to an engine. */
  readonly end: (context: RequestContext) => void;
  readonly dump: () => unknown;
}

interface Account {
  concurrent: number;
  /** Requests that may be admitted immediately (the tokens of a token bucket). */
  allowance: number;
  filledAt: number;
}

/** The allowance of this many milliseconds may be used in a burst. */
const burstWindow = 1_000;
/** Fewest requests in a burst: with less, a router's share of a small limit would refuse ordinary arrivals. */
const minimumBurst = 4;
/** Retry delay once the concurrent requests are used up, milliseconds. */
const concurrentRetryAfter = 1_000;

/**
 * Creates the accounts of all organisations.
 *
 * @param share - This router's share of an organisation's limits, 0 to 1.
 */
export const createOrganisationLimits = (share: (organisation: string) => number): OrganisationLimits => {
  const accounts = new Map<string, Account>();

  const accountOf = ({ name }: OrganisationConfiguration, now: number): Account => {
    const known = accounts.get(name) ?? {
      concurrent: 0,
      allowance: Number.POSITIVE_INFINITY,
      filledAt: now,
    };
    accounts.set(name, known);
    return known;
  };

  const refill = (account: Account, rate: number, now: number): void => {
    const capacity = Math.max(minimumBurst, rate * burstWindow);
    account.allowance = Math.min(capacity, account.allowance + rate * (now - account.filledAt));
    account.filledAt = now;
  };

  const isBatch = ({ requestClass }: RequestContext): boolean => requestClass.kind === "batch";

  /** Rounded down, so that the routers' shares never add up to more than the limit. */
  const concurrencyLimit = ({ name, limits }: OrganisationConfiguration): number =>
    Math.floor(limits.concurrentRequests * share(name));

  const adjustConcurrent = ({ organisation }: RequestContext, difference: 1 | -1): void => {
    const account = accounts.get(organisation.name);
    if (account !== undefined) account.concurrent = Math.max(0, account.concurrent + difference);
  };

  return {
    admit: (context, now) => {
      const { organisation } = context;
      const account = accountOf(organisation, now);
      const rate = (organisation.limits.requestsPerSecond * share(organisation.name)) / 1_000;
      refill(account, rate, now);
      const isFull = account.concurrent >= concurrencyLimit(organisation);
      if (isFull && !isBatch(context)) return concurrentRetryAfter;
      if (account.allowance < 1) return (1 - account.allowance) / rate;
      account.allowance -= 1;
      if (!isBatch(context)) adjustConcurrent(context, 1);
      return undefined;
    },
    readmit: (context, now) => {
      accountOf(context.organisation, now);
      if (!isBatch(context)) adjustConcurrent(context, 1);
    },
    mayStart: (context) => {
      if (!isBatch(context)) return true;
      const limit = concurrencyLimit(context.organisation);
      const running = accounts.get(context.organisation.name)?.concurrent ?? 0;
      return running < Math.max(Math.min(1, limit), Math.floor(limit * batchConcurrencyShare));
    },
    start: (context) => {
      if (isBatch(context)) adjustConcurrent(context, 1);
    },
    cancel: (context) => {
      if (!isBatch(context)) adjustConcurrent(context, -1);
    },
    end: (context) => adjustConcurrent(context, -1),
    dump: () => Object.fromEntries([...accounts].map(([name, { concurrent }]) => [name, concurrent])),
  };
};
