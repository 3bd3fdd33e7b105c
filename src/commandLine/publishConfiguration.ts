/** Publishes a configuration and reads back what became of it. */
import { setTimeout as sleep } from "node:timers/promises";
import {
  createPublication,
  createReplacement,
  encodeConfigurationRecord,
} from "../protocol/configuration/record.ts";
import type { Publisher } from "../protocol/configuration/record.ts";
import type { Configuration } from "../protocol/configuration/schema.ts";
import { digestSections, splitConfiguration } from "../protocol/configuration/sections.ts";
import { logStreams } from "../protocol/constants.ts";
import { PlatformError } from "../protocol/errors.ts";
import type { PlatformError as PlatformFailure } from "../protocol/errors.ts";
import type { LogService } from "../protocol/LogService.ts";
import type { LogRecord } from "../protocol/types.ts";
import type { ConfigurationOutcome, VoidReason } from "../state/configurationOutcome.ts";
import { createConfigurationHistory } from "../state/configurationHistory.ts";
import type { ConfigurationHistory } from "../state/configurationHistory.ts";
import { readConfigurationLog } from "./readConfigurationLog.ts";

/** Appends of one record before giving up. */
const mostAppends = 3;

const defaultRetryDelay = 250;

/** What became of a publication. */
export type PublishResult =
  | { readonly kind: "published"; readonly version: number; readonly digest: string }
  | { readonly kind: "already_in_force"; readonly version: number; readonly digest: string }
  /** Another publication was first. */
  | { readonly kind: "beaten"; readonly by: Publisher & { readonly version: number } }
  | { readonly kind: "refused"; readonly reason: VoidReason }
  /** The log no longer tells which version is in force. */
  | { readonly kind: "state_unknown" }
  /** The record may have been taken. */
  | { readonly kind: "outcome_unknown" };

/** What to publish, and how. */
export interface PublishRequest extends Publisher {
  readonly configuration: Configuration;
  /** Supersede whatever is in force, for a log that no longer tells it. */
  readonly replace: boolean;
  /** Milliseconds before the first retry. */
  readonly retryDelay?: number;
}

const encodeRequest = (request: PublishRequest, history: ConfigurationHistory): string => {
  const { configuration, publishedBy, publishedAt, replace } = request;
  const publisher = { publishedBy, publishedAt };
  const record = replace
    ? createReplacement(configuration, publisher)
    : createPublication(configuration, history.current(), publisher);
  return encodeConfigurationRecord(record);
};

const describeWinner = (history: ConfigurationHistory, version: number): PublishResult => {
  const winner = history.history().find(({ offset }) => offset === version);
  const { publishedBy = "", publishedAt = 0 } = winner ?? {};
  return { kind: "beaten", by: { version, publishedBy, publishedAt } };
};

const describeFate = (
  history: ConfigurationHistory,
  fate: ConfigurationOutcome,
  digest: string,
): PublishResult => {
  if (fate.kind === "applied") return { kind: "published", version: fate.version, digest };
  if (fate.kind !== "void") return { kind: "outcome_unknown" };
  if (fate.reason.kind === "stale_base") return describeWinner(history, fate.reason.beatenBy);
  return { kind: "refused", reason: fate.reason };
};

/** An append's failure; nothing if its answer came. */
const tryAppend = async (log: LogService, data: string): Promise<PlatformFailure | undefined> => {
  try {
    await log.append(logStreams.configuration, [data]);
    return undefined;
  } catch (error) {
    if (error instanceof PlatformError) return error;
    throw error;
  }
};

/**
 * Appends a record and reads until it is there.
 *
 * @param maximumAppends - Above 1 only for records of which a second copy does no harm.
 * @returns The record's fate; nothing if nobody could be asked.
 */
const appendAndReadBack = async (
  log: LogService,
  history: ConfigurationHistory,
  data: string,
  retryDelay: number,
  maximumAppends: number,
): Promise<ConfigurationOutcome | undefined> => {
  const fates: ConfigurationOutcome[] = [];
  const collect = (record: LogRecord, fate: ConfigurationOutcome | undefined): boolean => {
    if (record.data === data && fate !== undefined) fates.push(fate);
    return false;
  };
  let mayBeThere = false;
  for (let appends = 1; ; appends += 1) {
    const failure = await tryAppend(log, data);
    mayBeThere ||= failure?.mayHaveTakenEffect !== false;
    if (mayBeThere) await readConfigurationLog(log, history, collect, retryDelay).catch(() => undefined);
    const fate = fates.find(({ kind }) => kind === "applied") ?? fates[0];
    if (fate !== undefined) return fate;
    const last = appends >= (mayBeThere ? maximumAppends : mostAppends);
    if (last && failure !== undefined && !mayBeThere) throw failure;
    if (last) return undefined;
    await sleep(retryDelay * appends);
  }
};

/**
 * Publishes a configuration against the version that the log has in force now.
 *
 * An append whose answer was lost is resolved by reading; where the record is not there, the same record is
 * appended again, since of two with the same base only the first counts. A replacement is appended only once.
 *
 * @throws `PlatformError` if the log could not be read before anything was appended, or took nothing.
 */
export const publishConfiguration = async (
  log: LogService,
  request: PublishRequest,
): Promise<PublishResult> => {
  const { retryDelay = defaultRetryDelay } = request;
  const history = createConfigurationHistory();
  await readConfigurationLog(log, history, undefined, retryDelay);
  if (!history.isCertain() && !request.replace) return { kind: "state_unknown" };
  const digest = digestSections(splitConfiguration(request.configuration));
  const before = history.current();
  if (history.isCertain() && before?.digest === digest) {
    return { kind: "already_in_force", version: before.version, digest };
  }

  const data = encodeRequest(request, history);
  const appends = request.replace ? 1 : mostAppends;
  const fate = await appendAndReadBack(log, history, data, retryDelay, appends);
  return fate === undefined ? { kind: "outcome_unknown" } : describeFate(history, fate, digest);
};
