/** Derives a request's class, deadlines and idempotency from its headers and the configuration. */
import { randomUUID } from "node:crypto";
import type { ClassConfiguration, OrganisationConfiguration } from "../../protocol/configuration/schema.ts";
import { headers } from "../../protocol/constants.ts";
import type { CallerHeaders } from "../../protocol/FrontEnd.ts";
import type { RequestContext } from "../../protocol/types.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import { refusals } from "./refusals.ts";

/** The values that the configuration of the route gives for headers that the caller omits. */
export interface RouteDefaults {
  readonly className: string;
  readonly idempotent: boolean;
}

const maxIdempotencyKeyLength = 200;

const resolveClass = (
  index: ConfigurationIndex,
  organisation: OrganisationConfiguration,
  requestedClass: string | undefined,
  fallback: string,
): ClassConfiguration => {
  const found = index.classes.get(requestedClass ?? fallback);
  if (found?.deployment !== organisation.deployment) throw refusals.unknownClass(requestedClass ?? fallback);
  return found;
};

const parseIdempotent = (header: string | undefined, fallback: boolean): boolean => {
  if (header === undefined) return fallback;
  if (header === "false") return false;
  // A caller can't declare a route idempotent that the configuration marks as non-idempotent.
  if (header === "true") return fallback;
  throw refusals.invalidHeader(headers.idempotent, "true or false");
};

/**
 * Creates the context of a request.
 *
 * @param arrivedAt - Milliseconds on the monotonic clock.
 * @returns The context; throws `RequestError` for missing or invalid headers.
 */
export const createRequestContext = (
  index: ConfigurationIndex,
  organisation: OrganisationConfiguration,
  callerHeaders: CallerHeaders,
  defaults: RouteDefaults,
  arrivedAt: number,
): RequestContext => {
  const requestClass = resolveClass(index, organisation, callerHeaders.requestClass, defaults.className);
  const idempotent = parseIdempotent(callerHeaders.idempotent, defaults.idempotent);
  const { idempotencyKey } = callerHeaders;
  if (!idempotent && idempotencyKey === undefined) throw refusals.missingIdempotencyKey();
  if (
    idempotencyKey !== undefined &&
    (idempotencyKey === "" || idempotencyKey.length > maxIdempotencyKeyLength)
  ) {
    throw refusals.invalidHeader(headers.idempotencyKey, `1 to ${maxIdempotencyKeyLength} characters`);
  }
  return {
    requestId: randomUUID(),
    organisation,
    requestClass,
    idempotent,
    idempotencyKey,
    arrivedAt,
    firstTokenDeadline: arrivedAt + requestClass.firstTokenDeadline,
    completionDeadline: arrivedAt + requestClass.completionDeadline,
    configurationVersion: index.version,
  };
};
