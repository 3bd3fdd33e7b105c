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
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { LimitAnswer } from "../../protocol/forwarding/limitMessage.ts";
import { decodeLimitMessage, encodeLimitMessage } from "../../protocol/forwarding/limitMessage.ts";
import type { OrganisationLimit, RouterEntry } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";
import type { LiveRouter } from "../replicaOwners/owners.ts";
import {
  bucketsPerWindow,
  keepersTried,
  lookInterval,
  passedOver,
  returnSpread,
  shortestReturn,
} from "./constants.ts";
import { createKeeperQuestions } from "./keeperQuestions.ts";
import { createKeepers } from "./keepers.ts";
import type { UsageAccount } from "./usageAccount.ts";
import { createUsageAccount, noteRoom, spendUnasked, unaskedPart } from "./usageAccount.ts";
import { createUsageKeeper } from "./usageKeeper.ts";

/** What limits are kept with. */
export interface UsageLimitsParts {
  readonly self: RouterEntry;
  readonly link: DatagramLink;
  readonly clock: Clock;
  readonly bounds: ForwardingBounds;
  /** @returns The other routers that may be serving, silent ones included. */
  readonly others: () => readonly LiveRouter[];
  readonly limitOf: (organisation: string) => OrganisationLimit | undefined;
  /** @returns Names of the organisations that have a limit. */
  readonly limited: () => Iterable<string>;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** What decisions about requests ask of limits. */
export interface UsageCounting {
  /**
   * A request is to be passed on.
   *
   * @returns Milliseconds after which it is worth another try; nothing if it may be passed on.
   */
  readonly take: (organisation: string, amount: number) => Promise<number | undefined> | undefined;
  /** A request runs once more. */
  readonly charge: (organisation: string, amount: number) => void;
  /** A request that may be passed on was not, or has not run. */
  readonly giveBack: (organisation: string, amount: number) => void;
}

/** See {@link createUsageLimits}. */
export type UsageLimits = UsageCounting & AsyncDisposable;

const millisecondsPerSecond = 1_000;

const writeLog = createLogger("limits");

/** Where no organisation has a limit. */
export const noUsageLimits: UsageCounting = {
  take: () => undefined,
  charge: () => undefined,
  giveBack: () => undefined,
};

/** Starts to ask for organisations' requests and to keep counts, until it is disposed of. */
export const createUsageLimits = (parts: UsageLimitsParts): UsageLimits => {
  const { link, clock, bounds, limitOf, random } = parts;
  const { name, dataCentre, address, port } = parts.self;
  const self: LiveRouter = { name, dataCentre, at: { address, port } };
  const keepers = createKeepers({ self, others: parts.others, clock });
  const keeper = createUsageKeeper({ keepers, limitOf, bounds, clock });
  const questions = createKeeperQuestions({ link, clock, random });
  const accounts = new Map<string, UsageAccount>();
  /** By name of a router: until when it is not asked. */
  const passed = new Map<string, number>();

  /** An even part of what an organisation may use in a window. */
  const evenPart = (organisation: string): number => {
    const rate = limitOf(organisation)?.ratePerSecond ?? 0;
    return (rate * bounds.limitWindow) / millisecondsPerSecond / (1 + parts.others().length);
  };

  const accountOf = (organisation: string): UsageAccount => {
    const known = accounts.get(organisation);
    if (known !== undefined) return known;
    const made = createUsageAccount(clock, bounds, evenPart(organisation));
    accounts.set(organisation, made);
    return made;
  };

  /** The first few that did not fail to answer just now: where most routers are lost the keeper may come late. */
  const askable = (organisation: string): readonly LiveRouter[] => {
    const now = clock.monotonic();
    const order = keepers.orderFor(organisation);
    return order.filter((router) => (passed.get(router.name) ?? now) <= now).slice(0, keepersTried);
  };

  /** @returns What the keeper of the count says; nothing if there is none that answers. */
  const askKeeper = async (organisation: string, amount: number): Promise<LimitAnswer | undefined> => {
    const account = accountOf(organisation);
    for (const router of askable(organisation)) {
      const { spent, returned } = account;
      account.spent = 0;
      account.returned = 0;
      const question = { organisation, amount, spent, returned };
      const isSelf = router.name === name;
      const answer = isSelf
        ? keeper.answer({ number: 0, ...question })
        : await questions.ask(router, question);
      if (answer !== undefined && answer.verdict !== "elsewhere") return answer;
      account.spent += spent;
      account.returned += returned;
      if (!isSelf) passed.set(router.name, clock.monotonic() + passedOver);
    }
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
    const routers = 1 + parts.others().length;
    const unasked = account.underWay + account.unasked.sum();
    return unasked + amount <= unaskedPart(account, limit, bounds, routers);
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

  const probe = (): void => {
    const probed = new Set([...parts.limited()].flatMap(keepers.worthProbing));
    probed.forEach(questions.probe);
  };

  const look = (): void => {
    callOff = clock.after(lookInterval, look);
    keepers.look();
    keeper.look(parts.limited());
    probe();
  };
  let callOff = clock.after(lookInterval, look);

  link.receive((datagram, from) => {
    keepers.hear(from);
    const message = decodeLimitMessage(datagram);
    if (message?.kind === "answer") {
      keepers.hearAnswer(from);
      questions.hear(message);
    } else if (message !== undefined) link.send(from, encodeLimitMessage(keeper.answer(message)));
  });

  return {
    take: (organisation, amount) => {
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
    giveBack: (organisation, amount) => {
      if (limitOf(organisation) !== undefined) accountOf(organisation).returned += amount;
    },
    [Symbol.asyncDispose]: () => {
      callOff();
      return Promise.resolve();
    },
  };
};
