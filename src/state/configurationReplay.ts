/**
 * Decides the outcomes of the configuration stream's records in order. Of the publications based on the version in
 * force, the first valid one by offset is applied; the others are void. A valid replacement is always applied. A
 * version is the offset of its publication or replacement, so versions only increase.
 */
import { checkConfiguration } from "../protocol/configuration/check.ts";
import { decodeConfigurationRecord } from "../protocol/configuration/record.ts";
import type {
  ConfigurationRecord,
  Publication,
  Publisher,
  Republication,
} from "../protocol/configuration/record.ts";
import type { Configuration, ModelConfiguration } from "../protocol/configuration/schema.ts";
import { createFormerModels } from "./formerModels.ts";
import {
  applyDifference,
  diffSections,
  digestSections,
  findMisnamedSections,
  joinSections,
} from "../protocol/configuration/sections.ts";
import type { SectionDifference, SectionMap } from "../protocol/configuration/sections.ts";
import type { LogRecord } from "../protocol/types.ts";
import type { ConfigurationOutcome, VoidReason } from "./configurationOutcome.ts";
import { createSectionChanges } from "./sectionChanges.ts";
import type { SectionChanges } from "./sectionChanges.ts";

/** Records whose outcome is kept. */
const maximumEntries = 200;

/** A version, its digest and its publisher. */
export interface VersionIdentity extends Publisher {
  /** Offset of the publication or replacement. */
  readonly version: number;
  readonly digest: string;
}

/** The configuration in force. */
export interface ConfigurationInForce extends VersionIdentity {
  readonly configuration: Configuration;
  readonly sections: SectionMap;
}

/** A log record that contains a complete configuration: a new reader can start from it. */
export interface WholeRecord {
  readonly offset: number;
  /** Milliseconds since 1970 on the log service's clock. */
  readonly appendedAt: number;
}

/** A record and its outcome. */
export interface HistoryEntry extends Publisher {
  readonly offset: number;
  /** Milliseconds since 1970 on the log service's clock. */
  readonly appendedAt: number;
  readonly kind: ConfigurationRecord["kind"] | "unreadable";
  readonly base: number | null;
  /** Names of the sections that it adds or replaces. */
  readonly put: readonly string[];
  readonly remove: readonly string[];
  readonly fate: ConfigurationOutcome;
}

/** The state after the records decided so far. */
export interface ConfigurationReplay {
  current(): ConfigurationInForce | undefined;
  entries(): readonly HistoryEntry[];
  wholeRecord(): WholeRecord | undefined;
  readonly changes: SectionChanges;
  /** @returns A model's entries in earlier versions, the latest first. */
  formerModels(name: string): readonly ModelConfiguration[];
  /** Decides the outcome of a record and applies it. Every record before it must have been decided. */
  decide(record: LogRecord): ConfigurationOutcome;
  /**
   * Puts the state of a peer or of a republication in force, unless it is no newer.
   *
   * @returns The reason if it is refused.
   */
  adoptState(identity: VersionIdentity, sections: SectionMap, whole?: WholeRecord): VoidReason | undefined;
}

type BuildResult =
  | { readonly valid: true; readonly configuration: Configuration }
  | { readonly valid: false; readonly reason: VoidReason };

const emptySections: SectionMap = new Map();

/** Builds a configuration from its sections. Checks their digest, their names and the configuration's validity. */
export const buildConfiguration = (sections: SectionMap, expected: string): BuildResult => {
  const found = digestSections(sections);
  if (found !== expected) return { valid: false, reason: { kind: "digest_mismatch", expected, found } };
  const misnamed = findMisnamedSections([...sections.values()]);
  if (misnamed.length > 0) {
    const problems = misnamed.map((path) => ({ path, cause: "the section is not named after its body" }));
    return { valid: false, reason: { kind: "invalid", problems } };
  }
  const check = checkConfiguration(joinSections(sections));
  if (check.accepted) return { valid: true, configuration: check.configuration };
  return { valid: false, reason: { kind: "invalid", problems: check.problems } };
};

const describeRecord = (
  { offset, appendedAt }: LogRecord,
  decoded: ConfigurationRecord | undefined,
  outcome: ConfigurationOutcome,
): HistoryEntry => ({
  offset,
  appendedAt,
  kind: decoded?.kind ?? "unreadable",
  base: decoded?.kind === "publication" ? decoded.base : null,
  publishedBy: decoded?.publishedBy ?? "",
  publishedAt: decoded?.publishedAt ?? 0,
  put: decoded?.put.map(({ section }) => section) ?? [],
  remove: decoded?.kind === "publication" ? decoded.remove : [],
  fate: outcome,
});

