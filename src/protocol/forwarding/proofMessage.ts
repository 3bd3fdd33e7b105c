/**
 * What a router asks those that read the platform's store for others, and their answer: how far they have read and
 * how long ago that was. Positions are those of the store's records, the same for every reader in an epoch.
 */
import { createByteReader } from "./byteReader.ts";
import { createByteWriter } from "./byteWriter.ts";
import { StorePosition } from "../StorePosition.ts";

/** A router asks. */
export interface ProofQuestion {
  readonly kind: "question";
  /** Begins at random in every process: an answer to the process that had this address before proves nothing. */
  readonly number: number;
}

/** How far a reader has read one kind of records. */
export interface ReadProgress {
  /** Up to which all is known that can change a decision. */
  readonly position: StorePosition;
  /** Milliseconds since a read was sent that found nothing after it. */
  readonly age: number;
}

/** A reader answers. */
export interface ProofAnswer {
  readonly kind: "answer";
  readonly number: number;
  /** Configuration and weights wanted. */
  readonly operator: ReadProgress;
  /** Registered replicas. */
  readonly replicas: ReadProgress;
}

export type ProofMessage = ProofQuestion | ProofAnswer;

/** The first byte; other datagrams between routers begin with other ones. */
const forms = { question: 0x31, answer: 0x33 } as const;

/** @returns The datagram. Counts must be whole numbers of 0 or more. */
export const encodeProofMessage = (message: ProofMessage): Buffer => {
  const writer = createByteWriter();
  writer.byte(forms[message.kind]);
  writer.count(message.number);
  if (message.kind === "answer") {
    for (const { position, age } of [message.operator, message.replicas]) {
      writer.count(position.epoch);
      writer.count(position.offsetIn(position.epoch));
      writer.count(age);
    }
  }
  return writer.finish();
};

/** @returns Nothing if the datagram is no such message. */
export const decodeProofMessage = (datagram: Buffer): ProofMessage | undefined => {
  const reader = createByteReader(datagram);
  try {
    const form = reader.byte();
    if (form !== forms.question && form !== forms.answer) return undefined;
    const number = reader.count();
    const readProgress = (): ReadProgress => ({
      position: new StorePosition(reader.count(), reader.count()),
      age: reader.count(),
    });
    const message: ProofMessage =
      form === forms.question
        ? { kind: "question", number }
        : { kind: "answer", number, operator: readProgress(), replicas: readProgress() };
    return reader.isAtEnd() ? message : undefined;
  } catch (error) {
    // Cut off, or not from a router: there is nobody to tell, and the next message is on its way.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
