/** The headers that two routers exchange about a request that one passes on to the other. */

/** Names in lower case. */
const names = {
  /** On requests: the process that the request is meant for. On answers: the process that gives it. */
  router: "pomelocleat-relay-router",
  /** On requests: the name of the router that passes the request on. */
  source: "pomelocleat-relay-source",
  /** On requests, and on answers of replicas: the replicas that the request was sent to. */
  sentTo: "pomelocleat-relay-sent-to",
} as const;

const nameSet: ReadonlySet<string> = new Set(Object.values(names));

/** What the headers of a request say. */
export interface RelayRequestHeaders {
  readonly router: string;
  readonly source: string;
  readonly sentTo: readonly string[];
}

/** What the headers of an answer say. */
export interface RelayAnswerHeaders {
  readonly router: string;
  /** `undefined` if the answer is no replica's. */
  readonly sentTo: readonly string[] | undefined;
}

const encodeIds = (ids: readonly string[]): string => ids.map(encodeURIComponent).join(",");

/** @returns The ids; `undefined` if they can't be decoded. */
const decodeIds = (text: string): readonly string[] | undefined => {
  try {
    return text === "" ? [] : text.split(",").map(decodeURIComponent);
  } catch {
    // The only error is a malformed escape: no router has written the text.
    return undefined;
  }
};

/** Encodes the headers of a request. @returns Alternating names and values. */
export const encodeRelayRequest = ({ router, source, sentTo }: RelayRequestHeaders): string[] => [
  names.router,
  router,
  names.source,
  encodeURIComponent(source),
  names.sentTo,
  encodeIds(sentTo),
];

/** Encodes the header of all answers of a router. @returns Alternating names and values. */
export const encodeRelayRouter = (router: string): string[] => [names.router, router];

/** Encodes the header of a replica's answer. @returns Alternating names and values. */
export const encodeRelaySentTo = (ids: readonly string[]): string[] => [names.sentTo, encodeIds(ids)];

/**
 * Takes the headers out of a request.
 *
 * @param raw - Alternating names and values. Headers of the same names that the caller sent come later, and stay.
 * @returns The headers, `undefined` if one of them is missing or malformed, and the rest.
 */
export const takeRelayRequest = (
  raw: readonly string[],
): { readonly relay: RelayRequestHeaders | undefined; readonly rest: readonly string[] } => {
  const taken = new Map<string, string>();
  const rest: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? "";
    const lowerName = name.toLowerCase();
    const value = raw[index + 1] ?? "";
    if (nameSet.has(lowerName) && !taken.has(lowerName)) taken.set(lowerName, value);
    else rest.push(name, value);
  }
  const router = taken.get(names.router);
  const [source] = decodeIds(taken.get(names.source) ?? "") ?? [];
  const sentTo = decodeIds(taken.get(names.sentTo) ?? "");
  if (router === undefined || source === undefined || sentTo === undefined) return { relay: undefined, rest };
  return { relay: { router, source, sentTo }, rest };
};

/**
 * Takes the headers out of an answer.
 *
 * @param fields - Values by name in lower case.
 * @returns The headers, `undefined` if no router has given the answer, and the rest.
 */
export const takeRelayAnswer = (
  fields: Readonly<Record<string, string | string[] | undefined>>,
): {
  readonly relay: RelayAnswerHeaders | undefined;
  readonly rest: Readonly<Record<string, string | string[] | undefined>>;
} => {
  const { [names.router]: router, [names.sentTo]: sentTo, ...rest } = fields;
  if (typeof router !== "string") return { relay: undefined, rest };
  return { relay: { router, sentTo: typeof sentTo === "string" ? decodeIds(sentTo) : undefined }, rest };
};
