/**
 * Records of the platform's store inside datagrams: small ones, which a router that reads the store hands over to the
 * others of its data centre.
 */
import type { ByteReader } from "./byteReader.ts";
import type { ByteWriter } from "./byteWriter.ts";
import type { NetworkAddress } from "../networkAddress.ts";
import { parseNetworkAddress } from "../networkAddress.ts";
import { fitsMessage, isCount } from "../usableValues.ts";
import { StorePosition } from "../StorePosition.ts";
import type { StoreEpoch } from "../storeEpoch.ts";
import type { FeedRecord, OperatorRecord, ReplicaEntry } from "./types.ts";

/** Whether a record of the operator fits into a datagram: weights do, configurations don't. */
export const isSmallOperatorRecord = ({ key, value }: FeedRecord<OperatorRecord>): boolean =>
  fitsMessage(key) &&
  value?.kind === "weights" &&
  fitsMessage(value.target.model) &&
  isCount(value.target.version);

/** Whether the registration of a replica, or its removal, can be encoded. */
export const isSmallReplicaRecord = ({ key, value }: FeedRecord<ReplicaEntry>): boolean => {
  if (value === undefined) return fitsMessage(key);
  const { id, registeredAs, service, address, dataCentre, slots, bornAt = 0, weights } = value;
  return (
    [key, id, registeredAs, service, address, dataCentre, ...weights.keys()].every(fitsMessage) &&
    [slots, bornAt, ...weights.values()].every(isCount)
  );
};

const writePosition = (writer: ByteWriter, { position, key }: FeedRecord<unknown>): void => {
  writer.varint(position.offsetIn(position.epoch));
  writer.shortText(key);
};

const readPosition = (reader: ByteReader, epoch: StoreEpoch) => ({
  position: new StorePosition(epoch, reader.varint()),
  key: reader.shortText(),
});

/** Writes records for which {@link isSmallOperatorRecord} holds. */
export const writeOperatorRecords = (
  writer: ByteWriter,
  records: readonly FeedRecord<OperatorRecord>[],
): void =>
  writer.list(records, (record) => {
    writePosition(writer, record);
    if (record.value?.kind !== "weights") throw new RangeError(`the record of ${record.key} is too large`);
    writer.shortText(record.value.target.model);
    writer.varint(record.value.target.version);
  });

/** @param epoch - The epoch of all positions. */
export const readOperatorRecords = (reader: ByteReader, epoch: StoreEpoch): FeedRecord<OperatorRecord>[] =>
  reader.list(() => {
    const position = readPosition(reader, epoch);
    const target = { model: reader.shortText(), version: reader.varint() };
    return { ...position, value: { kind: "weights", target } };
  });

const writeEntry = (writer: ByteWriter, entry: ReplicaEntry): void => {
  writer.shortText(entry.id);
  writer.shortText(entry.registeredAs);
  writer.list(entry.bornAt === undefined ? [] : [entry.bornAt], writer.varint);
  writer.shortText(entry.service);
  writer.shortText(entry.address);
  writer.shortText(entry.dataCentre);
  writer.uint8(entry.isDraining ? 1 : 0);
  writer.varint(entry.slots);
  writer.list([...entry.weights], ([model, version]) => {
    writer.shortText(model);
    writer.varint(version);
  });
};

/** @throws `RangeError` for a text that is no address. */
const readAddress = (reader: ByteReader): NetworkAddress => {
  const text = reader.shortText();
  const address = parseNetworkAddress(text);
  if (address === undefined) throw new RangeError(`${text} is no network address`);
  return address;
};

const readEntry = (reader: ByteReader): ReplicaEntry => ({
  id: reader.shortText(),
  registeredAs: reader.shortText(),
  bornAt: reader.list(reader.varint).at(0),
  service: reader.shortText(),
  address: readAddress(reader),
  dataCentre: reader.shortText(),
  isDraining: reader.uint8() === 1,
  slots: reader.varint(),
  weights: new Map(reader.list(() => [reader.shortText(), reader.varint()] as const)),
});

/** Writes records for which {@link isSmallReplicaRecord} holds. */
export const writeReplicaRecords = (writer: ByteWriter, records: readonly FeedRecord<ReplicaEntry>[]): void =>
  writer.list(records, (record) => {
    writePosition(writer, record);
    writer.list(record.value === undefined ? [] : [record.value], (entry) => writeEntry(writer, entry));
  });

/** @param epoch - The epoch of all positions. */
export const readReplicaRecords = (reader: ByteReader, epoch: StoreEpoch): FeedRecord<ReplicaEntry>[] =>
  reader.list(() => ({
    ...readPosition(reader, epoch),
    value: reader.list(() => readEntry(reader)).at(0),
  }));
