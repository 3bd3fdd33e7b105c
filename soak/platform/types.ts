/** What a soak run on the platform's stand-in records, for the checks. Times are milliseconds on one clock. */
import type { Arrival, ReceivedOrder, ExecutedRequest } from "../../standIns/platform/replica.ts";
import type { StepKind } from "./plan.ts";

/** The ways in which callers ask; the configuration's routes have these names. */
export type RequestName = "read" | "post" | "ask" | "tag";

/** One request as its caller saw it. */
export interface CallerRecord {
  readonly id: string;
  readonly name: RequestName;
  readonly organisation: string;
  readonly key: string;
  readonly router: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0: the connection ended without an answer. */
  readonly status: number;
  readonly body: string;
  readonly sentBody: string;
  readonly isCut: boolean;
  /** The replica whose answer it is, if the answer reports that the replica drains. */
  readonly drainingReplica: string | undefined;
  /** The caller went away by itself. */
  readonly hasDisconnected: boolean;
}

/** What one replica did. */
export interface ReplicaRecord {
  readonly id: string;
  readonly service: string;
  readonly runs: readonly ExecutedRequest[];
  readonly arrivals: readonly Arrival[];
  readonly orders: readonly ReceivedOrder[];
  /** When the store accepted that it leaves. */
  readonly drainingSince: number | undefined;
}

/** One step of the plan as it was carried out. */
export interface StepRecord {
  readonly kind: StepKind;
  readonly from: number;
  readonly until: number;
  /** The router that it struck; nothing if it struck something else. */
  readonly router: string | undefined;
}

/** A process that was asked to end. */
export interface ShutdownRecord {
  readonly router: string;
  readonly askedAt: number;
  /** Nothing if it did not end. */
  readonly code: number | null | undefined;
}

/** What the operator did. */
export interface OperatorActions {
  readonly revokedKeys: readonly { readonly key: string; readonly at: number }[];
  readonly weights: readonly { readonly version: number; readonly at: number }[];
}

/** Everything that a run recorded. */
export interface SoakHistory {
  readonly callers: readonly CallerRecord[];
  readonly replicas: readonly ReplicaRecord[];
  readonly steps: readonly StepRecord[];
  readonly shutdowns: readonly ShutdownRecord[];
  readonly operator: OperatorActions;
  readonly bounds: { readonly keyRevocation: number; readonly drain: number; readonly weights: number };
  /** Ages of proofs of the configuration that routers wrote to their logs, milliseconds. */
  readonly proofAges: readonly number[];
  /** When the last step was over. */
  readonly lastStepEndedAt: number;
}
