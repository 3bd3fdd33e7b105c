/** Limits of an organisation over all routers, of which this router keeps its share. */
import type { OrganisationConfiguration } from "../../protocol/configuration/schema.ts";

/** Counts an organisation's requests against its limits. */
export interface OrganisationLimits {
  /**
   * Takes one more request if the limits allow it.
   *
   * @returns Milliseconds after which to ask again, or undefined if the request was taken.
   */
  readonly take: (organisation: OrganisationConfiguration, now: number) => number | undefined;
  /** Counts a further attempt of a request that was taken already. */
  readonly retake: (organisation: OrganisationConfiguration, now: number) => void;
  /** Ends a request that was taken. */
  readonly leave: (organisation: OrganisationConfiguration) => void;
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
    const most = Math.max(1, rate * burst);
    account.allowance = Math.min(most, account.allowance + rate * (now - account.filledAt));
    account.filledAt = now;
  };

  return {
    take: (organisation, now) => {
      const account = accountOf(organisation, now);
      const part = share(organisation.name);
      const rate = (organisation.limits.requestsPerSecond * part) / 1_000;
      fill(account, rate, now);
      // Rounded down, so that the routers' parts never add up to more than the whole.
      const most = Math.floor(organisation.limits.concurrentRequests * part);
      if (account.concurrent >= most) return concurrentRetryAfter;
      if (account.allowance < 1) return (1 - account.allowance) / rate;
      account.allowance -= 1;
      account.concurrent += 1;
      return undefined;
    },
    retake: (organisation, now) => {
      accountOf(organisation, now).concurrent += 1;
    },
    leave: ({ name }) => {
      const account = accounts.get(name);
      if (account !== undefined) account.concurrent = Math.max(0, account.concurrent - 1);
    },
    dump: () => Object.fromEntries([...accounts].map(([name, { concurrent }]) => [name, concurrent])),
  };
};
