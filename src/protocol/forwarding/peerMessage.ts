/**
 * The state that routers announce to one another in datagrams. The messages are short, sent repeatedly, and obsolete
 * once a newer one has arrived, except for updates, such as holders, that only some messages carry.
 *
 * The binary format is written by hand: as JSON with schema validation, a message with work at eight replicas takes
 * 490 bytes and 238 µs to encode and decode, and routers on small VMs and links exchange 80 a second and more.
 */
import type { ByteReader } from "./byteReader.ts";
import { createByteReader } from "./byteReader.ts";
import type { ByteWriter } from "./byteWriter.ts";
import { createByteWriter } from "./byteWriter.ts";
import { hash64 } from "../prefixLevels.ts";
import type { StoreEpoch } from "../storeEpoch.ts";
import type { ReportedLimitMessage } from "./reportedLimitMessage.ts";
import { readReportedLimit, writeReportedLimit } from "./reportedLimitMessage.ts";

/**
 * Identifies a replica in messages: six bytes of its id's hash. Among 12,000 replicas, any two collide with a
 * probability of 1 in 4 million.
 */
export type ReplicaKey = number;

const droppedBits = 16n;

/** @returns The key of a replica id, the same in every process. */
export const replicaKeyOf = (id: string): ReplicaKey => Number(hash64(id) >> droppedBits);

/** The sender's own work at one replica. */
export interface AnnouncedWork {
  readonly replica: ReplicaKey;
  readonly requests: number;
  /** Prompt tokens of the requests without a first token, by priority; missing trailing entries are 0. */
  readonly promptTokens: readonly number[];
  /** The same tokens by organisation, where organisations are counted. */
  readonly organisations: readonly OrganisationTokens[];
  /** Memory tokens that the requests hold or will need; 0 where memory is not counted. */
  readonly reservedTokens: number;
  /** Prompt tokens of its requests whose first token has arrived; 0 where speeds are not learned from it. */
  readonly prefilledTokens: number;
}

/** Prompt tokens of one organisation's requests without a first token. */
export interface OrganisationTokens {
  /** 32-bit hash of the organisation's name. */
  readonly key: number;
  readonly promptTokens: number;
}

/** The weights that a replica runs. */
export interface AnnouncedWeights {
  readonly replica: ReplicaKey;
  readonly model: string;
  readonly version: number;
}

/** A replica that gets no new requests for a while, since its weights are being changed. */
export interface AnnouncedChange {
  readonly replica: ReplicaKey;
  /** Milliseconds from the time at which the message was sent. */
  readonly remaining: number;
}

/** The limit that a replica reports. */
export interface AnnouncedLimit {
  readonly replica: ReplicaKey;
  readonly reportedLimit: ReportedLimitMessage;
}

/** A prompt part that a replica has cached or computes. */
export interface AnnouncedHolder {
  /** The key of the part, 32 bits. */
  readonly part: number;
  readonly replica: ReplicaKey;
  /** False while the part is being computed. */
  readonly isReady: boolean;
}

/** Encodes cache holders, in the same way in all messages that contain them. */
export const writeHolders = (writer: ByteWriter, holders: readonly AnnouncedHolder[]): void =>
  writer.list(holders, ({ part, replica, isReady }) => {
    writer.varint(part);
    writer.uint48(replica);
    writer.uint8(isReady ? 1 : 0);
  });

/** Decodes what {@link writeHolders} encodes. */
export const readHolders = (reader: ByteReader): readonly AnnouncedHolder[] =>
  reader.list(() => ({ part: reader.varint(), replica: reader.uint48(), isReady: reader.uint8() === 1 }));

/** The weights that the operator wants a model's engines to run. */
export interface AnnouncedTarget {
  readonly model: string;
  readonly version: number;
  /** Milliseconds for which the sender has known of them. */
  readonly age: number;
}

/** The configuration version in force at the sender, and the sender's proof that no newer one exists. */
export interface AnnouncedConfiguration {
  readonly version: number;
  /** Age of the proof, milliseconds. */
  readonly age: number;
}

