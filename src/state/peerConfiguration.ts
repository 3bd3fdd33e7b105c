/** Encoding of the configuration state that routers exchange. */
import { z } from "zod";
import type { ConfigurationChanges, ConfigurationSnapshot } from "./configurationHistory.ts";

const offset = z.number().int().min(0);
const section = z.object({ section: z.string().min(1), body: z.unknown() });

const common = {
  version: offset,
  digest: z.string(),
  publishedBy: z.string(),
  publishedAt: z.number(),
  knownTo: offset,
  wholeRecord: z.object({ offset, appendedAt: z.number() }).optional(),
};

const stateSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("snapshot"), ...common, sections: z.array(section) }),
  z.object({
    kind: z.literal("changes"),
    ...common,
    base: offset,
    put: z.array(section),
    remove: z.array(z.string()),
  }),
]);

/** The configuration state that one peer sends to another. */
export type ConfigurationState = ConfigurationSnapshot | ConfigurationChanges;

/** @returns The state as JSON; an empty text for `undefined`. */
export const encodeConfigurationState = (state: ConfigurationState | undefined): string =>
  state === undefined ? "" : JSON.stringify(state);

const parseJson = (json: string): unknown => {
  try {
    return JSON.parse(json);
  } catch {
    return undefined;
  }
};

/** @returns `undefined` if the text is empty or malformed. The digest and the configuration are not checked. */
export const decodeConfigurationState = (json: string): ConfigurationState | undefined => {
  if (json === "") return undefined;
  const result = stateSchema.safeParse(parseJson(json));
  if (!result.success) return undefined;
  const { wholeRecord, ...state } = result.data;
  return { ...state, wholeRecord };
};
