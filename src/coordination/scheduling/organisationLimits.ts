/** Limits of an organisation over all routers, of which this router keeps its share. */
import type { OrganisationConfiguration } from "../../protocol/configuration/schema.ts";
import type { RequestContext } from "../../protocol/types.ts";
import { batchConcurrency } from "./constants.ts";

/** Counts an organisation's requests against its limits. */
export interface OrganisationLimits {
  /**
   * Takes one more request if the limits allow it.
   *
   * @returns Milliseconds after which to ask again, or undefined if the request was taken.
   */
  readonly take: (context: RequestContext, now: number) => number | undefined;
  /** Counts a further attempt of a request that was taken already. */
  readonly retake: (context: RequestContext, now: number) => void;
  /** Ends a request that was taken. */
  readonly leave: (context: RequestContext) => void;
  readonly dump: () => unknown;
}

interface Account {
  concurrent: number;
  /** Those of them that are batch work. */
  concurrentBatch: number;
  /** Requests that may start at once. */
  allowance: number;
  filledAt: number;
}

/** The allowance of so many milliseconds may be used at once. */
const burst = 1_000;
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
      concurrentBatch: 0,
      allowance: Number.POSITIVE_INFINITY,
      filledAt: now,
    };
    accounts.set(name, known);
    return known;
  };

  const fill = (account: Account, rate: number, now: number): void => {
    const most = Math.max(1, rate * burst);
    account.allowance = Math.min(most, account.allowance + rate * (now - account.filledAt));
    account.filledAt = now;
  };

  const count = ({ requestClass }: RequestContext, account: Account, difference: 1 | -1): void => {
    account.concurrent = Math.max(0, account.concurrent + difference);
    if (requestClass.kind !== "batch") return;
    account.concurrentBatch = Math.max(0, account.concurrentBatch + difference);
  };

  const isFull = ({ organisation, requestClass }: RequestContext, account: Account): boolean => {
    // Rounded down, so that the routers' parts never add up to more than the whole.
    const most = Math.floor(organisation.limits.concurrentRequests * share(organisation.name));
    if (account.concurrent >= most) return true;
    // An organisation's batch work leaves room for its own interactive work.
    const mostBatch = Math.max(1, Math.floor(most * batchConcurrency));
    return requestClass.kind === "batch" && account.concurrentBatch >= mostBatch;
  };

  return {
    take: (context, now) => {
      const { organisation } = context;
      const account = accountOf(organisation, now);
      const rate = (organisation.limits.requestsPerSecond * share(organisation.name)) / 1_000;
      fill(account, rate, now);
      if (isFull(context, account)) return concurrentRetryAfter;
      if (account.allowance < 1) return (1 - account.allowance) / rate;
      account.allowance -= 1;
      count(context, account, 1);
      return undefined;
    },
    retake: (context, now) => count(context, accountOf(context.organisation, now), 1),
    leave: (context) => {
      const account = accounts.get(context.organisation.name);
      if (account !== undefined) count(context, account, -1);
    },
    dump: () => Object.fromEntries([...accounts].map(([name, { concurrent }]) => [name, concurrent])),
  };
};
