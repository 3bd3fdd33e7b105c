import type { LeaseRecord } from "./leaseRecord.ts";

/** The last valid record of a lease. */
export interface LeaseHead {
  readonly offset: number;
  readonly kind: LeaseRecord["kind"];
  /** Offset of the grant that began this holder's tenure; engines compare it. */
  readonly fencingNumber: number;
  readonly holder: string;
  /** Which append of the holder's it was. */
  readonly id: string;
  /** What the holder left for the next one. */
  readonly note: readonly string[];
}

/** A lease as far as the log has been read. Times are milliseconds on this process's monotonic clock. */
export interface LeaseState {
  readonly head: LeaseHead | undefined;
  /** From then on every holder that has been read of has stopped by its own clock. */
  readonly freeAt: number;
}

/** A tenure of a lease, handed to whoever acts under it. */
export interface Tenure {
  /** Offset of the grant. */
  readonly fencingNumber: number;
  /** The last holder gave the lease back by itself. */
  readonly followsRelease: boolean;
  /** Earlier holders had stopped by then, milliseconds on this process's monotonic clock. */
  readonly beganAt: number;
  /** To be asked immediately before each act. */
  readonly isValid: () => boolean;
  /** What this or the last holder noted for the next one. */
  readonly note: () => readonly string[];
  /** Notes something with the next renewal. */
  readonly setNote: (note: readonly string[]) => void;
  /** Notes something at once. @returns True once it is in the log and the tenure is valid. */
  readonly saveNote: (note: readonly string[]) => Promise<boolean>;
}

/** A lease as an operator sees it. */
export interface LeaseView {
  readonly lease: string;
  readonly candidate: boolean;
  readonly held: boolean;
  readonly fencingNumber: number | null;
  /** The holder of the last grant or renewal that has been read, in force or not. */
  readonly lastHolder: string | null;
  /** Milliseconds until the own tenure ends unless renewed. */
  readonly remaining: number | null;
}
