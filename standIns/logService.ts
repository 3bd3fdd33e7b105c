/** A stand-in for the platform's log service: append-only streams with offsets and retention. */
import { z } from "zod";
import type { LogPage, LogRecord } from "../src/protocol/types.ts";
import { cutError, refusal } from "./errors.ts";
import { jsonAnswer, parseBody, startServer, type Answer, type Exchange } from "./httpServer.ts";
import { commonFaults, commonSettings, milliseconds, type StandIn } from "./types.ts";
import { createNotifier, pause } from "./waiting.ts";
import { defaultEpoch } from "../src/protocol/storeEpoch.ts";

const settingsSchema = z.strictObject({
  ...commonSettings,
  /** Rate limit for append requests of all streams together, also the burst; excess requests get a 429. */
  appendsPerSecond: z.number().min(1).default(400),
  retentionMilliseconds: milliseconds.default(86_400_000),
  /** Maximum number of records kept for each stream; the oldest are dropped. */
  retentionRecords: z.number().int().min(0).default(1_000_000),
});
export type LogServiceStandInSettings = z.input<typeof settingsSchema>;

const faultsSchema = z.strictObject({
  ...commonFaults,
  /** The next N appends are stored, but their connections are cut without an answer. */
  loseAppendAnswers: z.number().int().min(0).default(0),
});
export type LogServiceStandInFaults = z.output<typeof faultsSchema>;

/** A running stand-in of the log service. */
export interface LogServiceStandIn extends StandIn<LogServiceStandInFaults> {
  /** Returns the records of a stream that are still retained. */
  readonly records: (stream: string) => readonly LogRecord[];
}

const maxWaitMilliseconds = 5000;
const defaultLimit = 1000;
const appendSchema = z.strictObject({ records: z.array(z.string()).min(1) });
const readSchema = z.object({
  from: z.coerce.number().int().min(0).default(0),
  limit: z.coerce.number().int().min(1).default(defaultLimit),
  waitMilliseconds: z.coerce.number().min(0).max(maxWaitMilliseconds).default(0),
});

/** Creates a token bucket that refills continuously and holds at most one second's tokens. */
const createTokenBucket = (perSecond: number): (() => boolean) => {
  let tokens = perSecond;
  let refilledAt = performance.now();
  return () => {
    const now = performance.now();
    tokens = Math.min(perSecond, tokens + ((now - refilledAt) / 1000) * perSecond);
    refilledAt = now;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };
};

interface Stream {
  nextOffset: number;
  readonly records: LogRecord[];
}

/** Starts a stand-in of the log service. */
export const createLogServiceStandIn = async (
  input: LogServiceStandInSettings = {},
): Promise<LogServiceStandIn> => {
  const settings = settingsSchema.parse(input);
  const streams = new Map<string, Stream>();
  const appended = createNotifier();
  const takeToken = createTokenBucket(settings.appendsPerSecond);
  const counts = { appends: 0, refusedAppends: 0, reads: 0 };

  const openStream = (name: string): Stream => {
    const stream = streams.get(name) ?? { nextOffset: 0, records: [] };
    streams.set(name, stream);
    const oldest = Date.now() - settings.retentionMilliseconds;
    const firstKept = stream.records.findIndex(({ appendedAt }) => appendedAt >= oldest);
    const expired = firstKept === -1 ? stream.records.length : firstKept;
    stream.records.splice(0, Math.max(expired, stream.records.length - settings.retentionRecords));
    return stream;
  };

  const append = ({ parameters, body }: Exchange): Answer => {
    const { records } = parseBody(appendSchema, body);
    if (!takeToken()) {
      counts.refusedAppends += 1;
      throw refusal(429, "rate_limited", true);
    }
    const stream = openStream(parameters.name ?? "");
    const appendedAt = Date.now();
    const added = records.map((data, index) => ({ offset: stream.nextOffset + index, appendedAt, data }));
    stream.records.push(...added);
    stream.nextOffset += added.length;
    counts.appends += 1;
    appended.notify();
    if (server.faults.loseAppendAnswers > 0) {
      server.faults.loseAppendAnswers -= 1;
      throw cutError("The stand-in loses the answer to this append.");
    }
    return jsonAnswer({ offsets: added.map(({ offset }) => offset) });
  };

  const readPage = (name: string, from: number, limit: number): LogPage => {
    const { nextOffset, records } = openStream(name);
    const earliestOffset = records[0]?.offset ?? nextOffset;
    const start = Math.max(0, from - earliestOffset);
    return { records: records.slice(start, start + limit), earliestOffset, nextOffset, epoch: defaultEpoch };
  };

  const read = async ({ parameters, query }: Exchange): Promise<Answer> => {
    const parsed = readSchema.safeParse(Object.fromEntries(query));
    if (!parsed.success) throw refusal(400, "invalid_request");
    const { from, limit, waitMilliseconds } = parsed.data;
    counts.reads += 1;
    const name = parameters.name ?? "";
    const waited = pause(waitMilliseconds, server.closed).then(() => true);
    waited.catch(() => undefined);
    let page = readPage(name, from, limit);
    while (page.records.length === 0 && waitMilliseconds > 0) {
      const expired = await Promise.race([waited, appended.nextChange().then(() => false)]);
      page = readPage(name, from, limit);
      if (expired) break;
    }
    return jsonAnswer(page);
  };

  const state = (): Record<string, unknown> => ({
    ...counts,
    streams: Object.fromEntries([...streams].map(([name, { nextOffset }]) => [name, nextOffset])),
  });

  const server = await startServer({
    ...settings,
    faultsSchema,
    state,
    routes: [
      { method: "POST", path: "/streams/:name/records", handler: append },
      { method: "GET", path: "/streams/:name/records", handler: read },
    ],
  });
  return {
    ...server,
    kind: "logService",
    name: settings.name,
    state,
    records: (stream) => openStream(stream).records,
  };
};
