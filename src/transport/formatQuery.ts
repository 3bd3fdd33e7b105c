/** @returns The fields as the query of a URL, in their order. */
export const formatQuery = (fields: Readonly<Record<string, string | number>>): string =>
  Object.entries(fields)
    .map(([name, value]) => `${name}=${encodeURIComponent(String(value))}`)
    .join("&");
