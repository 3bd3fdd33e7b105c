/** The settings file of a router that passes requests on. */
import { z } from "zod";

import { fileError } from "../protocol/errors.ts";
import { listSchemaProblems } from "../protocol/schemaProblems.ts";
import { parseSettingsText, readSettingsText } from "./settingsFile.ts";

const endpointPattern = /^((?:\d{1,3}\.){3}\d{1,3}):(\d{1,5})$/;
const largestPort = 65_535;

const endpoint = z.string().transform((text, context) => {
  const [, address, digits] = endpointPattern.exec(text) ?? [];
  const port = Number(digits);
  if (address !== undefined && port <= largestPort) return { address, port };
  context.addIssue({ code: "custom", message: "must be IP:PORT" });
  return z.NEVER;
});

const duration = z.number().min(0);
const share = z.number().min(0);

/** How closely organisations' limits are kept where the settings don't say: no more than a tenth beyond them. */
const assumedLimits = { windowSeconds: 8, overshoot: 0.1, reserve: 0 } as const;

/** Durations are milliseconds unless a name says otherwise. Fields that are not known are ignored. */
export const forwardingSettingsSchema = z.object({
  name: z.string().min(1).describe("Tells this router from all others"),
  dataCentre: z.string().min(1),
  callers: endpoint.describe("Where callers connect"),
  readiness: endpoint.describe("Where the balancer asks whether this router takes requests"),
  metricsPort: z.number().int().min(0).max(largestPort).describe("Where counters are served; 0: nowhere"),
  peers: endpoint.describe("Where other routers' datagrams are received"),
  store: endpoint.describe("The platform's store"),
  bounds: z.object({
    keyRevocation: duration,
    drain: duration,
    lease: duration.min(100),
    weights: duration,
    shutdownGraceSeconds: duration,
    retryRatio: share,
    retryWindowSeconds: duration.min(1),
    retryReserve: share,
    limitWindowSeconds: duration.min(1).default(assumedLimits.windowSeconds),
    limitOvershoot: share.default(assumedLimits.overshoot),
    limitReserve: share.default(assumedLimits.reserve),
  }),
});

/** Checked settings. */
export type ForwardingSettings = Readonly<z.output<typeof forwardingSettingsSchema>>;

/** @returns Checked settings; throws `FileError` naming everything that is wrong. */
export const parseForwardingSettings = (text: string, file: string): ForwardingSettings => {
  const result = forwardingSettingsSchema.safeParse(parseSettingsText(text, file));
  if (result.success) return result.data;
  throw fileError(file, listSchemaProblems(result.error));
};

/** Reads and checks a settings file. */
export const readForwardingSettings = (file: string): ForwardingSettings =>
  parseForwardingSettings(readSettingsText(file), file);
