/** Works out organisation, class, deadlines and repeatability of a request from headers and configuration. */
import { randomUUID } from "node:crypto";
import type { ClassConfiguration, OrganisationConfiguration } from "../../protocol/configuration/schema.ts";
import { headers } from "../../protocol/constants.ts";
import type { CallerHeaders } from "../../protocol/FrontEnd.ts";
import type { RequestContext } from "../../protocol/types.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import { refusals } from "./refusals.ts";

/** What the route says where the caller says nothing. */
export interface RouteDefaults {
  readonly className: string;
  readonly idempotent: boolean;
}

const longestKey = 200;

const chooseClass = (
  index: ConfigurationIndex,
  organisation: OrganisationConfiguration,
  asked: string | undefined,
  fallback: string,
): ClassConfiguration => {
  const found = index.classes.get(asked ?? fallback);
  if (found?.deployment !== organisation.deployment) throw refusals.unknownClass(asked ?? fallback);
  return found;
};

const readIdempotent = (header: string | undefined, fallback: boolean): boolean => {
  if (header === undefined) return fallback;
  if (header === "false") return false;
  // A caller can't lift the mark that the configuration puts on a route.
  if (header === "true") return fallback;
  throw refusals.invalidHeader(headers.idempotent, "true or false");
};

/**
 * Makes the context of one request.
 *
 * @param arrivedAt - Milliseconds on the monotonic clock.
 * @returns The context; throws `RequestError` for headers that make no sense.
 */
export const createRequestContext = (
  index: ConfigurationIndex,
  organisation: OrganisationConfiguration,
  asked: CallerHeaders,
  defaults: RouteDefaults,
  arrivedAt: number,
): RequestContext => {
  const requestClass = chooseClass(index, organisation, asked.requestClass, defaults.className);
  const idempotent = readIdempotent(asked.idempotent, defaults.idempotent);
  const { idempotencyKey } = asked;
  if (!idempotent && idempotencyKey === undefined) throw refusals.missingIdempotencyKey();
  if (idempotencyKey !== undefined && (idempotencyKey === "" || idempotencyKey.length > longestKey)) {
    throw refusals.invalidHeader(headers.idempotencyKey, `1 to ${longestKey} characters`);
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
