/**
 * Reads the log's configuration stream. Every reader comes to the same result, whatever the order and
 * repetition of its polls, and never goes back to an earlier version.
 *
 * Where records expired before they were read, a reader cannot tell the fate of those that follow. It keeps
 * what it has in force, and holds the following records until a restatement or a peer tells the state at a
 * point from which on it has read everything.
 */
import { decodeConfigurationRecord } from "../protocol/configuration/record.ts";
import type { ConfigurationRecord, Republication } from "../protocol/configuration/record.ts";
import { applyDifference } from "../protocol/configuration/sections.ts";
import type {
  ConfigurationSection,
  SectionDifference,
  SectionMap,
} from "../protocol/configuration/sections.ts";
import type { ModelConfiguration } from "../protocol/configuration/schema.ts";
import type { LogPage, LogRecord } from "../protocol/types.ts";
import type { Adoption, ConfigurationOutcome } from "./configurationOutcome.ts";
import { buildConfiguration, createConfigurationReplay } from "./configurationReplay.ts";
import type {
  ConfigurationInForce,
  HistoryEntry,
  VersionIdentity,
  WholeRecord,
} from "./configurationReplay.ts";

/** Records held while their fate cannot be told. */
const maximumHeld = 256;

const emptySections: SectionMap = new Map();

interface PeerState extends VersionIdentity {
  /** The state takes account of every record below this offset. */
  readonly knownTo: number;
  readonly wholeRecord: WholeRecord | undefined;
}

/** The whole state of a history, for a peer. */
export interface ConfigurationSnapshot extends PeerState {
  readonly kind: "snapshot";
  readonly sections: readonly ConfigurationSection[];
}

/** The state of a history, for a peer that has version `base` in force. */
export interface ConfigurationChanges extends PeerState, SectionDifference {
  readonly kind: "changes";
  readonly base: number;
}

/** The configuration stream as one process has understood it so far. */
export interface ConfigurationHistory {
  /** The offset to read from next. */
  readTo(): number;
  /** False while records that expired unread may have changed what is in force. */
  isCertain(): boolean;
  current(): ConfigurationInForce | undefined;
  /** The last 200 records decided, oldest first. */
  history(): readonly HistoryEntry[];
  /** The last record from which a reader that knows nothing can start, where known. */
  wholeRecord(): WholeRecord | undefined;
  /**
   * Takes a page of the stream; repeated pages and pages out of order do no harm.
   *
   * @param fromOffset - Where the page was read from.
   * @returns The fates of the page's records; none if the page starts beyond `readTo()`.
   */
  applyPage(fromOffset: number, page: LogPage): readonly ConfigurationOutcome[];
  /** Takes one record; the caller has handed over every record before it. */
  apply(record: LogRecord): ConfigurationOutcome;
  /** Notes that records below an offset are no longer kept. */
  expire(earliestOffset: number): void;
  snapshot(): ConfigurationSnapshot | undefined;
  /** What a peer at version `base` lacks; nothing if that is no longer known. */
  changesSince(base: number): ConfigurationChanges | undefined;
  /** Takes what a peer sent. */
  adopt(state: ConfigurationSnapshot | ConfigurationChanges): Adoption;
  /** What earlier versions named for a model, the last first, as far as this process has seen them. */
  formerModels(name: string): readonly ModelConfiguration[];
  /** The record that appends the version in force again; nothing where the state is uncertain. */
  republication(): Republication | undefined;
}

const sectionsOf = (put: readonly ConfigurationSection[]): SectionMap =>
  applyDifference(emptySections, { put, remove: [] });

const listSections = (sections: SectionMap): readonly ConfigurationSection[] =>
  [...sections.values()].map(({ section, body }) => ({ section, body }));

