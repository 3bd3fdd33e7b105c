/** Configurations and a log for tests of the configuration. */
import { configurationSchema } from "../../src/protocol/configuration/schema.ts";
import type { Configuration } from "../../src/protocol/configuration/schema.ts";
import type { LogPage, LogRecord } from "../../src/protocol/types.ts";
import type { ConfigurationHistory } from "../../src/state/configurationHistory.ts";
import { defaultEpoch } from "../../src/protocol/storeEpoch.ts";

/** Whoever publishes in tests. */
export const publisher = { publishedBy: "layla", publishedAt: 1_700_000_000_000 };

/** A configuration with one organisation for each standing given. */
export const configurationOf = (...standings: readonly number[]): Configuration =>
  configurationSchema.parse({
    schema: 1,
    deployments: [{ name: "levant", objective: { timeToFirstToken: 1, recomputation: 0 } }],
    dataCentres: [{ name: "amman-north", region: "amman" }],
    organisations: standings.map((standing, index) => ({
      name: `carrier-${index}`,
      deployment: "levant",
      keyHashes: [index.toString(16).padStart(64, "0")],
      standing,
      models: [],
      services: [],
      limits: { concurrentRequests: 1, requestsPerSecond: 1 },
    })),
    classes: [
      {
        name: "currency-check",
        deployment: "levant",
        kind: "interactive",
        firstTokenDeadline: 500,
        completionDeadline: 1_000,
        stallTimeout: 500,
        priority: 0,
        retryRatio: 0.1,
      },
    ],
    models: [],
    enginePools: [],
    services: [],
    limits: { claimRetention: 60_000, leaseDuration: 10_000, simultaneousLoads: 2 },
  });

/** A log that keeps everything, and shows less of it. */
export const createMemoryLog = () => {
  const records: LogRecord[] = [];
  let earliestOffset = 0;
  return {
    nextOffset: () => records.length,
    append: (data: string): LogRecord => {
      const record = { offset: records.length, appendedAt: records.length * 1_000, data };
      records.push(record);
      return record;
    },
    expire: (offset: number): void => {
      earliestOffset = Math.max(earliestOffset, Math.min(offset, records.length));
    },
    read: (from: number, limit: number): LogPage => ({
      records: records.slice(Math.max(from, earliestOffset)).slice(0, limit),
      earliestOffset,
      nextOffset: records.length,
      epoch: defaultEpoch,
    }),
  };
};

/** See {@link createMemoryLog}. */
export type MemoryLog = ReturnType<typeof createMemoryLog>;

/** Reads what a history has not read yet. */
export const readAll = (history: ConfigurationHistory, log: MemoryLog): void => {
  const from = history.readTo();
  history.applyPage(from, log.read(from, Number.POSITIVE_INFINITY));
};
