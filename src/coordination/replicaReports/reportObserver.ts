/**
 * Applies what a replica reports in the head of an answer to what this router knows of it. Reports of another process
 * that answers at its address are ignored, and a field that can't be decoded changes nothing.
 */
import type { ReplicaReport } from "../../protocol/forwarding/types.ts";
import { metricNames } from "../../state/constants.ts";
import type { ReplicaState, ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { bindingRate } from "../replicaLimits/constants.ts";
import type { ReplicaLimits } from "../replicaLimits/replicaLimits.ts";
import { unavailableStatuses } from "./constants.ts";

export interface ReportObserverDependencies {
  readonly limits: Pick<ReplicaLimits, "hear" | "hearUnnamed">;
  readonly replicas: Pick<ReplicaTable, "subscribe">;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

/**
 * Observes the head of an answer.
 *
 * @param requestId - The request that was answered.
 * @param askedAt - When the request was handed to the client, milliseconds on the monotonic clock.
 */
export type ReportObserver = (
  replica: ReplicaState,
  requestId: string,
  report: ReplicaReport,
  askedAt: number,
) => void;

const writeLog = createLogger("replicas");

const isOfAnother = ({ entry }: ReplicaState, requestId: string, report: ReplicaReport): boolean => {
  const { echoedId, replicaId } = report;
  if (echoedId !== undefined && echoedId !== requestId) return true;
  return replicaId !== undefined && replicaId !== entry.registeredAs;
};

/** Only a replica can mark an answer; a refusal needs no mark to be taken seriously. */
const isMarked = ({ isSealed, isNotRun }: ReplicaReport): boolean => isSealed || isNotRun;

/** Creates an observer. */
export const createReportObserver = (dependencies: ReportObserverDependencies): ReportObserver => {
  const { limits, replicas, metrics, clock } = dependencies;
  /** Ids of replicas with an unreadable limit: logged once for each. */
  const unreadableLimits = new Set<string>();
  /** The same for other fields. */
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

  const noteUnreadable = (id: string, requestId: string, field: string): void => {
    metrics.count(metricNames.reportsUnreadable);
    if (!unreadableReports.has(id)) writeLog("report_unreadable", { replica: id, request: requestId, field });
    unreadableReports.add(id);
  };

  const observeLimit = (replica: ReplicaState, { limit }: ReplicaReport, askedAt: number): void => {
    const span = { askedAt, heardAt: clock.monotonic() };
    if (limit === "unreadable") {
      noteUnreadableLimit(replica.entry.id);
      return;
    }
    if (limit === undefined || limit >= bindingRate) {
      limits.hearUnnamed(replica, span);
      return;
    }
    metrics.count(metricNames.limitsNamed);
    limits.hear(replica, { perSecond: limit, ...span });
  };

  const observeDraining = ({ entry }: ReplicaState, requestId: string, report: ReplicaReport): void => {
    const { isDraining, status } = report;
    if (isDraining === "unreadable") noteUnreadable(entry.id, requestId, "draining");
    if (isDraining !== true) return;
    metrics.count(metricNames.drainingReported);
    writeLog("draining", { replica: entry.id, request: requestId, status });
  };

  const observeBackoff = ({ entry }: ReplicaState, requestId: string, report: ReplicaReport): void => {
    const { retryAfter, status } = report;
    if (retryAfter === undefined || !unavailableStatuses.has(status)) return;
    if (retryAfter === "unreadable") {
      noteUnreadable(entry.id, requestId, "retryAfter");
      return;
    }
    metrics.count(metricNames.backoffsReported);
    writeLog("backoff_started", { replica: entry.id, request: requestId, status, milliseconds: retryAfter });
  };

  return (replica, requestId, report, askedAt) => {
    if (isOfAnother(replica, requestId, report)) return;
    observeBackoff(replica, requestId, report);
    if (!isMarked(report)) return;
    observeDraining(replica, requestId, report);
    observeLimit(replica, report, askedAt);
  };
};