const isCompleteConfiguration = (record: ConfigurationRecord, outcome: ConfigurationOutcome): boolean =>
  outcome.kind !== "void" && (record.kind !== "publication" || record.base === null);

/** Creates a replay without any records. */
export const createConfigurationReplay = (): ConfigurationReplay => {
  const changes = createSectionChanges();
  const formerModels = createFormerModels();
  const entries: HistoryEntry[] = [];
  /** By version: the version that replaced it. */
  const successorVersions = new Map<number | null, number>();
  let inForce: ConfigurationInForce | undefined;
  let wholeRecord: WholeRecord | undefined;

  const noteSuccessor = (version: number): void => {
    successorVersions.set(inForce?.version ?? null, version);
    const [oldest] = successorVersions.keys();
    if (oldest !== undefined && successorVersions.size > maximumEntries) successorVersions.delete(oldest);
  };

  /** Puts the configuration that a record leads to in force as a new version. */
  const publish = (
    version: number,
    { digest, publishedBy, publishedAt }: Publisher & { readonly digest: string },
    base: SectionMap,
    difference: SectionDifference,
  ): ConfigurationOutcome => {
    const sections = applyDifference(base, difference);
    const built = buildConfiguration(sections, digest);
    if (!built.valid) return { kind: "void", offset: version, reason: built.reason };
    noteSuccessor(version);
    if (inForce === undefined) changes.restart(version);
    formerModels.note(inForce?.configuration, built.configuration);
    changes.note(version, diffSections(inForce?.sections ?? emptySections, sections));
    inForce = { version, digest, publishedBy, publishedAt, sections, configuration: built.configuration };
    return { kind: "applied", offset: version, version };
  };

  const decidePublication = (offset: number, record: Publication): ConfigurationOutcome => {
    const { base } = record;
    if (base === (inForce?.version ?? null)) {
      return publish(offset, record, inForce?.sections ?? emptySections, record);
    }
    if (inForce === undefined || (base !== null && base > inForce.version)) {
      return { kind: "void", offset, reason: { kind: "unknown_base", base: base ?? 0 } };
    }
    const beatenBy = successorVersions.get(base) ?? inForce.version;
    return { kind: "void", offset, reason: { kind: "stale_base", base, beatenBy } };
  };

  const decideRepublication = (
    offset: number,
    { version, digest, readTo }: Republication,
  ): ConfigurationOutcome => {
    const inOrder = version < readTo && readTo <= offset;
    const same = inOrder && version === inForce?.version && digest === inForce.digest;
    if (same) return { kind: "restated", offset, version };
    const reason = { kind: "older_restatement", version, inForce: inForce?.version } as const;
    return { kind: "void", offset, reason };
  };

  const decideRecord = (offset: number, record: ConfigurationRecord): ConfigurationOutcome => {
    if (record.kind === "publication") return decidePublication(offset, record);
    if (record.kind === "restatement") return decideRepublication(offset, record);
    return publish(offset, record, emptySections, { put: record.put, remove: [] });
  };

  const decode = (record: LogRecord): [ConfigurationRecord | undefined, ConfigurationOutcome] => {
    const decoded = decodeConfigurationRecord(record.data);
    if (decoded !== undefined) return [decoded, decideRecord(record.offset, decoded)];
    return [undefined, { kind: "void", offset: record.offset, reason: { kind: "unreadable" } }];
  };

  return {
    current: () => inForce,
    entries: () => [...entries],
    wholeRecord: () => wholeRecord,
    changes,
    formerModels: formerModels.of,
    decide: (record) => {
      const [decoded, outcome] = decode(record);
      const { offset, appendedAt } = record;
      if (decoded !== undefined && isCompleteConfiguration(decoded, outcome))
        wholeRecord = { offset, appendedAt };
      entries.push(describeRecord(record, decoded, outcome));
      if (entries.length > maximumEntries) entries.shift();
      return outcome;
    },
    adoptState: ({ version, digest, publishedBy, publishedAt }, sections, whole) => {
      if (whole !== undefined && whole.offset > (wholeRecord?.offset ?? -1)) wholeRecord = whole;
      if (version === inForce?.version && digest === inForce.digest) return undefined;
      if (inForce !== undefined && version <= inForce.version) {
        return { kind: "older_restatement", version, inForce: inForce.version };
      }
      const built = buildConfiguration(sections, digest);
      if (!built.valid) return built.reason;
      formerModels.note(inForce?.configuration, built.configuration);
      inForce = { version, digest, publishedBy, publishedAt, sections, configuration: built.configuration };
      return undefined;
    },
  };
};