export interface RouterMessage {
  readonly name: string;
  /** Changes with every start of the sender. */
  readonly incarnation: string;
  /** The sender's data centre. */
  readonly dataCentre: string;
  /** Time of sending, milliseconds on the sender's monotonic clock, counted from a random origin. */
  readonly sentAt: number;
  /**
   * The newest `sentAt` that the sender received from the receiver; `undefined` before the first message, and always
   * where there are many routers.
   */
  readonly echo: number | undefined;
  readonly configuration: AnnouncedConfiguration | undefined;
  /** Empty where there are many routers: each reports its work to the owners of replicas instead. */
  readonly work: readonly AnnouncedWork[];
  readonly weights: readonly AnnouncedWeights[];
  readonly changingReplicas: readonly AnnouncedChange[];
  /** Replicas that are leaving. */
  readonly leaving: readonly ReplicaKey[];
  /** Only those that the sender has learned of since the last message. */
  readonly holders: readonly AnnouncedHolder[];
  readonly weightsTargets: readonly AnnouncedTarget[];
  /** Limits that the sender has recently received. */
  readonly reportedLimits: readonly AnnouncedLimit[];
  /** Digest of the requests that the sender has quarantined, 32 bits. */
  readonly quarantineDigest: number;
  /** The newest store epoch that the sender knows. */
  readonly storeEpoch: StoreEpoch;
  /** Milliseconds for which reads of the store still prove nothing after it was restored from a copy. */
  readonly recoveryRemaining: number;
  /** The sender takes on no duties for other routers at present: it is shutting down, or its reads are too old. */
  readonly hasSteppedDown: boolean;
  /** The sender has no path to any replica. */
  readonly isPartitioned: boolean;
  readonly isShuttingDown: boolean;
}

/** The first byte of the datagram; datagrams that begin with another one are ignored. */
const messageType = 6;

const flags = {
  echo: 1,
  configuration: 2,
  hasSteppedDown: 4,
  isShuttingDown: 8,
  prefilled: 16,
  isPartitioned: 32,
} as const;

/** Whether the work at replicas includes prefilled tokens: where none does, no entry takes a byte for them. */
const hasPrefilled = ({ work }: RouterMessage): boolean =>
  work.some(({ prefilledTokens }) => prefilledTokens > 0);

const encodeStateFlags = ({
  echo,
  configuration,
  hasSteppedDown,
  isPartitioned,
  isShuttingDown,
}: RouterMessage): number =>
  (echo === undefined ? 0 : flags.echo) |
  (configuration === undefined ? 0 : flags.configuration) |
  (hasSteppedDown ? flags.hasSteppedDown : 0) |
  (isPartitioned ? flags.isPartitioned : 0) |
  (isShuttingDown ? flags.isShuttingDown : 0);

const encodeFlags = (message: RouterMessage): number =>
  encodeStateFlags(message) | (hasPrefilled(message) ? flags.prefilled : 0);

const writeUpdates = (writer: ByteWriter, message: RouterMessage): void => {
  writer.list(message.weights, ({ replica, model, version }) => {
    writer.uint48(replica);
    writer.shortText(model);
    writer.varint(version);
  });
  writer.list(message.changingReplicas, ({ replica, remaining }) => {
    writer.uint48(replica);
    writer.varint(remaining);
  });
  writer.list(message.leaving, writer.uint48);
  writeHolders(writer, message.holders);
  writer.list(message.weightsTargets, ({ model, version, age }) => {
    writer.shortText(model);
    writer.varint(version);
    writer.varint(age);
  });
  writer.list(message.reportedLimits, ({ replica, reportedLimit }) => {
    writer.uint48(replica);
    writeReportedLimit(writer, reportedLimit);
  });
};

/**
 * Encodes a router message as a datagram.
 *
 * @param message - Its numbers must be non-negative integers.
 */
export const encodeRouterMessage = (message: RouterMessage): Buffer => {
  const writer = createByteWriter();
  writer.uint8(messageType);
  writer.uint8(encodeFlags(message));
  writer.shortText(message.name);
  writer.shortText(message.incarnation);
  writer.shortText(message.dataCentre);
  writer.float64(message.sentAt);
  if (message.echo !== undefined) writer.float64(message.echo);
  if (message.configuration !== undefined) {
    writer.varint(message.configuration.version);
    writer.varint(message.configuration.age);
  }
  const includesPrefilled = hasPrefilled(message);
  writer.list(message.work, (work) => {
    writer.uint48(work.replica);
    writeAmounts(writer, work);
    if (includesPrefilled) writer.varint(work.prefilledTokens);
  });
  writeUpdates(writer, message);
  writer.varint(message.quarantineDigest);
  writer.varint(message.storeEpoch);
  writer.varint(message.recoveryRemaining);
  return writer.finish();
};

