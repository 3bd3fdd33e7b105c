/** The state of a configuration as it travels between peers. */
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

/** What one peer tells another of its configuration. */
export type ConfigurationState = ConfigurationSnapshot | ConfigurationChanges;

/** Writes a state; empty where there is none. */
export const encodeConfigurationState = (state: ConfigurationState | undefined): string =>
  state === undefined ? "" : JSON.stringify(state);

const parseJson = (json: string): unknown => {
  try {
    return JSON.parse(json);
  } catch {
    return undefined;
  }
};

/** @returns Nothing if the text is empty or no such state; whether it is valid is for the history to say. */
export const decodeConfigurationState = (json: string): ConfigurationState | undefined => {
  if (json === "") return undefined;
  const result = stateSchema.safeParse(parseJson(json));
  if (!result.success) return undefined;
  const { wholeRecord, ...state } = result.data;
  return { ...state, wholeRecord };
};
