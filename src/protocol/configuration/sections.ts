/**
 * A configuration as named sections, one for each item of its lists and one for each single field, for example
 * `organisations/levant-one`, `models/records-assistant` and `limits`. Only changed sections are sent; a digest over
 * all sections proves that a reader has exactly what the operator published. The order of items in a list doesn't
 * matter.
 *
 * A section's body is kept as it was published, without defaults that a later release may add, so that all releases
 * compute the same hash.
 */
import { createHash } from "node:crypto";
import { listNames } from "./entries.ts";
import type { Configuration } from "./schema.ts";

/** Length of a section's hash, in lower-case hex digits. */
const hashLength = 32;

/** The fields of a configuration that are one section each. */
const singleSections = ["schema", "limits"] as const;

/** A section as it is sent. */
export interface ConfigurationSection {
  readonly section: string;
  /** A JSON value. */
  readonly body: unknown;
}

/** A section as it is stored, with its hash. */
export interface HashedSection extends ConfigurationSection {
  readonly hash: string;
}

/** Sections by name. */
export type SectionMap = ReadonlyMap<string, HashedSection>;

/** The difference between two configurations. */
export interface SectionDifference {
  readonly put: readonly ConfigurationSection[];
  /** Names of removed sections. */
  readonly remove: readonly string[];
}

const sortedEntries = (value: object): readonly (readonly [string, unknown])[] =>
  Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([left], [right]) => (left < right ? -1 : 1));

/** Serializes to canonical JSON: names sorted, no white space. */
export const canonicalJson = (value: unknown): string => {
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join(",")}]`;
  if (typeof value !== "object" || value === null) return JSON.stringify(value);
  const fields = sortedEntries(value).map(
    ([name, field]) => `${JSON.stringify(name)}:${canonicalJson(field)}`,
  );
  return `{${fields.join(",")}}`;
};

const sha256 = (text: string): string => createHash("sha256").update(text).digest("hex");

/** Computes a section's hash. */
export const hashSection = ({ section, body }: ConfigurationSection): HashedSection => ({
  section,
  body,
  hash: sha256(canonicalJson(body)).slice(0, hashLength),
});

const compareByName = (left: ConfigurationSection, right: ConfigurationSection): number =>
  left.section < right.section ? -1 : 1;

/** Splits a configuration into its sections. */
export const splitConfiguration = (configuration: Configuration): SectionMap => {
  const single = singleSections.map((section) => ({ section, body: configuration[section] }));
  const listed = listNames.flatMap((list) =>
    configuration[list].map((item) => ({ section: `${list}/${item.name}`, body: item })),
  );
  const sections = [...single, ...listed].sort(compareByName).map(hashSection);
  return new Map(sections.map((section) => [section.section, section]));
};

/**
 * Assembles sections into the contents of a configuration file, with lists sorted by name. The result is not validated;
 * `checkConfiguration` does that.
 */
export const joinSections = (sections: SectionMap): Readonly<Record<string, unknown>> => {
  const ordered = [...sections.values()].sort(compareByName);
  const lists = listNames.map((list) => {
    const items = ordered.filter(({ section }) => section.startsWith(`${list}/`)).map(({ body }) => body);
    return [list, items] as const;
  });
  const single = singleSections.map((name) => [name, sections.get(name)?.body] as const);
  return Object.fromEntries([...single, ...lists]);
};

/** Lists sections whose name does not match their body. */
export const findMisnamedSections = (sections: readonly ConfigurationSection[]): readonly string[] =>
  sections
    .filter(({ section, body }) => {
      if (singleSections.some((name) => name === section)) return false;
      const list = listNames.find((name) => section.startsWith(`${name}/`));
      if (list === undefined || typeof body !== "object" || body === null || !("name" in body)) return true;
      return `${list}/${String(body.name)}` !== section;
    })
    .map(({ section }) => section);

/** Computes the digest of a whole configuration: SHA-256 of its sections' names and hashes, ordered by name. */
export const digestSections = (sections: SectionMap): string => {
  const lines = [...sections.values()].sort(compareByName).map(({ section, hash }) => `${section} ${hash}\n`);
  return sha256(lines.join(""));
};

/** Computes the difference that turns one configuration into another. */
export const diffSections = (before: SectionMap, after: SectionMap): SectionDifference => ({
  put: [...after.values()]
    .filter(({ section, hash }) => before.get(section)?.hash !== hash)
    .map(({ section, body }) => ({ section, body })),
  remove: [...before.keys()].filter((section) => !after.has(section)),
});

/** Applies a difference. */
export const applyDifference = (before: SectionMap, { put, remove }: SectionDifference): SectionMap => {
  const after = new Map(before);
  for (const section of remove) after.delete(section);
  for (const section of put) after.set(section.section, hashSection(section));
  return after;
};
