/** The state of replicas at their owner: aggregates the work that routers report, and answers their queries. */
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
import type { ReplicaSpeeds } from "../estimates/replicaSpeeds.ts";
import { avoidReplica, avoidReplicaUntil } from "../replicaReports/backoff.ts";
import { announcedLimitMaxAge } from "../replicaLimits/constants.ts";
import { maxHoldersPerPart, reportLifetime } from "./constants.ts";
import { startPeriodicTask } from "../periodicTask.ts";

export interface OwnedReplicasDependencies {
  readonly replicas: ReplicaTable;
  readonly holders: Pick<CacheHolders, "notePart" | "holdersOf" | "wasUsed">;
  /** @returns The configured cache stores, which keep prompt parts. */
  readonly cacheStores: () => readonly CacheStore[];
  /** Whether answers name the parts that were used before; the other routers decide by them which parts to save. */
  readonly reportsUsedParts: boolean;
  /** Where speeds are learned: measures the prefill rates of replicas. */
  readonly speeds: Pick<ReplicaSpeeds, "noteReport" | "reportedRate"> | undefined;
  readonly clock: Clock;
  /** Whether this router has no path to any replica: what it knows of connections says nothing about replicas then. */
  readonly isPartitioned: () => boolean;
}

export interface OwnedReplicas extends AsyncDisposable {
  readonly applyWork: (message: WorkMessage) => void;
  readonly answer: (message: AskMessage) => AnswerMessage;
}

/** The last report of one router about a replica. */
interface Reported {
  readonly incarnation: string;
  readonly sequence: number;
  readonly reportedAt: number;
  readonly computedTokens: number;
}

/** The source of a router's work as it reports it to owners, apart from the work that it announces to all peers. */
const reportSourceOf = (router: string): string => `${router} as reported`;

/** The source of an owner's answers, in the table of a router that is not the owner. */
export const ownerAnswersSource = "as answered";

/**
 * @returns The replica's limit; `undefined` if it was last seen long ago: the asker gets it from the replica itself.
 */
const recentLimitOf = ({ limit }: ReplicaState, now: number): ReportedLimitMessage | undefined =>
  limit === undefined || now - limit.receivedAt > announcedLimitMaxAge
    ? undefined
    : toReportedLimitMessage(limit, now);

/** The work of a source without any at a replica. */
export const noWork = { requests: 0, promptTokens: [] } as const;

/** Creates the owner's state; work that is no longer reported expires until the state is disposed of. */
export const createOwnedReplicas = (dependencies: OwnedReplicasDependencies): OwnedReplicas => {
  const { replicas, holders, clock } = dependencies;
  /** By replica and router: the last report. */
  const reported = new Map<ReplicaKey, Map<string, Reported>>();

  const applyReport = (message: WorkMessage, report: WorkReport): void => {
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
    replicas.noteWorkAt(ownerAnswersSource, key, noWork);
    replicas.noteWorkAt(reportSourceOf(name), key, report);
    dependencies.speeds?.noteReport(state, name, incarnation, report.prefilledTokens);
    // The reporting router may be cut off itself: the owner tries a connection before it marks the replica unreachable.
    if (report.isUnreachable) state.isSuspected = true;
    if (report.isBackingOff) avoidReplica(state, clock.monotonic());
    if (report.limit !== undefined) noteAnnouncedLimit(state, report.limit, clock.monotonic());
  };

  const expireReports = (): number => {
    const oldest = clock.monotonic() - reportLifetime;
    for (const [key, ofReplica] of reported) {
      for (const [name, { reportedAt }] of ofReplica) {
        if (reportedAt >= oldest) continue;
        ofReplica.delete(name);
        replicas.noteWorkAt(reportSourceOf(name), key, noWork);
      }
      if (ofReplica.size === 0) reported.delete(key);
    }
    return reportLifetime / 2;
  };
  const cancel = startPeriodicTask(clock, "expireReports", reportLifetime / 2, expireReports);

  const reportOn = (state: ReplicaState, asker: string, organisation: number): ReplicaLoadReport => {
    // Answers of an earlier owner would otherwise be passed on forever, and keep all routers away from the replica.
    replicas.noteWorkAt(ownerAnswersSource, replicaKeyOf(state.entry.id), noWork);
    const work = workExcluding(state, reportSourceOf(asker), organisation);
    const avoidedUntil = dependencies.isPartitioned()
      ? (state.backoff?.avoidedUntil ?? Number.NEGATIVE_INFINITY)
      : avoidReplicaUntil(state);
    return {
      replica: replicaKeyOf(state.entry.id),
      requests: work.requests,
      promptTokens: work.promptTokens.map((tokens) => Math.max(0, Math.round(tokens))),
      organisations: work.organisations ?? [],
      reservedTokens: work.reservedTokens ?? 0,
      prefillRate: dependencies.speeds?.reportedRate(state) ?? 0,
      ejectedFor: Math.max(0, Math.round(avoidedUntil - clock.monotonic())),
      limit: recentLimitOf(state, clock.monotonic()),
    };
  };

  return {
    applyWork: (message) => {
      for (const report of message.reports) applyReport(message, report);
      applyAnnouncedHolders(message.holders, dependencies);
    },
    answer: ({ name, number, replicas: keys, parts, organisation }) => ({
      kind: "answer",
      number,
      reports: keys.flatMap((key) => {
        const state = replicas.getByKey(key);
        return state === undefined ? [] : [reportOn(state, name, organisation)];
      }),
      usedParts: dependencies.reportsUsedParts ? parts.filter(holders.wasUsed) : [],
      holders: parts.flatMap((part): readonly AnnouncedHolder[] =>
        holders
          .holdersOf(part)
          .slice(0, maxHoldersPerPart)
          .map(({ holder, isReady }) => ({ part, replica: replicaKeyOf(holder), isReady })),
      ),
    }),
    [Symbol.asyncDispose]: () => {
      cancel();
      return Promise.resolve();
    },
  };
};
