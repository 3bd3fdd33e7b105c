/**
 * A configuration as named sections, one for each item of its lists: `organisations/levant-one`,
 * `models/records-assistant`, `limits`. Only sections that changed travel; a digest over all of them proves
 * that a reader holds exactly what the operator published. The order of items within a list means nothing.
 *
 * A section's body is kept as it was published, without defaults that a later release may add, so that all
 * releases agree on its hash.
 */
import { createHash } from "node:crypto";
import { listNames } from "./entries.ts";
import type { Configuration } from "./schema.ts";

/** Lower-case hex digits of a section's hash. */
const hashLength = 32;

/** The fields of a configuration that are a section by themselves. */
const singleSections = ["schema", "limits"] as const;

/** One section as it travels. */
export interface ConfigurationSection {
  readonly section: string;
  /** JSON. */
  readonly body: unknown;
}

/** One section as it is kept. */
export interface HashedSection extends ConfigurationSection {
  readonly hash: string;
}

/** Sections by name. */
export type SectionMap = ReadonlyMap<string, HashedSection>;

/** What turns one configuration into another. */
export interface SectionDifference {
  readonly put: readonly ConfigurationSection[];
  /** Names of sections that are gone. */
  readonly remove: readonly string[];
}

const sortedEntries = (value: object): readonly (readonly [string, unknown])[] =>
  Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([left], [right]) => (left < right ? -1 : 1));

/** Writes JSON in one form only: names sorted, no white space. */
export const canonicalJson = (value: unknown): string => {
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join(",")}]`;
  if (typeof value !== "object" || value === null) return JSON.stringify(value);
  const fields = sortedEntries(value).map(
    ([name, field]) => `${JSON.stringify(name)}:${canonicalJson(field)}`,
  );
  return `{${fields.join(",")}}`;
};

const sha256 = (text: string): string => createHash("sha256").update(text).digest("hex");

/** Adds a section's hash. */
export const hashSection = ({ section, body }: ConfigurationSection): HashedSection => ({
  section,
  body,
  hash: sha256(canonicalJson(body)).slice(0, hashLength),
});

const byName = (left: ConfigurationSection, right: ConfigurationSection): number =>
  left.section < right.section ? -1 : 1;

/** Splits a configuration into its sections. */
export const splitConfiguration = (configuration: Configuration): SectionMap => {
  const single = singleSections.map((section) => ({ section, body: configuration[section] }));
  const listed = listNames.flatMap((list) =>
    configuration[list].map((item) => ({ section: `${list}/${item.name}`, body: item })),
  );
  const sections = [...single, ...listed].sort(byName).map(hashSection);
  return new Map(sections.map((section) => [section.section, section]));
};

/**
 * Puts sections together to what a configuration file holds, lists sorted by name. Whether it is a valid
 * configuration is for `checkConfiguration` to say.
 */
export const joinSections = (sections: SectionMap): Readonly<Record<string, unknown>> => {
  const ordered = [...sections.values()].sort(byName);
  const lists = listNames.map((list) => {
    const items = ordered.filter(({ section }) => section.startsWith(`${list}/`)).map(({ body }) => body);
    return [list, items] as const;
  });
  const single = singleSections.map((name) => [name, sections.get(name)?.body] as const);
  return Object.fromEntries([...single, ...lists]);
};

/** Lists sections whose name is not the one that their body gives them. */
export const findMisnamedSections = (sections: readonly ConfigurationSection[]): readonly string[] =>
  sections
    .filter(({ section, body }) => {
      if (singleSections.some((name) => name === section)) return false;
      const list = listNames.find((name) => section.startsWith(`${name}/`));
      if (list === undefined || typeof body !== "object" || body === null || !("name" in body)) return true;
      return `${list}/${String(body.name)}` !== section;
    })
    .map(({ section }) => section);

/** The digest of a whole configuration: SHA-256 over its sections' names and hashes in order. */
export const digestSections = (sections: SectionMap): string => {
  const lines = [...sections.values()].sort(byName).map(({ section, hash }) => `${section} ${hash}\n`);
  return sha256(lines.join(""));
};

/** Finds what turns one configuration into another. */
export const diffSections = (before: SectionMap, after: SectionMap): SectionDifference => ({
  put: [...after.values()]
    .filter(({ section, hash }) => before.get(section)?.hash !== hash)
    .map(({ section, body }) => ({ section, body })),
  remove: [...before.keys()].filter((section) => !after.has(section)),
});

/** Carries out a difference. */
export const applyDifference = (before: SectionMap, { put, remove }: SectionDifference): SectionMap => {
  const after = new Map(before);
  for (const section of remove) after.delete(section);
  for (const section of put) after.set(section.section, hashSection(section));
  return after;
};
