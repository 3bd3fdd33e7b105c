/**
 * Enforces organisations' limits, in tokens or requests, over all routers: the coordinator of an organisation's usage is
 * queried before a request is forwarded.
 *
 * The load that this is built for: an organisation sends several times its limit, to all routers at once. An even part of
 * the limit for each router would refuse a small organisation's long prompts (36,000 tokens a second over 58 routers are
 * 620, one prompt is 12,000). If routers only notified one another afterwards, they would learn of the flood when it is
 * over. One coordinator knows the total, and querying it adds latency only near the limit. A router that can't reach it
 * stays within a part of what may be forwarded beyond the limit, so that the total holds during any partition.
 */
import type { LimitAnswer } from "../../protocol/forwarding/limitMessage.ts";
import type { OrganisationLimit } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";
import type { KeyCoordination } from "../coordinators/keyCoordination.ts";
import { bucketsPerWindow, minRetryAfter, retryJitter } from "./constants.ts";
import type { UsageAccount } from "./usageAccount.ts";
import { createUsageAccount, noteAnswer, spendUngranted, ungrantedAllowance } from "./usageAccount.ts";
import { createUsageCoordinator } from "./usageCoordinator.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

export interface UsageLimitsDependencies {
  readonly coordination: KeyCoordination;
  readonly clock: Clock;
  readonly bounds: ForwardingBounds;
  readonly limitOf: (organisation: string) => OrganisationLimit | undefined;
  /** @returns Names of the organisations that have a limit. */
  readonly limitedOrganisations: () => Iterable<string>;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** The limits of organisations, as one router enforces them. Amounts are in the unit of the organisation's limit. */
export interface UsageLimits {
  /**
   * Acquires a grant for one request.
   *
   * @returns `undefined` if the request may be forwarded, otherwise the milliseconds after which to retry it.
   */
  readonly acquire: (organisation: string, amount: number) => Promise<number | undefined> | undefined;
  /** Counts another run of a request. */
  readonly charge: (organisation: string, amount: number) => void;
  /** Returns the amount of a request that was granted, and was not forwarded or has not run. */
  readonly refund: (organisation: string, amount: number) => void;
}

const millisecondsPerSecond = 1_000;

const writeLog = createLogger("limits");

/** For deployments in which no organisation has a limit. */
export const noUsageLimits: UsageLimits = {
  acquire: () => undefined,
  charge: () => undefined,
  refund: () => undefined,
};

/** Creates the limits of organisations for one router, and adds its role as a coordinator of usage. */
export const createUsageLimits = (dependencies: UsageLimitsDependencies): UsageLimits => {
  const { coordination, clock, bounds, limitOf, random } = dependencies;
  const { coordinators, countRouters } = coordination;
  const coordinator = createUsageCoordinator({ coordinators, limitOf, bounds, clock });
  const accounts = new Map<string, UsageAccount>();
  const poll = (): void => {
    const limited = [...dependencies.limitedOrganisations()];
    limited.forEach(coordinators.monitor);
    coordinator.poll(limited);
  };
  coordination.addRoles({ question: { answer: coordinator.answer, poll } });

  /** @returns An even share, for each router, of what an organisation may use in a window. */
  const evenShareOf = (organisation: string): number => {
    const rate = limitOf(organisation)?.ratePerSecond ?? 0;
    return (rate * bounds.limitWindow) / millisecondsPerSecond / countRouters();
  };

  const accountOf = (organisation: string): UsageAccount => {
    const known = accounts.get(organisation);
    if (known !== undefined) return known;
    const created = createUsageAccount(clock, bounds, evenShareOf(organisation));
    accounts.set(organisation, created);
    return created;
  };

  /** @returns The answer of the organisation's coordinator; `undefined` if no router answers as such. */
  const queryCoordinator = async (organisation: string, amount: number): Promise<LimitAnswer | undefined> => {
    const account = accountOf(organisation);
    const { spent, returned } = account;
    account.spent = 0;
    account.returned = 0;
    const query = { kind: "question", number: 0, organisation, amount, spent, returned } as const;
    const answer = await coordination.query(organisation, query);
    if (answer !== undefined) return answer;
    account.spent += spent;
    account.returned += returned;
    return undefined;
  };

  /** Writes one log line when the coordinator becomes unreachable, and one when it answers again. */
  const applyAnswer = (organisation: string, answer: LimitAnswer | undefined): void => {
    const account = accountOf(organisation);
    if (answer !== undefined) noteAnswer(account, answer, bounds, clock);
    const isWithoutCoordinator = answer === undefined;
    if (isWithoutCoordinator !== account.isWithoutCoordinator)
      writeLog(isWithoutCoordinator ? "unasked" : "asked", { organisation });
    account.isWithoutCoordinator = isWithoutCoordinator;
  };

  const isWithinAllowance = (account: UsageAccount, amount: number, limit: OrganisationLimit): boolean => {
    const ungranted = account.inFlight + account.ungranted.sum();
    return ungranted + amount <= ungrantedAllowance(account, limit, bounds, countRouters(), clock);
  };

  const addJitter = (wait: number): number => Math.max(minRetryAfter, wait) * (1 + random() * retryJitter);

  const acquireGrant = async (
    organisation: string,
    amount: number,
    limit: OrganisationLimit,
  ): Promise<number | undefined> => {
    const account = accountOf(organisation);
    const answer = await queryCoordinator(organisation, amount);
    applyAnswer(organisation, answer);
    if (answer?.verdict === "refused") return addJitter(answer.wait);
    if (answer === undefined) {
      if (!isWithinAllowance(account, amount, limit)) return addJitter(bounds.limitWindow / bucketsPerWindow);
      spendUngranted(account, amount);
    }
    account.used.add(amount);
    return undefined;
  };

  /** Acquires a grant for a request that is forwarded already, since the organisation is far from its limit. */
  const acquireInBackground = async (organisation: string, amount: number): Promise<void> => {
    const account = accountOf(organisation);
    account.inFlight += amount;
    account.used.add(amount);
    const answer = await queryCoordinator(organisation, amount);
    account.inFlight -= amount;
    applyAnswer(organisation, answer);
    if (answer?.verdict === "granted") return;
    account.optimisticUntil = Number.NEGATIVE_INFINITY;
    spendUngranted(account, amount);
  };

  return {
    acquire: (organisation, amount) => {
      const limit = limitOf(organisation);
      if (limit === undefined) return undefined;
      const account = accountOf(organisation);
      const isFarFromLimit =
        clock.monotonic() < account.optimisticUntil && isWithinAllowance(account, amount, limit);
      if (!isFarFromLimit) return acquireGrant(organisation, amount, limit);
      runInBackground("acquireUsage", () => acquireInBackground(organisation, amount), organisation);
      return undefined;
    },
    charge: (organisation, amount) => {
      if (limitOf(organisation) !== undefined) accountOf(organisation).spent += amount;
    },
    refund: (organisation, amount) => {
      if (limitOf(organisation) !== undefined) accountOf(organisation).returned += amount;
    },
  };
};
