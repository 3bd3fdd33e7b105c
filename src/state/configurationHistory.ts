/**
 * Applies the log's configuration stream. Every reader reaches the same result, whatever the order and repetition of
 * its polls, and never returns to an earlier version.
 *
 * If records expire before they are read, a reader cannot decide the outcome of those that follow. It keeps the
 * configuration in force and queues the following records, until a republication or a peer provides the state at an
 * offset from which on the reader has read every record.
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
import type { AdoptionOutcome, ConfigurationOutcome } from "./configurationOutcome.ts";
import { buildConfiguration, createConfigurationReplay } from "./configurationReplay.ts";
import type {
  ConfigurationInForce,
  HistoryEntry,
  VersionIdentity,
  WholeRecord,
} from "./configurationReplay.ts";

/** Records queued while their outcome cannot be decided. */
const maximumPendingRecords = 256;

const emptySections: SectionMap = new Map();

interface TransferredState extends VersionIdentity {
  /** The state includes the effect of every record below this offset. */
  readonly knownTo: number;
  readonly wholeRecord: WholeRecord | undefined;
}

/** The complete state of a history, to be sent to a peer. */
export interface ConfigurationSnapshot extends TransferredState {
  readonly kind: "snapshot";
  readonly sections: readonly ConfigurationSection[];
}

/** The difference to the state of a peer that has version `base` in force. */
export interface ConfigurationChanges extends TransferredState, SectionDifference {
  readonly kind: "changes";
  readonly base: number;
}

/** The configuration stream as far as one process has applied it. */
export interface ConfigurationHistory {
  /** @returns The offset to read from next. */
  readTo(): number;
  /** @returns False while records that expired unread may have changed the configuration in force. */
  isCertain(): boolean;
  current(): ConfigurationInForce | undefined;
  /** @returns The last 200 records whose outcome is decided, oldest first. */
  history(): readonly HistoryEntry[];
  /** @returns The last record that contains a complete configuration, if known: a new reader can start from it. */
  wholeRecord(): WholeRecord | undefined;
  /**
   * Applies a page of the stream. Pages may be repeated or arrive out of order.
   *
   * @param fromOffset - The offset from which the page was read.
   * @returns The outcomes of the page's records; none if the page starts beyond `readTo()`.
   */
  applyPage(fromOffset: number, page: LogPage): readonly ConfigurationOutcome[];
  /** Applies one record. Every record before it must have been applied. */
  apply(record: LogRecord): ConfigurationOutcome;
  /** Records that the log no longer keeps the records below an offset. */
  expire(earliestOffset: number): void;
  snapshot(): ConfigurationSnapshot | undefined;
  /** @returns The changes since version `base`; `undefined` if they are no longer known. */
  changesSince(base: number): ConfigurationChanges | undefined;
  /** Adopts the state that a peer sent, if it is newer. */
  adopt(state: ConfigurationSnapshot | ConfigurationChanges): AdoptionOutcome;
  /** @returns A model's entries in earlier versions, the latest first, as far as this process has applied them. */
  formerModels(name: string): readonly ModelConfiguration[];
  /** @returns A record that republishes the version in force; `undefined` while the state is uncertain. */
  republication(): Republication | undefined;
}

const sectionsOf = (put: readonly ConfigurationSection[]): SectionMap =>
  applyDifference(emptySections, { put, remove: [] });

const listSections = (sections: SectionMap): readonly ConfigurationSection[] =>
  [...sections.values()].map(({ section, body }) => ({ section, body }));

