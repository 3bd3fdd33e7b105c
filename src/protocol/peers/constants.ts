/** Names and limits of the peer protocol. */

/** The header of a stream that names the session that `Join` opened. */
export const sessionHeader = "pomelocleat-session";

/** How far a question's time may be from the receiver's, milliseconds. */
export const clockTolerance = 60_000;

/** The longest accepted message, bytes; a whole configuration has to fit. */
export const maximumMessageBytes = 64 * 1024 * 1024;

/** Messages are compressed from this length on, bytes. */
export const compressionThresholdBytes = 4_096;
