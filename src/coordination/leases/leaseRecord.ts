/** Records of the log's stream of leases. */
import { z } from "zod";

const offset = z.number().int().min(0);
const common = {
  lease: z.string().min(1).max(200),
  /** A process, not a VM: a restarted router is another holder. */
  holder: z.string().min(1).max(200),
  /** Tells this append from every other. */
  id: z.string().min(1).max(100),
  /** The writer had read every record of the stream below this offset. */
  readTo: offset,
  /** Of the store, in which the writer had read; left out by stores without epochs. */
  epoch: z.number().int().min(0).optional(),
};
const tenure = {
  /** How long the tenure goes on from this record, milliseconds. */
  duration: z.number().int().min(1),
  /** What the next holder has to know of this one's unfinished work. */
  note: z.array(z.string().min(1).max(200)).max(64).readonly(),
};

const leaseRecordSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("grant"), ...common, ...tenure }),
  z.strictObject({ kind: z.literal("renewal"), ...common, ...tenure, grant: offset }),
  z.strictObject({ kind: z.literal("release"), ...common, grant: offset }),
]);

/** A holder's tenure begins, goes on, or ends early. */
export type LeaseRecord = Readonly<z.output<typeof leaseRecordSchema>>;

/** Writes a record for the log. */
export const encodeLeaseRecord = (record: LeaseRecord): string => JSON.stringify(record);

/**
 * Reads a record from the log.
 *
 * @returns Nothing if the data is no such record.
 */
export const decodeLeaseRecord = (data: string): LeaseRecord | undefined => {
  try {
    return leaseRecordSchema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
};
