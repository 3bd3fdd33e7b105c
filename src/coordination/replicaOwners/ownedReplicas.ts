/** What the owner of replicas knows of them: the work that routers report, and the answers that it gives. */
import type {
  AnswerMessage,
  AskMessage,
  ReplicaLoadReport,
  WorkMessage,
  WorkReport,
} from "../../protocol/forwarding/ownerMessage.ts";
import type { ReplicaKey, AnnouncedHolder } from "../../protocol/forwarding/peerMessage.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import type { ReportedLimitMessage } from "../../protocol/forwarding/reportedLimitMessage.ts";
import type { CacheStore } from "../../protocol/forwarding/types.ts";
import { noteAnnouncedLimit, toReportedLimitMessage } from "../../state/forwarding/reportedLimit.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { workExcluding } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import type { CacheHolders } from "../forwarding/cacheHolders.ts";
import { applyAnnouncedHolders } from "../forwarding/applyAnnouncedHolders.ts";
import { avoidReplica, avoidReplicaUntil } from "../replicaReports/backoff.ts";
import { announcedLimitMaxAge } from "../replicaLimits/constants.ts";
import { holdersNamed, reportMemory } from "./constants.ts";

/** What an owner works with. */
export interface OwnedReplicasParts {
  readonly replicas: ReplicaTable;
  readonly holders: Pick<CacheHolders, "noteKey" | "holdersOf">;
  /** @returns The stores of prompt parts that the configuration names. */
  readonly cacheStores: () => readonly CacheStore[];
  readonly clock: Clock;
}

/** See {@link createOwnedReplicas}. */
export interface OwnedReplicas extends AsyncDisposable {
  readonly takeWork: (message: WorkMessage) => void;
  readonly answer: (message: AskMessage) => AnswerMessage;
}

/** A router's last report of a replica. */
interface Reported {
  readonly incarnation: string;
  readonly sequence: number;
  readonly reportedAt: number;
  readonly computedTokens: number;
}

/** A router's work as it reports it to owners is kept apart from what it tells all peers. */
const tellerOf = (router: string): string => `${router} as reported`;

/** What an owner answered, in the table of a router that is not the owner. */
export const answersTeller = "as answered";

/** Whoever asks hears the limit from the replica itself if nobody has for long. */
const tellRecentLimit = ({ limit }: ReplicaState, now: number): ReportedLimitMessage | undefined =>
  limit === undefined || now - limit.receivedAt > announcedLimitMaxAge
    ? undefined
    : toReportedLimitMessage(limit, now);

/** A teller that has none at a replica any more. */
export const noWork = { requests: 0, promptTokens: [] } as const;

/** Creates an owner's knowledge; work that is reported no longer is let go until it is disposed of. */
export const createOwnedReplicas = (parts: OwnedReplicasParts): OwnedReplicas => {
  const { replicas, holders, clock } = parts;
  /** By replica and router. */
  const reported = new Map<ReplicaKey, Map<string, Reported>>();

  const takeReport = (message: WorkMessage, report: WorkReport): void => {
    const { name, incarnation, sequence } = message;
    const { replica: key, computedTokens } = report;
    const state = replicas.getByKey(key);
    if (state === undefined) return;
    const ofReplica = reported.get(key) ?? new Map<string, Reported>();
    reported.set(key, ofReplica);
    const before = ofReplica.get(name);
    const isSameProcess = before?.incarnation === incarnation;
    if (isSameProcess && sequence <= before.sequence) return;
    ofReplica.set(name, { incarnation, sequence, reportedAt: clock.monotonic(), computedTokens });
    state.reportedTokens += isSameProcess ? Math.max(0, computedTokens - before.computedTokens) : 0;
    replicas.noteWorkAt(answersTeller, key, noWork);
    replicas.noteWorkAt(tellerOf(name), key, report);
    // Whoever can't reach it may be cut off itself: the owner looks before it believes.
    if (report.isUnreachable) state.isSuspected = true;
    if (report.isBackingOff) avoidReplica(state, clock.monotonic());
    if (report.limit !== undefined) noteAnnouncedLimit(state, report.limit, clock.monotonic());
  };

  const forgetOld = (): void => {
    const oldest = clock.monotonic() - reportMemory;
    for (const [key, ofReplica] of reported) {
      for (const [name, { reportedAt }] of ofReplica) {
        if (reportedAt >= oldest) continue;
        ofReplica.delete(name);
        replicas.noteWorkAt(tellerOf(name), key, noWork);
      }
      if (ofReplica.size === 0) reported.delete(key);
    }
    callOff = clock.after(reportMemory / 2, forgetOld);
  };
  let callOff = clock.after(reportMemory / 2, forgetOld);

  const describe = (state: ReplicaState, asker: string): ReplicaLoadReport => {
    // What an owner before this one had answered would be told on for good, and keep everybody away.
    replicas.noteWorkAt(answersTeller, replicaKeyOf(state.entry.id), noWork);
    const work = workExcluding(state, tellerOf(asker));
    return {
      replica: replicaKeyOf(state.entry.id),
      requests: work.requests,
      promptTokens: work.promptTokens.map((tokens) => Math.max(0, Math.round(tokens))),
      ejectedFor: Math.max(0, Math.round(avoidReplicaUntil(state) - clock.monotonic())),
      limit: tellRecentLimit(state, clock.monotonic()),
    };
  };

  return {
    takeWork: (message) => {
      for (const report of message.reports) takeReport(message, report);
      applyAnnouncedHolders(message.holders, parts);
    },
    answer: ({ name, number, replicas: keys, parts: wanted }) => ({
      kind: "answer",
      number,
      reports: keys.flatMap((key) => {
        const state = replicas.getByKey(key);
        return state === undefined ? [] : [describe(state, name)];
      }),
      holders: wanted.flatMap((part): readonly AnnouncedHolder[] =>
        holders
          .holdersOf(part)
          .slice(0, holdersNamed)
          .map(({ holder, isReady }) => ({ part, replica: replicaKeyOf(holder), isReady })),
      ),
    }),
    [Symbol.asyncDispose]: () => {
      callOff();
      return Promise.resolve();
    },
  };
};
