/**
 * Records of the log's configuration stream.
 *
 * An operator publishes a complete file, but at the target size whole files are too large to be sent for each change.
 * A publication therefore contains the difference from the version that its publisher saw in force, and the digest of
 * the complete result. Old records expire with the log's retention; before they do, a republication (kind
 * `restatement`) appends the whole configuration again under its old version.
 */
import { z } from "zod";
import type { Configuration } from "./schema.ts";
import { diffSections, digestSections, splitConfiguration } from "./sections.ts";
import type { ConfigurationSection, SectionDifference, SectionMap } from "./sections.ts";

const offset = z.number().int().min(0);
const digest = z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in lower-case hex");
const publisher = {
  publishedBy: z.string().min(1).max(200),
  publishedAt: z.number().int().min(0).describe("Milliseconds since 1970 on the publisher's clock"),
};
const section = z.strictObject({
  section: z.string().min(1).max(100),
  body: z.unknown().refine((body) => body !== undefined, "is missing"),
});

const uniqueNames = (names: readonly string[]): boolean => new Set(names).size === names.length;

const publicationSchema = z
  .strictObject({
    kind: z.literal("publication"),
    base: offset.nullable().describe("The version that the publisher saw in force; null if there was none"),
    ...publisher,
    digest,
    put: z.array(section),
    remove: z.array(z.string().min(1).max(100)),
  })
  .refine(({ put, remove }) => uniqueNames([...put.map((item) => item.section), ...remove]), {
    error: "a section is given twice",
  });

const replacementSchema = z
  .strictObject({
    kind: z.literal("replacement"),
    ...publisher,
    digest,
    put: z.array(section).describe("All sections"),
  })
  .refine(({ put }) => uniqueNames(put.map((item) => item.section)), { error: "a section is given twice" });

const republicationSchema = z
  .strictObject({
    kind: z.literal("restatement"),
    version: offset.describe("The version in force after every record before `readTo`"),
    readTo: offset.describe("The writer had read every record of the stream below this offset"),
    ...publisher,
    digest,
    put: z.array(section).describe("All sections"),
  })
  .refine(({ put }) => uniqueNames(put.map((item) => item.section)), { error: "a section is given twice" });

const recordSchema = z.discriminatedUnion("kind", [
  publicationSchema,
  replacementSchema,
  republicationSchema,
]);

/** Who published a version, and when. */
export interface Publisher {
  readonly publishedBy: string;
  /** Milliseconds since 1970 on the publisher's clock. */
  readonly publishedAt: number;
}

/** A difference from the version `base`; void unless that version is in force at the record's offset. */
export interface Publication extends Publisher, SectionDifference {
  readonly kind: "publication";
  readonly base: number | null;
  readonly digest: string;
}

/**
 * A whole configuration without a precondition, which supersedes any version in force. Operators use it when the log
 * no longer contains any complete version.
 */
export interface Replacement extends Publisher {
  readonly kind: "replacement";
  readonly digest: string;
  readonly put: readonly ConfigurationSection[];
}

/** The whole version in force, appended again before its records expire. */
export interface Republication extends Publisher {
  readonly kind: "restatement";
  readonly version: number;
  /** The writer had read every record of the stream below this offset. */
  readonly readTo: number;
  readonly digest: string;
  readonly put: readonly ConfigurationSection[];
}

/** A record of the configuration stream. */
export type ConfigurationRecord = Publication | Replacement | Republication;

/** The version that a publication is based on. */
export interface PublicationBase {
  readonly version: number;
  readonly sections: SectionMap;
}

/**
 * Creates the record that publishes a configuration.
 *
 * @param base - The version that the publisher sees in force; `undefined` if there is none yet.
 */
export const createPublication = (
  configuration: Configuration,
  base: PublicationBase | undefined,
  publisher: Publisher,
): Publication => {
  const sections = splitConfiguration(configuration);
  return {
    kind: "publication",
    base: base?.version ?? null,
    ...publisher,
    digest: digestSections(sections),
    ...diffSections(base?.sections ?? new Map(), sections),
  };
};

/** Creates the record that replaces any version in force. */
export const createReplacement = (configuration: Configuration, publisher: Publisher): Replacement => {
  const sections = splitConfiguration(configuration);
  const { put } = diffSections(new Map(), sections);
  return { kind: "replacement", ...publisher, digest: digestSections(sections), put };
};

/** Encodes a record for the log. */
export const encodeConfigurationRecord = (record: ConfigurationRecord): string => JSON.stringify(record);

/**
 * Decodes a record from the log.
 *
 * @returns `undefined` if the data is not a valid configuration record.
 */
export const decodeConfigurationRecord = (data: string): ConfigurationRecord | undefined => {
  try {
    return recordSchema.parse(JSON.parse(data));
  } catch {
    return undefined;
  }
};
