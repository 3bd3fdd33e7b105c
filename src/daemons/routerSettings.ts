/** The settings file of one router daemon. */
import { z } from "zod";
import { listSchemaProblems } from "../protocol/schemaProblems.ts";
import { fileError } from "../protocol/errors.ts";
import { parseSettingsText, readSettingsText } from "./settingsFile.ts";
import { vmSchema } from "./vmSettings.ts";

const address = z.union([z.ipv4(), z.ipv6()]);
const port = z.number().int().min(0).max(65535);
const interval = z.number().int().min(10).max(600_000);

/** Durations are milliseconds. Unknown fields are errors. */
export const routerSettingsSchema = z.strictObject({
  name: z.string().min(1).max(64).describe("The VM's id in the platform's VM list"),
  dataCentre: z.string().min(1),
  callers: z.strictObject({ address, port }).describe("Where callers and operators connect; port 0: any"),
  peers: z.strictObject({ address, port }).describe("Where other routers connect; port 0: any"),
  seedPeers: z
    .array(z.url({ protocol: /^http$/ }))
    .default([])
    .describe("Peer URLs to ask after a restart while the VM list can't be read"),
  logService: z.url(),
  vmList: z.url(),
  operatorKeyHash: z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in lower-case hex"),
  sharedSecret: z
    .string()
    .min(32)
    .describe("Known to all routers; signs resume tokens and proves peers to one another"),
  platformTimeout: interval.default(2_000).describe("Longest wait for the log service and the VM list"),
  vmListInterval: interval.default(1_000),
  loadInterval: interval.default(500),
  loadTimeout: interval.default(2_000),
  configurationLongPoll: interval.default(2_000),
  callerKeepAlive: interval
    .default(5_000)
    .describe("How long an idle connection of a caller stays open; a shutdown waits as long for idle ones"),
  logRetention: z
    .number()
    .int()
    .min(1_000)
    .default(86_400_000)
    .describe("How long the log service keeps a record; the configuration is appended again at half of it"),
  longestDrain: z
    .number()
    .int()
    .min(0)
    .optional()
    .describe("Ends a graceful shutdown although work is under way; without it nothing is cut"),
  vm: vmSchema,
  logs: z.string().default("pomelocleat:*").describe("Namespaces of the debug library"),
  statsd: z.strictObject({ address, port }).optional(),
});

/** Validated settings. */
export type RouterSettings = Readonly<z.output<typeof routerSettingsSchema>>;

/**
 * Parses and validates settings.
 *
 * @param file - The file's name, for error messages.
 * @throws `FileError` listing all problems.
 */
export const parseRouterSettings = (text: string, file: string): RouterSettings => {
  const result = routerSettingsSchema.safeParse(parseSettingsText(text, file));
  if (result.success) return result.data;
  throw fileError(file, listSchemaProblems(result.error));
};

/**
 * Reads and validates a settings file.
 *
 * @throws `FileError` if the file can't be read, or listing all problems.
 */
export const readRouterSettings = (file: string): RouterSettings =>
  parseRouterSettings(readSettingsText(file), file);
