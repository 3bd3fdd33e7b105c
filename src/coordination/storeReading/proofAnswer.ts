/** A router's state of the store's records, and what it answers to routers that ask how far it has read. */
import type { ProofAnswer, ProofQuestion, ReadProgress } from "../../protocol/forwarding/proofMessage.ts";
import type { OperatorRecord, ReplicaEntry } from "../../protocol/forwarding/types.ts";
import type { StorePosition } from "../../protocol/StorePosition.ts";
import type { FeedFollower } from "../forwarding/feedFollower.ts";
import type { RecordHandOver } from "./recordHandOver.ts";

/** A router's state of one kind of records: the operator's, or the registry. */
export interface FollowedRecords<T = unknown> {
  readonly feed: Pick<FeedFollower, "position" | "check" | "readNow">;
  /** Absent if every router reads the records itself. */
  readonly handOver?: RecordHandOver<T>;
  /**
   * @returns The position after the last record that may change a decision; `undefined` before the first read of an
   * epoch.
   */
  readonly lastChangePosition: () => StorePosition | undefined;
  /** @returns Milliseconds since the time up to which all records are known. */
  readonly age: () => number;
  /** Records that everything written before a time is known, milliseconds on the monotonic clock. */
  readonly confirm: (at: number) => void;
}

/** @returns The position up to which all relevant records are known, from own reads or from another router's. */
export const knownPosition = <T>({ feed, handOver }: FollowedRecords<T>): StorePosition | undefined =>
  handOver === undefined ? feed.position() : handOver.known();

const progressOf = <T>(
  { age, lastChangePosition, handOver }: FollowedRecords<T>,
  asked: StorePosition | undefined,
): ReadProgress<T> | undefined => {
  const since = age();
  const position = lastChangePosition();
  if (position === undefined || !Number.isFinite(since)) return undefined;
  const records = asked === undefined ? undefined : handOver?.between(asked, position);
  const hasRecords = records !== undefined && records.length > 0;
  return { position, age: Math.ceil(since), ...(hasRecords ? { records } : {}) };
};

/** @returns The answer of a router that has read both kinds of records; `undefined` of one that has not. */
export const createProofAnswer = (
  { number, known }: ProofQuestion,
  operator: FollowedRecords<OperatorRecord>,
  replicas: FollowedRecords<ReplicaEntry>,
): ProofAnswer | undefined => {
  const ofOperator = progressOf(operator, known?.operator);
  const ofReplicas = progressOf(replicas, known?.replicas);
  if (ofOperator === undefined || ofReplicas === undefined) return undefined;
  return { kind: "answer", number, operator: ofOperator, replicas: ofReplicas };
};
