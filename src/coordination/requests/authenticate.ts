/** Who is calling, from the API key. */
import { createHash } from "node:crypto";
import type { OrganisationConfiguration } from "../../protocol/configuration/schema.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import { refusals } from "./refusals.ts";

const bearer = /^Bearer +(\S+)$/i;

/** @returns The key that an `Authorization` header carries, if any. */
export const bearerKey = (authorization: string | undefined): string | undefined =>
  bearer.exec(authorization ?? "")?.[1];

/**
 * Finds the organisation that a key belongs to. Only digests are compared, so that neither the file nor a
 * dump holds a key.
 *
 * @param authorization - The `Authorization` header.
 * @returns The organisation; throws `RequestError` (401).
 */
export const authenticate = (
  index: ConfigurationIndex,
  authorization: string | undefined,
): OrganisationConfiguration => {
  const key = bearerKey(authorization);
  if (key === undefined) throw refusals.invalidKey();
  const digest = createHash("sha256").update(key).digest("hex");
  const organisation = index.organisationByKeyHash.get(digest);
  if (organisation === undefined) throw refusals.invalidKey();
  return organisation;
};
