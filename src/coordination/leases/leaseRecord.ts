/** Records of the log's leases stream. */
import { z } from "zod";

const offset = z.number().int().min(0);
const common = {
  lease: z.string().min(1).max(200),
  /** Identifies a process, not a VM: a restarted router is another holder. */
  holder: z.string().min(1).max(200),
  /** Unique for each append. */
  id: z.string().min(1).max(100),
  /** The writer had read every record of the stream below this offset. */
  readTo: offset,
  /** The store epoch in which the writer had read; absent if the store has no epochs. */
  epoch: z.number().int().min(0).optional(),
};
const tenure = {
  /** How long the tenure lasts from this record, milliseconds. */
  duration: z.number().int().min(1),
  /** What the next holder must know about this one's unfinished work. */
  note: z.array(z.string().min(1).max(200)).max(64).readonly(),
};

const leaseRecordSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("grant"), ...common, ...tenure }),
  z.strictObject({ kind: z.literal("renewal"), ...common, ...tenure, grant: offset }),
  z.strictObject({ kind: z.literal("release"), ...common, grant: offset }),
]);

/** Begins a holder's tenure (`grant`), prolongs it (`renewal`), or ends it early (`release`). */
export type LeaseRecord = Readonly<z.output<typeof leaseRecordSchema>>;

/** Encodes a record for the log. */
export const encodeLeaseRecord = (record: LeaseRecord): string => JSON.stringify(record);

/**
 * Decodes a record from the log.
 *
 * @returns `undefined` if the data is not a valid lease record.
 */
export const decodeLeaseRecord = (data: string): LeaseRecord | undefined => {
  try {
    return leaseRecordSchema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
};