/** The amounts of work at a replica, as messages between routers carry them. */
export type WorkAmounts = Omit<AnnouncedWork, "replica" | "prefilledTokens">;

/** Organisations and memory follow only if they are counted: where neither is, work takes no bytes more. */
export const writeAmounts = (writer: ByteWriter, amounts: WorkAmounts): void => {
  const { requests, promptTokens, organisations, reservedTokens } = amounts;
  const hasDetails = organisations.length > 0 || reservedTokens > 0;
  writer.varint(requests * 2 + (hasDetails ? 1 : 0));
  writer.list(promptTokens, writer.varint);
  if (!hasDetails) return;
  writer.list(organisations, ({ key, promptTokens: tokens }) => {
    writer.varint(key);
    writer.varint(tokens);
  });
  writer.varint(reservedTokens);
};

/** Reads what {@link writeAmounts} has written. */
export const readAmounts = (reader: ByteReader): WorkAmounts => {
  const first = reader.varint();
  const requests = Math.floor(first / 2);
  const promptTokens = reader.list(reader.varint);
  if (first % 2 === 0) return { requests, promptTokens, organisations: [], reservedTokens: 0 };
  return {
    requests,
    promptTokens,
    organisations: reader.list(() => ({ key: reader.varint(), promptTokens: reader.varint() })),
    reservedTokens: reader.varint(),
  };
};

const readWork = (reader: ByteReader, includesPrefilled: boolean): AnnouncedWork => ({
  replica: reader.uint48(),
  ...readAmounts(reader),
  prefilledTokens: includesPrefilled ? reader.varint() : 0,
});

const readTarget = (reader: ByteReader): AnnouncedTarget => ({
  model: reader.shortText(),
  version: reader.varint(),
  age: reader.varint(),
});

/** The fields are evaluated in source order, which must be the order of the bytes. */
const readMessage = (reader: ByteReader): RouterMessage => {
  const flagBits = reader.uint8();
  const isSet = (flag: number): boolean => (flagBits & flag) !== 0;
  return {
    name: reader.shortText(),
    incarnation: reader.shortText(),
    dataCentre: reader.shortText(),
    sentAt: reader.float64(),
    echo: isSet(flags.echo) ? reader.float64() : undefined,
    configuration: isSet(flags.configuration)
      ? { version: reader.varint(), age: reader.varint() }
      : undefined,
    work: reader.list(() => readWork(reader, isSet(flags.prefilled))),
    weights: reader.list(() => ({
      replica: reader.uint48(),
      model: reader.shortText(),
      version: reader.varint(),
    })),
    changingReplicas: reader.list(() => ({ replica: reader.uint48(), remaining: reader.varint() })),
    leaving: reader.list(reader.uint48),
    holders: readHolders(reader),
    weightsTargets: reader.list(() => readTarget(reader)),
    reportedLimits: reader.list(() => ({
      replica: reader.uint48(),
      reportedLimit: readReportedLimit(reader),
    })),
    quarantineDigest: reader.varint(),
    storeEpoch: reader.varint(),
    recoveryRemaining: reader.varint(),
    hasSteppedDown: isSet(flags.hasSteppedDown),
    isPartitioned: isSet(flags.isPartitioned),
    isShuttingDown: isSet(flags.isShuttingDown),
  };
};

/** @returns The decoded message, or `undefined` if the datagram is not a router message. */
export const decodeRouterMessage = (datagram: Buffer): RouterMessage | undefined => {
  const reader = createByteReader(datagram);
  try {
    if (reader.uint8() !== messageType) return undefined;
    const message = readMessage(reader);
    return reader.isAtEnd() ? message : undefined;
  } catch (error) {
    // Truncated, or not from a router: dropped without a reply, since the next message follows soon.
    if (error instanceof RangeError) return undefined;
    throw error;
  }
};
