/**
 * Queries to the routers that read the platform's store on behalf of others, and their answers: how far the reader has
 * read, and how long ago. This proves to the asking router up to which position its own state is current. Positions are
 * those of the store's records, the same for every reader within an epoch.
 */
import { createByteReader } from "./byteReader.ts";
import { createByteWriter } from "./byteWriter.ts";
import { StorePosition } from "../StorePosition.ts";

export interface ProofQuestion {
  readonly kind: "question";
  /** Starts at random in every process, so that an answer to a previous process at this address is not accepted. */
  readonly number: number;
}

/** How far a reader has read one topic. */
export interface ReadProgress {
  /** The reader knows all relevant records before this position. */
  readonly position: StorePosition;
  /** Milliseconds since the reader sent a read that found nothing after the position. */
  readonly age: number;
}

/** A reader's answer. */
export interface ProofAnswer {
  readonly kind: "answer";
  readonly number: number;
  /** The operator's records: the configuration and the target weights. */
  readonly operator: ReadProgress;
  /** The registry of replicas. */
  readonly replicas: ReadProgress;
}

export type ProofMessage = ProofQuestion | ProofAnswer;

/** The first byte of each datagram, which distinguishes it from the other datagrams between routers. */
const messageTypes = { question: 0x31, answer: 0x33 } as const;

/**
 * Encodes a proof message as a datagram.
 *
 * @param message - Its numbers must be non-negative integers.
 */
export const encodeProofMessage = (message: ProofMessage): Buffer => {
  const writer = createByteWriter();
  writer.uint8(messageTypes[message.kind]);
  writer.varint(message.number);
  if (message.kind === "answer") {
    for (const { position, age } of [message.operator, message.replicas]) {
      writer.varint(position.epoch);
      writer.varint(position.offsetIn(position.epoch));
      writer.varint(age);
    }
  }
  return writer.finish();
};

/** @returns The decoded message, or `undefined` if the datagram is not a proof message. */
export const decodeProofMessage = (datagram: Buffer): ProofMessage | undefined => {
  const reader = createByteReader(datagram);
  try {
    const messageType = reader.uint8();
    if (messageType !== messageTypes.question && messageType !== messageTypes.answer) return undefined;
    const number = reader.varint();
    const readProgress = (): ReadProgress => ({
      position: new StorePosition(reader.varint(), reader.varint()),
      age: reader.varint(),
    });
    const message: ProofMessage =
      messageType === messageTypes.question
        ? { kind: "question", number }
        : { kind: "answer", number, operator: readProgress(), replicas: readProgress() };
    return reader.isAtEnd() ? message : undefined;
  } catch (error) {
    // Truncated, or not from a router: dropped without a reply, since the next message follows soon.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
