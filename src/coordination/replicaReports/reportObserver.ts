/**
 * Applies what a replica reports in the head of an answer to this router's state of the replica. Reports of another
 * process that answers at its address are ignored, and a field that can't be decoded changes nothing.
 */
import type { ReplicaEntry, ReplicaReport } from "../../protocol/forwarding/types.ts";
import { metricNames } from "../../state/constants.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { unlimitedRate } from "../replicaLimits/constants.ts";
import type { ReplicaLimits } from "../replicaLimits/replicaLimits.ts";
import { noteAccepted, noteRefusal, spareBrittle, startBackoff } from "./backoff.ts";
import { unavailableStatuses } from "./constants.ts";

export interface ReportObserverDependencies {
  readonly limits: Pick<ReplicaLimits, "observeLimit" | "observeNoLimit">;
  readonly replicas: Pick<ReplicaTable, "get" | "markDraining" | "subscribe">;
  /** An answer reported that a replica drains, which this router didn't know. */
  readonly onDraining: (id: string) => void;
  /** A backoff of a replica has begun. */
  readonly onBackoff: (replica: ReplicaState) => void;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** The request that an answer belongs to. */
export interface AnsweredRequest {
  readonly replica: ReplicaEntry;
  /**
   * Id of the caller's request; `undefined` for status reads and orders, which another process at the address rejects.
   */
  readonly id: string | undefined;
  /** When the request was handed to the client, milliseconds on the monotonic clock. */
  readonly askedAt: number;
}

/** Called with the head of each answer. */
export type ReportObserver = (request: AnsweredRequest, report: ReplicaReport) => void;

const writeLog = createLogger("replicas");

/** Whether the answer comes from another process at the address, or belongs to another request. */
const isFromOther = ({ replica, id }: AnsweredRequest, report: ReplicaReport): boolean => {
  const { echoedId, replicaId } = report;
  if (id !== undefined && echoedId !== undefined && echoedId !== id) return true;
  return replicaId !== undefined && replicaId !== replica.registeredAs;
};

/** Only a replica can mark an answer so; a refusal counts as backoff without a mark. */
const isMarkedByReplica = ({ isSealed, isNotExecuted }: ReplicaReport): boolean => isSealed || isNotExecuted;

/** Creates an observer that updates a table of replicas and their limits. */
export const createReportObserver = (dependencies: ReportObserverDependencies): ReportObserver => {
  const { limits, replicas, metrics, clock, random } = dependencies;
  /** Ids of replicas whose unreadable limit was logged, which happens once for each. */
  const unreadableLimits = new Set<string>();
  /** The same for all other fields. */
  const unreadableReports = new Set<string>();
  replicas.subscribe(({ id }, departure) => {
    if (departure === undefined || departure === "draining") return;
    unreadableLimits.delete(id);
    unreadableReports.delete(id);
  });

  const noteUnreadableLimit = (id: string): void => {
    metrics.count(metricNames.limitsUnreadable);
    if (!unreadableLimits.has(id)) writeLog("limit_unreadable", { replica: id });
    unreadableLimits.add(id);
  };

  const noteUnreadable = ({ replica, id }: AnsweredRequest, field: string): void => {
    metrics.count(metricNames.reportsUnreadable);
    if (!unreadableReports.has(replica.id))
      writeLog("report_unreadable", { replica: replica.id, request: id ?? null, field });
    unreadableReports.add(replica.id);
  };

  const observeLimit = (replica: ReplicaState, { limit }: ReplicaReport, askedAt: number): void => {
    const span = { askedAt, receivedAt: clock.monotonic() };
    if (limit === "unreadable") {
      noteUnreadableLimit(replica.entry.id);
      return;
    }
    if (limit === undefined || limit >= unlimitedRate) {
      limits.observeNoLimit(replica, span);
      return;
    }
    metrics.count(metricNames.limitsReported);
    limits.observeLimit(replica, { perSecond: limit, ...span });
  };

  const observeDraining = (request: AnsweredRequest, { isDraining, status }: ReplicaReport): void => {
    const { id } = request.replica;
    if (isDraining === "unreadable") noteUnreadable(request, "draining");
    if (isDraining !== true) return;
    metrics.count(metricNames.drainingReported);
    if (!replicas.markDraining(id, { source: "answer", detail: request.id ?? "" })) return;
    writeLog("draining", { replica: id, request: request.id ?? null, status });
    dependencies.onDraining(id);
  };

  const observeBrittleness = (
    request: AnsweredRequest,
    state: ReplicaState,
    { brittleRejections }: ReplicaReport,
  ): void => {
    if (brittleRejections === "unreadable") noteUnreadable(request, "brittle");
    else state.brittleRejections = brittleRejections;
  };

  const observeRefusal = (request: AnsweredRequest, state: ReplicaState, report: ReplicaReport): void => {
    const { retryAfter, status } = report;
    if (retryAfter === "unreadable") noteUnreadable(request, "retryAfter");
    if (typeof retryAfter !== "number" || retryAfter === 0) {
      noteRefusal(state, clock.monotonic(), random());
      if (spareBrittle(state, clock.monotonic(), random())) dependencies.onBackoff(state);
      return;
    }
    metrics.count(metricNames.backoffsReported);
    if (!startBackoff(state, retryAfter, clock.monotonic(), random())) return;
    dependencies.onBackoff(state);
    const { replica, id } = request;
    const milliseconds = Math.round(retryAfter);
    writeLog("backoff_started", { replica: replica.id, request: id ?? null, status, milliseconds });
  };

  const observeBackoff = (request: AnsweredRequest, state: ReplicaState, report: ReplicaReport): void => {
    const { status, isSealed } = report;
    if (unavailableStatuses.has(status)) observeRefusal(request, state, report);
    else if (isSealed && noteAccepted(state, request.askedAt, clock.monotonic())) {
      writeLog("backoff_ended", { replica: request.replica.id, request: request.id ?? null, status });
    }
  };

  return (request, report) => {
    if (isFromOther(request, report)) return;
    const state = replicas.get(request.replica.id);
    if (state !== undefined && isMarkedByReplica(report)) observeBrittleness(request, state, report);
    if (state !== undefined) observeBackoff(request, state, report);
    if (request.id !== undefined && !isMarkedByReplica(report)) return;
    observeDraining(request, report);
    if (request.id !== undefined && state !== undefined) observeLimit(state, report, request.askedAt);
  };
};
