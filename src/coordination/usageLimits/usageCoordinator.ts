/** The counts that this router keeps for all: it grants what organisations' limits leave. */
import type { LimitAnswer, LimitQuestion } from "../../protocol/forwarding/limitMessage.ts";
import type { OrganisationLimit } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";
import { overshootShares } from "./constants.ts";
import type { Coordinators } from "../coordinators/coordinators.ts";
import { elsewhere } from "../coordinators/keyCoordination.ts";
import { overshootOf } from "./overshoot.ts";
import type { BucketFilling, UsageBucket } from "../coordinators/tokenBucket.ts";
import { createUsageBucket } from "../coordinators/tokenBucket.ts";

/** What keeping counts works with. */
export interface UsageKeeperParts {
  readonly keepers: Pick<Coordinators, "isActing">;
  readonly limitOf: (organisation: string) => OrganisationLimit | undefined;
  readonly bounds: ForwardingBounds;
  readonly clock: Clock;
}

/** See {@link createUsageKeeper}. */
export interface UsageKeeper {
  readonly answer: (question: Omit<LimitQuestion, "kind">) => LimitAnswer;
  /** Begins and ends counts as this router becomes or ceases to be their keeper. */
  readonly look: (organisations: Iterable<string>) => void;
}

const writeLog = createLogger("limits");

/** Creates a keeper of no counts. */
export const createUsageKeeper = ({ keepers, limitOf, bounds, clock }: UsageKeeperParts): UsageKeeper => {
  const buckets = new Map<string, UsageBucket>();

  /** What a bucket is filled by. */
  const fillingOf = (limit: OrganisationLimit): BucketFilling => ({
    ratePerSecond: limit.ratePerSecond,
    capacity: limit.burst + overshootOf(limit, bounds) * overshootShares.keeper,
  });

  const bucketOf = (organisation: string, limit: OrganisationLimit): UsageBucket | undefined => {
    const known = buckets.get(organisation);
    if (!keepers.isActing(organisation)) {
      if (buckets.delete(organisation)) writeLog("count_ends", { organisation });
      return undefined;
    }
    if (known !== undefined) return known;
    const made = createUsageBucket(clock, overshootOf(limit, bounds) * overshootShares.beginning);
    buckets.set(organisation, made);
    writeLog("count_begins", { organisation });
    return made;
  };

  return {
    answer: ({ number, organisation, amount, spent, returned }) => {
      const limit = limitOf(organisation);
      const bucket = limit === undefined ? undefined : bucketOf(organisation, limit);
      if (limit === undefined || bucket === undefined) return elsewhere(number);
      const filling = fillingOf(limit);
      bucket.charge(spent - returned, filling);
      const wait = bucket.take(amount, filling);
      const verdict = wait === undefined ? "granted" : "refused";
      return { kind: "answer", number, verdict, wait: Math.ceil(wait ?? 0), room: bucket.room(filling) };
    },
    look: (organisations) => {
      const limited = new Set(organisations);
      for (const name of limited) {
        const limit = limitOf(name);
        if (limit !== undefined) bucketOf(name, limit);
      }
      for (const name of buckets.keys()) if (!limited.has(name)) buckets.delete(name);
    },
  };
};
