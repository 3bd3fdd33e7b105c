/** Helpers for raw header lists: alternating names and values, in order of arrival. */

/** Headers that apply to one connection only. */
const hopByHop = [
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
] as const;

const hopByHopNames: ReadonlySet<string> = new Set(hopByHop);

/**
 * @param connection - The value of the `Connection` header, which may list further headers.
 * @returns The names, in lower case, of the headers that must not be forwarded.
 */
export const connectionHeaders = (connection: string | undefined): ReadonlySet<string> => {
  if (connection === undefined) return hopByHopNames;
  const listed = connection.split(",").map((name) => name.trim().toLowerCase());
  return new Set([...hopByHopNames, ...listed]);
};

/** @returns The first value of each header, by name in lower case. */
export const readableHeaders = (raw: readonly string[]): ReadonlyMap<string, string> => {
  const fields = new Map<string, string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = (raw[index] ?? "").toLowerCase();
    if (!fields.has(name)) fields.set(name, raw[index + 1] ?? "");
  }
  return fields;
};