/** Creates a history that has applied no records. */
export const createConfigurationHistory = (): ConfigurationHistory => {
  const replay = createConfigurationReplay();
  /** The configuration in force includes the effect of every record below this offset. */
  let knownTo = 0;
  let readTo = 0;
  /** After a gap: every record from this offset to `readTo` is queued. */
  let pendingFrom: number | undefined;
  let pendingRecords: LogRecord[] = [];

  const decide = (record: LogRecord): ConfigurationOutcome => {
    knownTo = record.offset + 1;
    return replay.decide(record);
  };

  const addPending = (record: LogRecord): void => {
    pendingRecords.push(record);
    if (pendingRecords.length <= maximumPendingRecords) return;
    const dropped = pendingRecords.shift();
    if (dropped !== undefined) pendingFrom = dropped.offset + 1;
  };

  /** Applies the queued records to a state that includes every record below an offset. */
  const resumeFrom = (offset: number): readonly ConfigurationOutcome[] => {
    knownTo = offset;
    if (pendingFrom !== undefined && offset < pendingFrom) return [];
    const undecided = pendingRecords.filter((record) => record.offset >= offset);
    pendingRecords = [];
    pendingFrom = undefined;
    const outcomes = undecided.map(decide);
    readTo = Math.max(readTo, offset);
    knownTo = readTo;
    return outcomes;
  };

  /** @returns The offset up to which a record that was read after a gap determines the state, if it does. */
  const findResumeOffset = (offset: number, record: ConfigurationRecord | undefined): number | undefined => {
    if (record?.kind === "replacement") {
      return buildConfiguration(sectionsOf(record.put), record.digest).valid ? offset : undefined;
    }
    if (record?.kind !== "restatement" || pendingFrom === undefined) return undefined;
    const inOrder = record.version < record.readTo && record.readTo <= offset;
    if (!inOrder || record.readTo < pendingFrom) return undefined;
    if (replay.adoptState(record, sectionsOf(record.put)) !== undefined) return undefined;
    replay.changes.restart(record.version);
    return record.readTo;
  };

  const applyAfterGap = (record: LogRecord): ConfigurationOutcome => {
    addPending(record);
    const start = findResumeOffset(record.offset, decodeConfigurationRecord(record.data));
    const outcomes = start === undefined ? [] : resumeFrom(start);
    return outcomes.at(-1) ?? { kind: "undecided", offset: record.offset };
  };

  const apply = (record: LogRecord): ConfigurationOutcome => {
    if (record.offset < readTo) return { kind: "seen", offset: record.offset };
    readTo = record.offset + 1;
    return pendingFrom === undefined ? decide(record) : applyAfterGap(record);
  };

  const expire = (earliestOffset: number): void => {
    if (earliestOffset <= readTo) return;
    readTo = earliestOffset;
    pendingFrom = earliestOffset;
    pendingRecords = [];
  };

  const describeState = (inForce: ConfigurationInForce): TransferredState => ({
    version: inForce.version,
    digest: inForce.digest,
    publishedBy: inForce.publishedBy,
    publishedAt: inForce.publishedAt,
    knownTo,
    wholeRecord: replay.wholeRecord(),
  });

  /** @returns The sections of a peer's state; `undefined` if they are based on a version that is not in force here. */
  const resolveSections = (state: ConfigurationSnapshot | ConfigurationChanges): SectionMap | undefined => {
    if (state.kind === "snapshot") return sectionsOf(state.sections);
    const inForce = replay.current();
    return state.base === inForce?.version ? applyDifference(inForce.sections, state) : undefined;
  };

  const recordAdoption = (state: ConfigurationSnapshot | ConfigurationChanges): void => {
    if (state.kind === "changes") replay.changes.note(state.version, state);
    else replay.changes.restart(state.version);
  };

  const adopt = (state: ConfigurationSnapshot | ConfigurationChanges): AdoptionOutcome => {
    if (state.knownTo <= knownTo) return { kind: "unchanged" };
    const before = replay.current()?.version;
    const sections = resolveSections(state);
    if (sections === undefined) return { kind: "other_base" };
    const reason = replay.adoptState(state, sections, state.wholeRecord);
    if (reason !== undefined) return { kind: "refused", reason };
    if (before !== state.version) recordAdoption(state);
    resumeFrom(state.knownTo);
    const version = replay.current()?.version ?? state.version;
    return version === before ? { kind: "unchanged" } : { kind: "adopted", version };
  };

  return {
    readTo: () => readTo,
    isCertain: () => pendingFrom === undefined,
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
      return { kind: "snapshot", ...describeState(inForce), sections: listSections(inForce.sections) };
    },
    changesSince: (base) => {
      const inForce = replay.current();
      if (inForce === undefined || base > inForce.version) return undefined;
      const difference = replay.changes.since(base, inForce.sections);
      return difference && { kind: "changes", base, ...describeState(inForce), ...difference };
    },
    adopt,
    formerModels: (name) => replay.formerModels(name),
    republication: () => {
      const inForce = replay.current();
      if (inForce === undefined || pendingFrom !== undefined) return undefined;
      const { version, digest, publishedBy, publishedAt, sections } = inForce;
      const put = listSections(sections);
      return { kind: "restatement", version, readTo, publishedBy, publishedAt, digest, put };
    },
  };
};
