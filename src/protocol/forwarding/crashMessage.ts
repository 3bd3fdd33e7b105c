/** What routers tell one another of requests that crash replicas. Each message may come again, and says the same. */
import type { ByteReader } from "./byteReader.ts";
import { createByteReader } from "./byteReader.ts";
import type { ByteWriter } from "./byteWriter.ts";
import { createByteWriter } from "./byteWriter.ts";
import type { Fingerprint } from "./fingerprint.ts";

interface Numbered {
  /** Of all messages of all routers: the same where a message is sent again. */
  readonly number: number;
}

/** A request that was in flight at a replica when it crashed. */
export interface Suspect {
  readonly fingerprint: Fingerprint;
  /** Part of its answer had come: the cause more often crashes its replica as it begins. */
  readonly hasBegun: boolean;
}

/** A replica's process has ended with requests in flight. */
export interface ReplicaCrash {
  /** The incarnation's id. */
  readonly replica: string;
  readonly suspects: readonly Suspect[];
}

/** Replicas crashed, with these requests of the sender's in flight. */
export interface CrashNews extends Numbered {
  readonly kind: "crash";
  readonly crashes: readonly ReplicaCrash[];
}

/** Requests that are held back from now on, or that a replica has answered whole: those are held back no more. */
export interface HoldNews extends Numbered {
  readonly kind: "held" | "answered";
  readonly fingerprints: readonly Fingerprint[];
}

export type CrashMessage = CrashNews | HoldNews;

/** The first byte; other datagrams between routers begin with other ones. */
const forms = { crash: 0x51, held: 0x52, answered: 0x53 } as const;

const writeCrash = (writer: ByteWriter, { replica, suspects }: ReplicaCrash): void => {
  writer.text(replica);
  writer.list(suspects, ({ fingerprint, hasBegun }) => {
    writer.text(fingerprint);
    writer.byte(hasBegun ? 1 : 0);
  });
};

/** @returns The datagram. */
export const encodeCrashMessage = (message: CrashMessage): Buffer => {
  const writer = createByteWriter();
  writer.byte(forms[message.kind]);
  writer.count(message.number);
  if (message.kind === "crash") writer.list(message.crashes, (crash) => writeCrash(writer, crash));
  else writer.list(message.fingerprints, writer.text);
  return writer.finish();
};

/** Object literals evaluate their fields in the order in which they are written, which is that of the bytes. */
const readCrash = (reader: ByteReader): ReplicaCrash => ({
  replica: reader.text(),
  suspects: reader.list(() => ({ fingerprint: reader.text(), hasBegun: reader.byte() === 1 })),
});

const readMessage = (reader: ByteReader, form: number): CrashMessage => {
  const number = reader.count();
  if (form === forms.crash) return { kind: "crash", number, crashes: reader.list(() => readCrash(reader)) };
  const kind = form === forms.held ? "held" : "answered";
  return { kind, number, fingerprints: reader.list(reader.text) };
};

/** @returns Nothing if the datagram is no such message. */
export const decodeCrashMessage = (datagram: Buffer): CrashMessage | undefined => {
  const form = datagram[0];
  if (form !== forms.crash && form !== forms.held && form !== forms.answered) return undefined;
  const reader = createByteReader(datagram);
  try {
    const message = readMessage(reader, reader.byte());
    return reader.isAtEnd() ? message : undefined;
  } catch (error) {
    // Cut off, or not from a router: there is nobody to tell, and the message is sent again.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
