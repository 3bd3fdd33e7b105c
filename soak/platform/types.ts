/** Records of a soak run on the platform's stand-in. Times are milliseconds on one monotonic clock. */
import type { Arrival, ReceivedOrder, ExecutedRequest } from "../../standIns/platform/replica.ts";
import type { StepKind } from "./plan.ts";

/** The kinds of requests; the configuration's routes have these names. */
export type RequestName = "read" | "post" | "ask" | "tag";

/** One request, as its caller recorded it. */
export interface CallerRecord {
  readonly id: string;
  readonly name: RequestName;
  readonly organisation: string;
  readonly key: string;
  readonly router: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 if the connection ended without an answer. */
  readonly status: number;
  readonly body: string;
  readonly sentBody: string;
  /** Bytes that each event of the answer carries in addition; `body` is recorded without them. */
  readonly padding: number;
  /** True if the answer ended early, or its caller had disconnected before its end. */
  readonly isCut: boolean;
  /** The replica that sent the answer, if the answer reports that the replica is draining. */
  readonly drainingReplica: string | undefined;
  /** True if the caller disconnected on purpose. */
  readonly hasDisconnected: boolean;
}

/** The requests and orders of one replica. */
export interface ReplicaRecord {
  readonly id: string;
  readonly service: string;
  readonly runs: readonly ExecutedRequest[];
  readonly arrivals: readonly Arrival[];
  readonly orders: readonly ReceivedOrder[];
  /** When the store accepted its registration as draining; `undefined` if it never drained. */
  readonly drainingSince: number | undefined;
}

/** One step of the plan, as it was carried out. */
export interface StepRecord {
  readonly kind: StepKind;
  readonly from: number;
  readonly until: number;
  /** The router selected for it; `undefined` if there was none. */
  readonly router: string | undefined;
}

/** A router process that was asked to shut down. */
export interface ShutdownRecord {
  readonly router: string;
  readonly askedAt: number;
  /** The exit code; `null` if a signal ended it, `undefined` if it did not end. */
  readonly code: number | null | undefined;
}

/** Keys that the operator revoked and weights versions that it published. */
export interface OperatorActions {
  readonly revokedKeys: readonly { readonly key: string; readonly at: number }[];
  readonly weights: readonly { readonly version: number; readonly at: number }[];
}

/** All records of a run. */
export interface SoakHistory {
  readonly callers: readonly CallerRecord[];
  readonly replicas: readonly ReplicaRecord[];
  readonly steps: readonly StepRecord[];
  readonly shutdowns: readonly ShutdownRecord[];
  readonly operator: OperatorActions;
  readonly bounds: {
    readonly keyRevocation: number;
    readonly drain: number;
    readonly weights: number;
    readonly retryRatio: number;
    readonly retryWindowSeconds: number;
    readonly retryReserve: number;
  };
  /** Ages of the proofs of the configuration, from the routers' logs, milliseconds. */
  readonly proofAges: readonly number[];
  /** The routers' log lines about exceptions that ended a process, and about failed tasks in the background. */
  readonly faults: readonly string[];
  /** When the last step had ended. */
  readonly lastStepEndedAt: number;
}
