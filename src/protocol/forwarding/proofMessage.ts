/**
 * Queries to the routers that read the platform's store on behalf of others, and their answers: how far the reader has
 * read, and how long ago. This proves to the asking router up to which position its own state is current. Positions are
 * those of the store's records, the same for every reader within an epoch. An answer also carries the records that the
 * asking router lacks, if they are few and small.
 */
import type { ByteReader } from "./byteReader.ts";
import { createByteReader } from "./byteReader.ts";
import type { ByteWriter } from "./byteWriter.ts";
import { createByteWriter } from "./byteWriter.ts";
import {
  readOperatorRecords,
  readReplicaRecords,
  writeOperatorRecords,
  writeReplicaRecords,
} from "./recordMessage.ts";
import { StorePosition } from "../StorePosition.ts";
import type { FeedRecord, OperatorRecord, ReplicaEntry } from "./types.ts";

/** The positions up to which a router knows the records of both topics. */
export interface KnownPositions {
  readonly operator: StorePosition;
  readonly replicas: StorePosition;
}

export interface ProofQuestion {
  readonly kind: "question";
  /** Starts at random in every process, so that an answer to a previous process at this address is not accepted. */
  readonly number: number;
  /** Absent if the asking router has not read both topics yet. */
  readonly known?: KnownPositions;
}

/** How far a reader has read one topic. */
export interface ReadProgress<T = unknown> {
  /** The reader knows all relevant records before this position. */
  readonly position: StorePosition;
  /** Milliseconds since the reader sent a read that found nothing after the position. */
  readonly age: number;
  /** All relevant records from the asking router's position up to this one; absent if they are not handed over. */
  readonly records?: readonly FeedRecord<T>[];
}

/** A reader's answer. */
export interface ProofAnswer {
  readonly kind: "answer";
  readonly number: number;
  /** The operator's records: the configuration and the target weights. */
  readonly operator: ReadProgress<OperatorRecord>;
  /** The registry of replicas. */
  readonly replicas: ReadProgress<ReplicaEntry>;
}

export type ProofMessage = ProofQuestion | ProofAnswer;

/**
 * The first byte of each datagram, which distinguishes it from the other datagrams between routers. Positions in a
 * question and records in an answer have types of their own, so that routers without them ignore the message.
 */
const messageTypes = { question: 0x31, answer: 0x33, positionedQuestion: 0x32, recordsAnswer: 0x34 } as const;

const isKnownType = (type: number): boolean => Object.values<number>(messageTypes).includes(type);

const writePosition = (writer: ByteWriter, position: StorePosition): void => {
  writer.varint(position.epoch);
  writer.varint(position.offsetIn(position.epoch));
};

const readPosition = (reader: ByteReader): StorePosition =>
  new StorePosition(reader.varint(), reader.varint());

const writeProgress = (writer: ByteWriter, { position, age }: ReadProgress): void => {
  writePosition(writer, position);
  writer.varint(age);
};

const readProgress = (reader: ByteReader) => ({ position: readPosition(reader), age: reader.varint() });

const writeQuestion = (writer: ByteWriter, { number, known }: ProofQuestion): void => {
  writer.uint8(known === undefined ? messageTypes.question : messageTypes.positionedQuestion);
  writer.varint(number);
  if (known === undefined) return;
  writePosition(writer, known.operator);
  writePosition(writer, known.replicas);
};

const writeAnswer = (writer: ByteWriter, { number, operator, replicas }: ProofAnswer): void => {
  const hasRecords = operator.records !== undefined || replicas.records !== undefined;
  writer.uint8(hasRecords ? messageTypes.recordsAnswer : messageTypes.answer);
  writer.varint(number);
  writeProgress(writer, operator);
  writeProgress(writer, replicas);
  if (!hasRecords) return;
  writer.list(operator.records === undefined ? [] : [operator.records], (records) =>
    writeOperatorRecords(writer, records),
  );
  writer.list(replicas.records === undefined ? [] : [replicas.records], (records) =>
    writeReplicaRecords(writer, records),
  );
};

/**
 * Encodes a proof message as a datagram.
 *
 * @param message - Its numbers must be non-negative integers, and its records small.
 */
export const encodeProofMessage = (message: ProofMessage): Buffer => {
  const writer = createByteWriter();
  if (message.kind === "question") writeQuestion(writer, message);
  else writeAnswer(writer, message);
  return writer.finish();
};

const withRecords = <T>(
  progress: ReadProgress,
  records: readonly FeedRecord<T>[] | undefined,
): ReadProgress<T> => ({
  position: progress.position,
  age: progress.age,
  ...(records === undefined ? {} : { records }),
});

const readAnswer = (reader: ByteReader, hasRecords: boolean): ProofAnswer => {
  const number = reader.varint();
  const operator = readProgress(reader);
  const replicas = readProgress(reader);
  if (!hasRecords)
    return {
      kind: "answer",
      number,
      operator: withRecords(operator, undefined),
      replicas: withRecords(replicas, undefined),
    };
  const [operatorRecords] = reader.list(() => readOperatorRecords(reader, operator.position.epoch));
  const [replicaRecords] = reader.list(() => readReplicaRecords(reader, replicas.position.epoch));
  return {
    kind: "answer",
    number,
    operator: withRecords(operator, operatorRecords),
    replicas: withRecords(replicas, replicaRecords),
  };
};

const readMessage = (reader: ByteReader, type: number): ProofMessage => {
  if (type === messageTypes.answer || type === messageTypes.recordsAnswer)
    return readAnswer(reader, type === messageTypes.recordsAnswer);
  const number = reader.varint();
  if (type === messageTypes.question) return { kind: "question", number };
  return {
    kind: "question",
    number,
    known: { operator: readPosition(reader), replicas: readPosition(reader) },
  };
};

/** @returns The decoded message, or `undefined` if the datagram is not a proof message. */
export const decodeProofMessage = (datagram: Buffer): ProofMessage | undefined => {
  const reader = createByteReader(datagram);
  try {
    const type = reader.uint8();
    if (!isKnownType(type)) return undefined;
    const message = readMessage(reader, type);
    return reader.isAtEnd() ? message : undefined;
  } catch (error) {
    // Truncated, or not from a router: dropped without a reply, since the next message follows soon.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
