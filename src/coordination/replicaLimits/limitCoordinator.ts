/** The limits of replicas that this router keeps for all: it grants the requests that they take. */
import type { LimitAnswer, LimitVerdict, ReplicaQuestion } from "../../protocol/forwarding/limitMessage.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { takeSpan, takeWord } from "../../state/forwarding/limitWord.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { Coordinators } from "../coordinators/coordinators.ts";
import type { CoordinatorRole } from "../coordinators/keyCoordination.ts";
import { elsewhere } from "../coordinators/keyCoordination.ts";
import { endMemory } from "./constants.ts";
import type { KeptLimit } from "./coordinatedLimit.ts";
import { createKeptLimit } from "./coordinatedLimit.ts";

/** What keeping works with. */
export interface LimitKeeperParts {
  readonly keepers: Pick<Coordinators, "isActing" | "watch">;
  readonly replicas: Pick<ReplicaTable, "get">;
  readonly clock: Clock;
}

const writeLog = createLogger("replicaLimits");

/** Creates a keeper of no limits. */
export const createLimitKeeper = ({
  keepers,
  replicas,
  clock,
}: LimitKeeperParts): CoordinatorRole<"replicaQuestion"> => {
  const kept = new Map<string, KeptLimit>();

  const letGo = (id: string): void => {
    if (kept.delete(id)) writeLog("limit_kept_no_more", { replica: id });
  };

  const keptFor = ({ replica: id, word }: ReplicaQuestion): KeptLimit | undefined => {
    if (replicas.get(id) === undefined) return undefined;
    keepers.monitor(id);
    if (!keepers.isActing(id)) {
      letGo(id);
      return undefined;
    }
    const known = kept.get(id);
    if (known !== undefined) return known;
    const first = takeWord(word, clock.monotonic());
    const made = createKeptLimit(clock, first);
    kept.set(id, made);
    writeLog("limit_kept", { replica: id, perSecond: first.perSecond });
    return made;
  };

  const listen = (limit: KeptLimit, { word, unnamed }: ReplicaQuestion): void => {
    const now = clock.monotonic();
    limit.hear(takeWord(word, now));
    if (unnamed !== undefined) limit.hearUnnamed(takeSpan(unnamed, now));
  };

  const say = (number: number, verdict: LimitVerdict, wait = 0): LimitAnswer => ({
    kind: "answer",
    number,
    verdict,
    wait: Math.ceil(wait),
    room: 0,
  });

  return {
    answer: (question) => {
      const { number } = question;
      const limit = keptFor(question);
      if (limit === undefined) return elsewhere(number);
      listen(limit, question);
      if (limit.endedAt() !== undefined) return say(number, "unlimited");
      if (!question.isAsked) return say(number, "granted");
      const { isGranted, wait } = limit.take(question.patience);
      return say(number, isGranted ? "granted" : "refused", wait);
    },
    poll: () => {
      const now = clock.monotonic();
      for (const [id, limit] of kept) {
        const isOld = now - (limit.endedAt() ?? now) > endMemory;
        if (isOld || replicas.get(id) === undefined || !keepers.isActing(id)) letGo(id);
      }
    },
  };
};
