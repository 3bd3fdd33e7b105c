/** Limits of an organisation over all routers, of which this router keeps its share. */
import type { OrganisationConfiguration } from "../../protocol/configuration/schema.ts";
import type { RequestContext } from "../../protocol/types.ts";
import { batchConcurrency } from "./constants.ts";

/**
 * Counts an organisation's requests against its limits. Interactive work counts from its arrival; batch work only
 * while an engine has it, so that what waits takes no room from the organisation's interactive work.
 */
export interface OrganisationLimits {
  /**
   * Takes one more request if the limits allow it.
   *
   * @returns Milliseconds after which to ask again, or undefined if the request was taken.
   */
  readonly take: (context: RequestContext, now: number) => number | undefined;
  /** Counts a further attempt of a request that was taken already. */
  readonly retake: (context: RequestContext, now: number) => void;
  /** False while batch work has to wait for other work of its organisation to end. */
  readonly mayStart: (context: RequestContext) => boolean;
  /** An engine gets the request. */
  readonly start: (context: RequestContext) => void;
  /** A request ends that no engine got. */
  readonly giveUp: (context: RequestContext) => void;
  /** A request ends that an engine had. */
  readonly end: (context: RequestContext) => void;
  readonly dump: () => unknown;
}

interface Account {
  concurrent: number;
  /** Requests that may start at once. */
  allowance: number;
  filledAt: number;
}

/** The allowance of so many milliseconds may be used at once. */
const burst = 1_000;
/** And never fewer requests than this: a router's part of a small limit would refuse usual arrivals. */
const smallestBurst = 4;
const concurrentRetryAfter = 1_000;

/**
 * Makes accounts.
 *
 * @param share - This router's part of an organisation's limits, 0 to 1.
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

  const fill = (account: Account, rate: number, now: number): void => {
    const most = Math.max(smallestBurst, rate * burst);
    account.allowance = Math.min(most, account.allowance + rate * (now - account.filledAt));
    account.filledAt = now;
  };

  const isBatch = ({ requestClass }: RequestContext): boolean => requestClass.kind === "batch";

  /** Rounded down, so that the routers' parts never add up to more than the whole. */
  const mostConcurrent = ({ name, limits }: OrganisationConfiguration): number =>
    Math.floor(limits.concurrentRequests * share(name));

  const count = ({ organisation }: RequestContext, difference: 1 | -1): void => {
    const account = accounts.get(organisation.name);
    if (account !== undefined) account.concurrent = Math.max(0, account.concurrent + difference);
  };

  return {
    take: (context, now) => {
      const { organisation } = context;
      const account = accountOf(organisation, now);
      const rate = (organisation.limits.requestsPerSecond * share(organisation.name)) / 1_000;
      fill(account, rate, now);
      const isFull = account.concurrent >= mostConcurrent(organisation);
      if (isFull && !isBatch(context)) return concurrentRetryAfter;
      if (account.allowance < 1) return (1 - account.allowance) / rate;
      account.allowance -= 1;
      if (!isBatch(context)) count(context, 1);
      return undefined;
    },
    retake: (context, now) => {
      accountOf(context.organisation, now);
      if (!isBatch(context)) count(context, 1);
    },
    mayStart: (context) => {
      if (!isBatch(context)) return true;
      const most = mostConcurrent(context.organisation);
      const running = accounts.get(context.organisation.name)?.concurrent ?? 0;
      return running < Math.max(Math.min(1, most), Math.floor(most * batchConcurrency));
    },
    start: (context) => {
      if (isBatch(context)) count(context, 1);
    },
    giveUp: (context) => {
      if (!isBatch(context)) count(context, -1);
    },
    end: (context) => count(context, -1),
    dump: () => Object.fromEntries([...accounts].map(([name, { concurrent }]) => [name, concurrent])),
  };
};
