/** Publishes a configuration and reads back the outcome. */
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

/** How often one record is appended before giving up. */
const maxAppends = 3;

/** Milliseconds. */
const defaultRetryDelay = 250;

/** The outcome of a publication. */
export type PublishResult =
  | { readonly kind: "published"; readonly version: number; readonly digest: string }
  | { readonly kind: "already_in_force"; readonly version: number; readonly digest: string }
  /** Another publication was appended first. */
  | { readonly kind: "beaten"; readonly by: Publisher & { readonly version: number } }
  | { readonly kind: "refused"; readonly reason: VoidReason }
  /** Records expired unread, so the log no longer shows which version is in force. */
  | { readonly kind: "state_unknown" }
  /** The record may have been appended. */
  | { readonly kind: "outcome_unknown" };

/** The configuration to publish, who publishes it, and how. */
export interface PublishRequest extends Publisher {
  readonly configuration: Configuration;
  /** Supersede whatever is in force; for a log that no longer shows which version that is. */
  readonly replace: boolean;
  /** Delay before the first retry, milliseconds. */
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

const toBeatenResult = (history: ConfigurationHistory, version: number): PublishResult => {
  const winner = history.history().find(({ offset }) => offset === version);
  const { publishedBy = "", publishedAt = 0 } = winner ?? {};
  return { kind: "beaten", by: { version, publishedBy, publishedAt } };
};

const toPublishResult = (
  history: ConfigurationHistory,
  outcome: ConfigurationOutcome,
  digest: string,
): PublishResult => {
  if (outcome.kind === "applied") return { kind: "published", version: outcome.version, digest };
  if (outcome.kind !== "void") return { kind: "outcome_unknown" };
  if (outcome.reason.kind === "stale_base") return toBeatenResult(history, outcome.reason.beatenBy);
  return { kind: "refused", reason: outcome.reason };
};

/** @returns The failure of an append; `undefined` if it was acknowledged. */
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
 * Appends a record and reads the log until the record is found, appending again where it is missing.
 *
 * @param ambiguousAppendLimit - How often the record is appended once an append may have taken effect; above 1 only
 * for records of which a second copy has no effect.
 * @returns The record's outcome; `undefined` if it could not be determined.
 */
const appendAndReadBack = async (
  log: LogService,
  history: ConfigurationHistory,
  data: string,
  retryDelay: number,
  ambiguousAppendLimit: number,
): Promise<ConfigurationOutcome | undefined> => {
  const outcomes: ConfigurationOutcome[] = [];
  const collect = (record: LogRecord, outcome: ConfigurationOutcome | undefined): boolean => {
    if (record.data === data && outcome !== undefined) outcomes.push(outcome);
    return false;
  };
  let mayBeStored = false;
  for (let appends = 1; ; appends += 1) {
    const failure = await tryAppend(log, data);
    mayBeStored ||= failure?.mayHaveTakenEffect !== false;
    if (mayBeStored) await readConfigurationLog(log, history, collect, retryDelay).catch(() => undefined);
    const outcome = outcomes.find(({ kind }) => kind === "applied") ?? outcomes[0];
    if (outcome !== undefined) return outcome;
    const last = appends >= (mayBeStored ? ambiguousAppendLimit : maxAppends);
    if (last && failure !== undefined && !mayBeStored) throw failure;
    if (last) return undefined;
    await sleep(retryDelay * appends);
  }
};

/**
 * Publishes a configuration, based on the version that the log has in force now.
 *
 * If the response to an append is lost, the log is read to find out whether it took effect. If the record is missing,
 * it is appended again: of two records with the same base only the first is applied. A replacement has no base, so it
 * is not appended again once it may have taken effect.
 *
 * @throws `PlatformError` if the log could not be read before anything was appended, or accepted no append.
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
  const appends = request.replace ? 1 : maxAppends;
  const outcome = await appendAndReadBack(log, history, data, retryDelay, appends);
  return outcome === undefined ? { kind: "outcome_unknown" } : toPublishResult(history, outcome, digest);
};
