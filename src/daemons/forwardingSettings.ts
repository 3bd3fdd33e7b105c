/** The settings file of a forwarding router. */
import { z } from "zod";

import { fileError } from "../protocol/errors.ts";
import { listSchemaProblems } from "../protocol/schemaProblems.ts";
import { parseSettingsText, readSettingsText } from "./settingsFile.ts";
import { vmSchema } from "./vmSettings.ts";
import { maxPort } from "../protocol/networkAddress.ts";
import { duration, hostAndPort, messageText } from "../protocol/usableValues.ts";

const endpoint = hostAndPort.transform(({ host, port }) => ({ address: host, port }));

const share = z.number().min(0);

/** How closely organisations' limits are enforced by default: usage exceeds them by at most a tenth. */
const defaultLimits = { windowSeconds: 8, overshoot: 0.1, reserve: 0 } as const;

/** Durations are milliseconds unless a name says otherwise. Unknown fields are ignored. */
export const forwardingSettingsSchema = z.object({
  name: messageText.min(1).describe("Unique among all routers"),
  dataCentre: messageText.min(1),
  callers: endpoint.describe("Where callers connect"),
  readiness: endpoint.describe("Where the load balancer checks whether this router accepts requests"),
  metricsPort: z.number().int().min(0).max(maxPort).describe("Where metrics are served; 0: nowhere"),
  peers: endpoint.describe(
    "Where other routers reach this one: datagrams, and over TCP requests that they pass on",
  ),
  store: endpoint.describe("The platform's store"),
  guarantees: z
    .array(z.string())
    .default([])
    .describe("Guarantees by the platform's names; others are ignored"),
  replicaSpeeds: z
    .object({ minSpread: z.number().min(1) })
    .optional()
    .describe("From which ratio of the fastest to the slowest replica on learned speeds are used"),
  batchMemory: z.boolean().default(false).describe("Whether placement counts the memory of running requests"),
  callerBufferBytes: z
    .number()
    .int()
    .min(0)
    .optional()
    .describe("Bytes held for all callers that read slowly; 0: unbounded; absent: by the memory of the VM"),
  vm: vmSchema,
  bounds: z.object({
    keyRevocation: duration,
    drain: duration,
    lease: duration.pipe(z.number().min(100)),
    weights: duration,
    shutdownGraceSeconds: duration,
    retryRatio: share,
    retryWindowSeconds: duration.pipe(z.number().min(1)),
    retryReserve: share,
    limitWindowSeconds: duration.pipe(z.number().min(1)).default(defaultLimits.windowSeconds),
    limitOvershoot: share.default(defaultLimits.overshoot),
    limitReserve: share.default(defaultLimits.reserve),
  }),
});

/** Validated settings. */
export type ForwardingSettings = Readonly<z.output<typeof forwardingSettingsSchema>>;

/**
 * Parses and validates settings.
 *
 * @param file - The file's name, for error messages.
 * @throws `FileError` listing all problems.
 */
export const parseForwardingSettings = (text: string, file: string): ForwardingSettings => {
  const result = forwardingSettingsSchema.safeParse(parseSettingsText(text, file));
  if (result.success) return result.data;
  throw fileError(file, listSchemaProblems(result.error));
};

/**
 * Reads and validates a settings file.
 *
 * @throws `FileError` if the file can't be read, or listing all problems.
 */
export const readForwardingSettings = (file: string): ForwardingSettings =>
  parseForwardingSettings(readSettingsText(file), file);
