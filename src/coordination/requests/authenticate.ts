/** Identifies the calling organisation by its API key. */
import { createHash } from "node:crypto";
import type { OrganisationConfiguration } from "../../protocol/configuration/schema.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import { refusals } from "./refusals.ts";

const bearer = /^Bearer +(\S+)$/i;

/** @returns The bearer token of an `Authorization` header; `undefined` if it has none. */
export const bearerKey = (authorization: string | undefined): string | undefined =>
  bearer.exec(authorization ?? "")?.[1];

/**
 * Finds the organisation that an API key belongs to. Keys are compared by their digests only, so that neither the
 * configuration file nor a state dump contains a key.
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
