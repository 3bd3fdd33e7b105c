/** Raw header lists: names and values in turn, as they came. */

/** Headers that concern one connection only. */
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

const always: ReadonlySet<string> = new Set(hopByHop);

/**
 * @param connection - The value of the header `Connection`, which may name further ones.
 * @returns The names, in lower case, of headers that must not be passed on.
 */
export const connectionHeaders = (connection: string | undefined): ReadonlySet<string> => {
  if (connection === undefined) return always;
  const named = connection.split(",").map((name) => name.trim().toLowerCase());
  return new Set([...always, ...named]);
};

/** @returns The first value of each header, by its name in lower case. */
export const readableHeaders = (raw: readonly string[]): ReadonlyMap<string, string> => {
  const fields = new Map<string, string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = (raw[index] ?? "").toLowerCase();
    if (!fields.has(name)) fields.set(name, raw[index + 1] ?? "");
  }
  return fields;
};
