/** The replica limits that this router coordinates: it grants requests to the replicas for all routers. */
import type { LimitAnswer, LimitVerdict, ReplicaLimitQuery } from "../../protocol/forwarding/limitMessage.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { fromReportedSpan, fromReportedLimitMessage } from "../../state/forwarding/reportedLimit.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { Coordinators } from "../coordinators/coordinators.ts";
import type { CoordinatorRole } from "../coordinators/keyCoordination.ts";
import { answerElsewhere } from "../coordinators/keyCoordination.ts";
import { endedLimitRetention } from "./constants.ts";
import type { CoordinatedLimit } from "./coordinatedLimit.ts";
import { createCoordinatedLimit } from "./coordinatedLimit.ts";

export interface LimitCoordinatorDependencies {
  readonly coordinators: Pick<Coordinators, "isActing" | "monitor">;
  readonly replicas: Pick<ReplicaTable, "get">;
  readonly clock: Clock;
}

const writeLog = createLogger("replicaLimits");

/** Creates a coordinator without limits. It takes on a limit with the first query, which carries the reported limit. */
export const createLimitCoordinator = ({
  coordinators,
  replicas,
  clock,
}: LimitCoordinatorDependencies): CoordinatorRole<"replicaQuestion"> => {
  /** By id of a replica. */
  const limits = new Map<string, CoordinatedLimit>();

  const drop = (id: string): void => {
    if (limits.delete(id)) writeLog("limit_kept_no_more", { replica: id });
  };

  const limitFor = ({ replica: id, reportedLimit }: ReplicaLimitQuery): CoordinatedLimit | undefined => {
    if (replicas.get(id) === undefined) return undefined;
    coordinators.monitor(id);
    if (!coordinators.isActing(id)) {
      drop(id);
      return undefined;
    }
    const known = limits.get(id);
    if (known !== undefined) return known;
    const reported = fromReportedLimitMessage(reportedLimit, clock.monotonic());
    const created = createCoordinatedLimit(clock, reported);
    limits.set(id, created);
    writeLog("limit_kept", { replica: id, perSecond: reported.perSecond });
    return created;
  };

  const observe = (limit: CoordinatedLimit, { reportedLimit, limitRemovedAt }: ReplicaLimitQuery): void => {
    const now = clock.monotonic();
    limit.observeLimit(fromReportedLimitMessage(reportedLimit, now));
    if (limitRemovedAt !== undefined) limit.observeNoLimit(fromReportedSpan(limitRemovedAt, now));
  };

  const createAnswer = (number: number, verdict: LimitVerdict, wait = 0): LimitAnswer => ({
    kind: "answer",
    number,
    verdict,
    wait: Math.ceil(wait),
    remainingPercent: 0,
  });

  return {
    answer: (query) => {
      const { number } = query;
      const limit = limitFor(query);
      if (limit === undefined) return answerElsewhere(number);
      observe(limit, query);
      if (limit.endedAt() !== undefined) return createAnswer(number, "unlimited");
      if (!query.wantsGrant) return createAnswer(number, "granted");
      const { isGranted, wait } = limit.acquire(query.timeout);
      return createAnswer(number, isGranted ? "granted" : "refused", wait);
    },
    poll: () => {
      const now = clock.monotonic();
      for (const [id, limit] of limits) {
        const isExpired = now - (limit.endedAt() ?? now) > endedLimitRetention;
        if (isExpired || replicas.get(id) === undefined || !coordinators.isActing(id)) drop(id);
      }
    },
  };
};
