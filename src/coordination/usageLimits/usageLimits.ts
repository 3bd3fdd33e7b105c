/**
 * Limits of organisations over all routers, in tokens or requests: the keeper of an organisation's count is asked
 * before a request is passed on.
 *
 * The load pattern that it answers: an organisation sends several times what it may, over all routers at once. An even
 * part of the limit for each router would refuse a small organisation's long prompts (36,000 tokens a second over 58
 * routers are 620, one prompt is 12,000); routers that tell one another afterwards would learn of a flood when it is
 * over. One keeper knows the whole; asking costs a wait only near the limit. A router that can't ask stays within a
 * part of what may be passed on beyond the limit, so that the sum holds whoever is cut off.
 */
import type { LimitAnswer } from "../../protocol/forwarding/limitMessage.ts";
import type { OrganisationLimit } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";
import type { KeyCoordination } from "../coordinators/keyCoordination.ts";
import { bucketsPerWindow, returnSpread, shortestReturn } from "./constants.ts";
import type { UsageAccount } from "./usageAccount.ts";
import { createUsageAccount, noteRoom, spendUnasked, unaskedPart } from "./usageAccount.ts";
import { createUsageKeeper } from "./usageCoordinator.ts";

/** What limits are kept with. */
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

/** What decisions about requests ask of limits. */
export interface UsageLimits {
  /**
   * A request is to be passed on.
   *
   * @returns Milliseconds after which it is worth another try; nothing if it may be passed on.
   */
  readonly acquire: (organisation: string, amount: number) => Promise<number | undefined> | undefined;
  /** A request runs once more. */
  readonly charge: (organisation: string, amount: number) => void;
  /** A request that may be passed on was not, or has not run. */
  readonly refund: (organisation: string, amount: number) => void;
}

const millisecondsPerSecond = 1_000;

const writeLog = createLogger("limits");

/** Where no organisation has a limit. */
export const noUsageLimits: UsageLimits = {
  acquire: () => undefined,
  charge: () => undefined,
  refund: () => undefined,
};

/** Creates the limits of organisations, as one router asks for them and keeps them. */
export const createUsageLimits = (parts: UsageLimitsDependencies): UsageLimits => {
  const { coordination: keeping, clock, bounds, limitOf, random } = parts;
  const { coordinators: keepers, countRouters } = keeping;
  const keeper = createUsageKeeper({ keepers, limitOf, bounds, clock });
  const accounts = new Map<string, UsageAccount>();
  const look = (): void => {
    const limited = [...parts.limitedOrganisations()];
    limited.forEach(keepers.monitor);
    keeper.look(limited);
  };
  keeping.addRoles({ question: { answer: keeper.answer, poll: look } });

  /** An even part of what an organisation may use in a window. */
  const evenPart = (organisation: string): number => {
    const rate = limitOf(organisation)?.ratePerSecond ?? 0;
    return (rate * bounds.limitWindow) / millisecondsPerSecond / countRouters();
  };

  const accountOf = (organisation: string): UsageAccount => {
    const known = accounts.get(organisation);
    if (known !== undefined) return known;
    const made = createUsageAccount(clock, bounds, evenPart(organisation));
    accounts.set(organisation, made);
    return made;
  };

  /** @returns What the keeper of the count says; nothing if there is none that answers. */
  const askKeeper = async (organisation: string, amount: number): Promise<LimitAnswer | undefined> => {
    const account = accountOf(organisation);
    const { spent, returned } = account;
    account.spent = 0;
    account.returned = 0;
    const question = { kind: "question", number: 0, organisation, amount, spent, returned } as const;
    const answer = await keeping.ask(organisation, question);
    if (answer !== undefined) return answer;
    account.spent += spent;
    account.returned += returned;
    return undefined;
  };

  /** One line for each change, whatever comes while it lasts. */
  const noteAnswer = (organisation: string, answer: LimitAnswer | undefined): void => {
    const account = accountOf(organisation);
    if (answer !== undefined) noteRoom(account, answer.room, clock);
    const isAlone = answer === undefined;
    if (isAlone !== account.isAlone) writeLog(isAlone ? "unasked" : "asked", { organisation });
    account.isAlone = isAlone;
  };

  const isWithinPart = (account: UsageAccount, amount: number, limit: OrganisationLimit): boolean => {
    const unasked = account.underWay + account.unasked.sum();
    return unasked + amount <= unaskedPart(account, limit, bounds, countRouters());
  };

  const spread = (wait: number): number => Math.max(shortestReturn, wait) * (1 + random() * returnSpread);

  const takeAsked = async (
    organisation: string,
    amount: number,
    limit: OrganisationLimit,
  ): Promise<number | undefined> => {
    const account = accountOf(organisation);
    const answer = await askKeeper(organisation, amount);
    noteAnswer(organisation, answer);
    if (answer?.verdict === "refused") return spread(answer.wait);
    if (answer === undefined) {
      if (!isWithinPart(account, amount, limit)) return spread(bounds.limitWindow / bucketsPerWindow);
      spendUnasked(account, amount);
    }
    account.used.add(amount);
    return undefined;
  };

  /** Asks for what is passed on already, since the organisation is far from its limit. */
  const askAfterwards = async (organisation: string, amount: number): Promise<void> => {
    const account = accountOf(organisation);
    account.underWay += amount;
    account.used.add(amount);
    const answer = await askKeeper(organisation, amount);
    account.underWay -= amount;
    noteAnswer(organisation, answer);
    if (answer?.verdict === "granted") return;
    account.roomyUntil = Number.NEGATIVE_INFINITY;
    spendUnasked(account, amount);
  };

  return {
    acquire: (organisation, amount) => {
      const limit = limitOf(organisation);
      if (limit === undefined) return undefined;
      const account = accountOf(organisation);
      const isRoomy = clock.monotonic() < account.roomyUntil && isWithinPart(account, amount, limit);
      if (!isRoomy) return takeAsked(organisation, amount, limit);
      void askAfterwards(organisation, amount);
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