/** Creates a history that has read nothing. */
export const createConfigurationHistory = (): ConfigurationHistory => {
  const replay = createConfigurationReplay();
  /** What is in force takes account of every record below this offset. */
  let knownTo = 0;
  let readTo = 0;
  /** After a loss: every record from here to `readTo` is held. */
  let heldFrom: number | undefined;
  let held: LogRecord[] = [];

  const decide = (record: LogRecord): ConfigurationOutcome => {
    knownTo = record.offset + 1;
    return replay.decide(record);
  };

  const hold = (record: LogRecord): void => {
    held.push(record);
    if (held.length <= maximumHeld) return;
    const dropped = held.shift();
    if (dropped !== undefined) heldFrom = dropped.offset + 1;
  };

  /** Goes on from a state that takes account of every record below an offset. */
  const continueFrom = (offset: number): readonly ConfigurationOutcome[] => {
    knownTo = offset;
    if (heldFrom !== undefined && offset < heldFrom) return [];
    const undecided = held.filter((record) => record.offset >= offset);
    held = [];
    heldFrom = undefined;
    const fates = undecided.map(decide);
    readTo = Math.max(readTo, offset);
    knownTo = readTo;
    return fates;
  };

  /** Finds up to where a record that was read after a loss makes the state known. */
  const findStart = (offset: number, record: ConfigurationRecord | undefined): number | undefined => {
    if (record?.kind === "replacement") {
      return buildConfiguration(sectionsOf(record.put), record.digest).valid ? offset : undefined;
    }
    if (record?.kind !== "restatement" || heldFrom === undefined) return undefined;
    const inOrder = record.version < record.readTo && record.readTo <= offset;
    if (!inOrder || record.readTo < heldFrom) return undefined;
    if (replay.takeOver(record, sectionsOf(record.put)) !== undefined) return undefined;
    replay.changes.restart(record.version);
    return record.readTo;
  };

  const applyAfterLoss = (record: LogRecord): ConfigurationOutcome => {
    hold(record);
    const start = findStart(record.offset, decodeConfigurationRecord(record.data));
    const fates = start === undefined ? [] : continueFrom(start);
    return fates.at(-1) ?? { kind: "undecided", offset: record.offset };
  };

  const apply = (record: LogRecord): ConfigurationOutcome => {
    if (record.offset < readTo) return { kind: "seen", offset: record.offset };
    readTo = record.offset + 1;
    return heldFrom === undefined ? decide(record) : applyAfterLoss(record);
  };

  const expire = (earliestOffset: number): void => {
    if (earliestOffset <= readTo) return;
    readTo = earliestOffset;
    heldFrom = earliestOffset;
    held = [];
  };

  const peerState = (inForce: ConfigurationInForce): PeerState => ({
    version: inForce.version,
    digest: inForce.digest,
    publishedBy: inForce.publishedBy,
    publishedAt: inForce.publishedAt,
    knownTo,
    wholeRecord: replay.wholeRecord(),
  });

  /** Works out the sections that a peer means; nothing if they start from a version not in force here. */
  const sectionsMeant = (state: ConfigurationSnapshot | ConfigurationChanges): SectionMap | undefined => {
    if (state.kind === "snapshot") return sectionsOf(state.sections);
    const inForce = replay.current();
    return state.base === inForce?.version ? applyDifference(inForce.sections, state) : undefined;
  };

  const noteAdopted = (state: ConfigurationSnapshot | ConfigurationChanges): void => {
    if (state.kind === "changes") replay.changes.note(state.version, state);
    else replay.changes.restart(state.version);
  };

  const adopt = (state: ConfigurationSnapshot | ConfigurationChanges): Adoption => {
    if (state.knownTo <= knownTo) return { kind: "unchanged" };
    const before = replay.current()?.version;
    const sections = sectionsMeant(state);
    if (sections === undefined) return { kind: "other_base" };
    const reason = replay.takeOver(state, sections, state.wholeRecord);
    if (reason !== undefined) return { kind: "refused", reason };
    if (before !== state.version) noteAdopted(state);
    continueFrom(state.knownTo);
    const version = replay.current()?.version ?? state.version;
    return version === before ? { kind: "unchanged" } : { kind: "adopted", version };
  };

  return {
    readTo: () => readTo,
    isCertain: () => heldFrom === undefined,
    current: () => replay.current(),
    history: () => replay.entries(),
    wholeRecord: () => replay.wholeRecord(),
    applyPage: (fromOffset, page) => {
      expire(page.earliestOffset);
      return fromOffset > readTo ? [] : page.records.map(apply);
    },
    apply,
    expire,
    snapshot: () => {
      const inForce = replay.current();
      if (inForce === undefined) return undefined;
      return { kind: "snapshot", ...peerState(inForce), sections: listSections(inForce.sections) };
    },
    changesSince: (base) => {
      const inForce = replay.current();
      if (inForce === undefined || base > inForce.version) return undefined;
      const difference = replay.changes.since(base, inForce.sections);
      return difference && { kind: "changes", base, ...peerState(inForce), ...difference };
    },
    adopt,
    formerModels: (name) => replay.formerModels(name),
    republication: () => {
      const inForce = replay.current();
      if (inForce === undefined || heldFrom !== undefined) return undefined;
      const { version, digest, publishedBy, publishedAt, sections } = inForce;
      const put = listSections(sections);
      return { kind: "restatement", version, readTo, publishedBy, publishedAt, digest, put };
    },
  };
};
