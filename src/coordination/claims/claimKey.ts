/** Parses idempotency keys: their issue time, and the partition that they belong to. */
import { createHash } from "node:crypto";
import { logStreams } from "../../protocol/constants.ts";
import { hash64 } from "../../protocol/prefixLevels.ts";
import type { RequestContext } from "../../protocol/types.ts";
import { maxClockSkew, partitionCount } from "./constants.ts";
import { claimFailures } from "./errors.ts";
import type { ClaimKey } from "./types.ts";

const uuidVersion7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const ulid = /^([0-7][0-9a-hjkmnp-tv-z]{9})[0-9a-hjkmnp-tv-z]{16}$/i;
const millisecondsAndRandom = /^(\d{13})-\S{4,}$/;
const crockfordDigits = "0123456789abcdefghjkmnpqrstvwxyz";
const digestLength = 22;

const readCrockford = (text: string): number =>
  Array.from(text.toLowerCase()).reduce((value, digit) => value * 32 + crockfordDigits.indexOf(digit), 0);

/**
 * Reads the issue time contained in a key.
 *
 * @returns Milliseconds since 1970; undefined for a key without an issue time.
 */
export const readIssueTime = (key: string): number | undefined => {
  const uuid = uuidVersion7.exec(key);
  if (uuid !== null) return Number.parseInt(`${uuid[1] ?? ""}${uuid[2] ?? ""}`, 16);
  const ulidTime = ulid.exec(key)?.[1];
  if (ulidTime !== undefined) return readCrockford(ulidTime);
  const milliseconds = millisecondsAndRandom.exec(key)?.[1];
  return milliseconds === undefined ? undefined : Number(milliseconds);
};

/** @returns The parsed key of a request; throws `RequestError` (400) for a key without an issue time. */
export const readClaimKey = ({ organisation, idempotencyKey = "" }: RequestContext): ClaimKey => {
  const issuedAt = readIssueTime(idempotencyKey);
  if (issuedAt === undefined) throw claimFailures.keyWithoutTime();
  const scoped = `${organisation.name}\u0000${idempotencyKey}`;
  const digest = createHash("sha256").update(scoped).digest("base64url").slice(0, digestLength);
  return { digest, issuedAt, stream: `${logStreams.claimsPrefix}${hash64(digest) % BigInt(partitionCount)}` };
};

/**
 * Throws `RequestError` for keys whose records the log may not hold: issued in the future, or too long ago.
 *
 * @param now - Milliseconds since 1970.
 * @param retention - How long claims are kept, in milliseconds.
 */
export const checkKeyAge = ({ issuedAt }: ClaimKey, now: number, retention: number): void => {
  if (issuedAt > now + maxClockSkew) throw claimFailures.keyFromFuture();
  if (issuedAt < now - retention) throw claimFailures.keyTooOld();
};
