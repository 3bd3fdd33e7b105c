/**
 * Applies what a replica reports in the head of an answer to what this router knows of it. Reports of another process
 * that answers at its address are ignored, and a field that can't be decoded changes nothing.
 */
import type { ReplicaEntry, ReplicaReport } from "../../protocol/forwarding/types.ts";
import { metricNames } from "../../state/constants.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { bindingRate } from "../replicaLimits/constants.ts";
import type { ReplicaLimits } from "../replicaLimits/replicaLimits.ts";
import { noteAccepted, noteRefusal, startBackoff } from "./backoff.ts";
import { unavailableStatuses } from "./constants.ts";

export interface ReportObserverDependencies {
  readonly limits: Pick<ReplicaLimits, "hear" | "hearUnnamed">;
  readonly replicas: Pick<ReplicaTable, "get" | "markDraining" | "subscribe">;
  /** An answer reported draining, which this router didn't know. */
  readonly onDraining: (id: string) => void;
  /** A replica began to ask this router for backoff. */
  readonly onBackoff: (replica: ReplicaState) => void;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** What was answered. */
export interface AnsweredRequest {
  readonly replica: ReplicaEntry;
  /** The caller's request; nothing for status reads and orders, which another process at the address rejects. */
  readonly id: string | undefined;
  /** When it was handed to the client, milliseconds on the monotonic clock. */
  readonly askedAt: number;
}

/** Observes the head of an answer. */
export type ReportObserver = (request: AnsweredRequest, report: ReplicaReport) => void;

const writeLog = createLogger("replicas");

const isOfAnother = ({ replica, id }: AnsweredRequest, report: ReplicaReport): boolean => {
  const { echoedId, replicaId } = report;
  if (id !== undefined && echoedId !== undefined && echoedId !== id) return true;
  return replicaId !== undefined && replicaId !== replica.registeredAs;
};

/** Only a replica can mark an answer; a refusal needs no mark to be taken seriously. */
const isMarked = ({ isSealed, isNotRun }: ReplicaReport): boolean => isSealed || isNotRun;

/** Creates an observer. */
export const createReportObserver = (dependencies: ReportObserverDependencies): ReportObserver => {
  const { limits, replicas, metrics, clock, random } = dependencies;
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

  const noteUnreadable = ({ replica, id }: AnsweredRequest, field: string): void => {
    metrics.count(metricNames.reportsUnreadable);
    if (!unreadableReports.has(replica.id))
      writeLog("report_unreadable", { replica: replica.id, request: id ?? null, field });
    unreadableReports.add(replica.id);
  };

  const observeLimit = (replica: ReplicaState, { limit }: ReplicaReport, askedAt: number): void => {
    const span = { askedAt, heardAt: clock.monotonic() };
    if (limit === "unreadable") {
      noteUnreadableLimit(replica.entry.id);
      return;
    }
    if (limit === undefined || limit >= bindingRate) {
      limits.observeNoLimit(replica, span);
      return;
    }
    metrics.count(metricNames.limitsNamed);
    limits.observeLimit(replica, { perSecond: limit, ...span });
  };

  const observeDraining = (request: AnsweredRequest, { isDraining, status }: ReplicaReport): void => {
    const { id } = request.replica;
    if (isDraining === "unreadable") noteUnreadable(request, "draining");
    if (isDraining !== true) return;
    metrics.count(metricNames.drainingReported);
    if (!replicas.markDraining(id)) return;
    writeLog("draining", { replica: id, request: request.id ?? null, status });
    dependencies.onDraining(id);
  };

  const observeRefusal = (request: AnsweredRequest, state: ReplicaState, report: ReplicaReport): void => {
    const { retryAfter, status } = report;
    if (retryAfter === "unreadable") noteUnreadable(request, "retryAfter");
    if (typeof retryAfter !== "number" || retryAfter === 0) {
      noteRefusal(state, clock.monotonic(), random());
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
    if (isOfAnother(request, report)) return;
    const state = replicas.get(request.replica.id);
    if (state !== undefined) observeBackoff(request, state, report);
    if (request.id !== undefined && !isMarked(report)) return;
    observeDraining(request, report);
    if (request.id !== undefined && state !== undefined) observeLimit(state, report, request.askedAt);
  };
};
