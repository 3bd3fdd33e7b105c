/** The token buckets that this router coordinates: it grants what organisations' limits leave, for all routers. */
import type { LimitAnswer, UsageLimitQuery } from "../../protocol/forwarding/limitMessage.ts";
import type { OrganisationLimit } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";
import { overshootShares } from "./constants.ts";
import type { Coordinators } from "../coordinators/coordinators.ts";
import { answerElsewhere } from "../coordinators/keyCoordination.ts";
import { overshootOf } from "./overshoot.ts";
import type { BucketParameters, TokenBucket } from "../coordinators/tokenBucket.ts";
import { createTokenBucket } from "../coordinators/tokenBucket.ts";

export interface UsageCoordinatorDependencies {
  readonly coordinators: Pick<Coordinators, "isActing">;
  readonly limitOf: (organisation: string) => OrganisationLimit | undefined;
  readonly bounds: ForwardingBounds;
  readonly clock: Clock;
}

/** The coordinator of organisations' usage in one router. */
export interface UsageCoordinator {
  readonly answer: (query: Omit<UsageLimitQuery, "kind">) => LimitAnswer;
  /** Creates and drops buckets as this router becomes or ceases to be their coordinator. */
  readonly poll: (organisations: Iterable<string>) => void;
}

const writeLog = createLogger("limits");

/** Creates a coordinator without buckets. */
export const createUsageCoordinator = ({
  coordinators,
  limitOf,
  bounds,
  clock,
}: UsageCoordinatorDependencies): UsageCoordinator => {
  /** By organisation. */
  const buckets = new Map<string, TokenBucket>();

  const parametersOf = (limit: OrganisationLimit): BucketParameters => ({
    ratePerSecond: limit.ratePerSecond,
    capacity: limit.burst + overshootOf(limit, bounds) * overshootShares.coordinator,
  });

  const bucketOf = (organisation: string, limit: OrganisationLimit): TokenBucket | undefined => {
    const known = buckets.get(organisation);
    if (!coordinators.isActing(organisation)) {
      if (buckets.delete(organisation)) writeLog("count_ends", { organisation });
      return undefined;
    }
    if (known !== undefined) return known;
    const created = createTokenBucket(clock, overshootOf(limit, bounds) * overshootShares.initial);
    buckets.set(organisation, created);
    writeLog("count_begins", { organisation });
    return created;
  };

  return {
    answer: ({ number, organisation, amount, spent, returned }) => {
      const limit = limitOf(organisation);
      const bucket = limit === undefined ? undefined : bucketOf(organisation, limit);
      if (limit === undefined || bucket === undefined) return answerElsewhere(number);
      const parameters = parametersOf(limit);
      bucket.charge(spent - returned, parameters);
      const wait = bucket.take(amount, parameters);
      // `undefined`: the amount was taken.
      const verdict = wait === undefined ? "granted" : "refused";
      return {
        kind: "answer",
        number,
        verdict,
        wait: Math.ceil(wait ?? 0),
        remainingPercent: bucket.remainingPercent(parameters),
      };
    },
    poll: (organisations) => {
      const limited = new Set(organisations);
      for (const name of limited) {
        const limit = limitOf(name);
        if (limit !== undefined) bucketOf(name, limit);
      }
      for (const name of buckets.keys()) if (!limited.has(name)) buckets.delete(name);
    },
  };
};
