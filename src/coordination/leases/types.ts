import type { LeaseRecord } from "./leaseRecord.ts";

/** The last valid record of a lease. */
export interface LeaseHead {
  readonly offset: number;
  readonly kind: LeaseRecord["kind"];
  /** The fencing number of the grant that began this holder's tenure; engines compare it. */
  readonly fencingNumber: number;
  readonly holder: string;
  /** The id of the holder's append. */
  readonly id: string;
  /** What the holder noted for the next one. */
  readonly note: readonly string[];
}

/** A lease as far as the log has been read. Times are milliseconds on this process's monotonic clock. */
export interface LeaseState {
  readonly head: LeaseHead | undefined;
  /** From this time on, every holder known from the log has stopped by its own clock. */
  readonly freeAt: number;
}

/** A tenure of a lease, for the code that acts under it. */
export interface Tenure {
  /** Made from the grant's epoch and offset; see `fenceOf`. */
  readonly fencingNumber: number;
  /** Whether the previous holder released the lease instead of losing it. */
  readonly followsRelease: boolean;
  /** Earlier holders had stopped by this time, milliseconds on this process's monotonic clock. */
  readonly beganAt: number;
  /** To be called immediately before each action under the lease. */
  readonly isValid: () => boolean;
  /** What this or the previous holder noted for the next one. */
  readonly note: () => readonly string[];
  /** Sets the note that the next renewal writes. */
  readonly setNote: (note: readonly string[]) => void;
  /** Writes a note at once. @returns True if it is in the log and the tenure is valid. */
  readonly saveNote: (note: readonly string[]) => Promise<boolean>;
}

/** A lease in the operator's dump. */
export interface LeaseView {
  readonly lease: string;
  readonly candidate: boolean;
  readonly held: boolean;
  readonly fencingNumber: number | null;
  /** The holder of the last grant or renewal that has been read, in force or not. */
  readonly lastHolder: string | null;
  /** Milliseconds until this router's tenure ends unless renewed. */
  readonly remaining: number | null;
}
