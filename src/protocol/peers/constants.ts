/** Names and limits of the peer protocol. */

/** The header of a stream request with the id of the session that `Join` opened. */
export const sessionHeader = "pomelocleat-session";

/** Largest accepted difference between a question's timestamp and the receiver's clock, milliseconds. */
export const clockTolerance = 60_000;

/** Largest accepted message, bytes; a whole configuration has to fit. */
export const maximumMessageBytes = 64 * 1024 * 1024;

/** Messages of at least this size are compressed, bytes. */
export const compressionThresholdBytes = 4_096;
