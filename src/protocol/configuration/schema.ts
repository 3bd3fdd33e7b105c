/**
 * The schema of the one complete configuration file that operators publish.
 *
 * Durations are in milliseconds; names of sizes say whether they are tokens or bytes. Unknown fields are errors.
 * References by name are checked in `crossReferences.ts`. VMs are never listed here, since they come and go: the
 * platform's VM list contains them with the pool that they belong to.
 */
import { z } from "zod";
import { reservedFields } from "../bodyFields.ts";

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be lower-case letters, digits and dashes, at most 63 characters");
const milliseconds = z.number().int().min(0).max(86_400_000);
const positiveMilliseconds = z.number().int().min(1).max(86_400_000);

/** The costs that the choice of an engine minimises, as weights relative to one another. */
const objectiveSchema = z.strictObject({
  timeToFirstToken: z.number().min(0).describe("Weight of the predicted time to first token"),
  recomputation: z.number().min(0).describe("Weight of prompt tokens computed although an engine holds them"),
});

const deploymentSchema = z.strictObject({
  name,
  objective: objectiveSchema.describe("Used by classes that set none of their own"),
});

const dataCentreSchema = z.strictObject({
  name,
  region: name,
});

const classSchema = z.strictObject({
  name,
  deployment: name,
  kind: z.enum(["interactive", "batch"]).describe("Batch work yields to interactive work"),
  firstTokenDeadline: positiveMilliseconds.describe("From arrival to the first token, milliseconds"),
  completionDeadline: positiveMilliseconds.describe("From arrival to the last token, milliseconds"),
  stallTimeout: positiveMilliseconds.describe("Longest silence of an engine within a stream, milliseconds"),
  priority: z.number().int().min(0).max(9).describe("Handed to engines; 0 runs first"),
  objective: objectiveSchema.optional(),
  retryRatio: z.number().min(0).max(1).describe("Retries allowed for each successful request"),
  hedgeAfter: milliseconds.optional().describe("Ask a second engine after this long; idempotent work only"),
});

const organisationSchema = z.strictObject({
  name,
  deployment: name,
  keyHashes: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in lower-case hex"))
    .min(1)
    .describe("SHA-256 of each accepted API key"),
  standing: z.number().min(0.01).max(1000).describe("Share of contended capacity, relative to the others"),
  models: z.array(name),
  services: z.array(name),
  rivals: z.array(name).default([]).describe("Organisations whose engines to keep apart where possible"),
  limits: z.strictObject({
    concurrentRequests: z.number().int().min(1).describe("Over all routers"),
    requestsPerSecond: z.number().min(0.01).describe("Over all routers"),
  }),
});

const modelSchema = z.strictObject({
  name,
  deployment: name,
  weightsVersion: z.string().min(1).max(64),
  adapters: z.array(z.strictObject({ name, version: z.string().min(1).max(64) })).default([]),
  defaultClass: name,
  contextTokens: z.number().int().min(1),
  bodyFields: z
    .array(
      z
        .string()
        .min(1)
        .refine((field) => !reservedFields.has(field), "is the router's own field"),
    )
    .default([])
    .describe("Further fields of a request's body that callers may set for the model's engines"),
});

const enginePoolSchema = z.strictObject({
  name,
  deployment: name,
  model: name,
  dataCentres: z.array(name).min(1),
  replicas: z.number().int().min(1).describe("Wanted over all data centres"),
  maximumRunning: z.number().int().min(1).describe("Requests that one engine batches at once"),
  prefillTokensPerSecond: z.number().min(1).describe("Expected; corrected by what answers show"),
  cacheTokens: z.number().int().min(1).describe("Prompt tokens that one engine keeps cached, roughly"),
  fencing: z.enum(["checked", "ignored"]).describe("Whether engines refuse an order with an old number"),
  identity: z.enum(["checked", "ignored"]).describe("Whether engines check which organisation calls"),
  longestOrder: positiveMilliseconds.describe("Longest time an order takes to be carried out"),
  role: z
    .string()
    .min(1)
    .max(64)
    .optional()
    .describe("The role that engines are told to take, in their words"),
});

const serviceSchema = z.strictObject({
  name,
  deployment: name,
  dataCentres: z.array(name).min(1),
  replicas: z.number().int().min(1),
  class: name,
  identity: z.enum(["checked", "ignored"]),
  deduplicatesByKey: z
    .boolean()
    .describe("The service itself runs one idempotency key at most once, so no claim is needed in an outage"),
  nonIdempotentRoutes: z
    .array(
      z.strictObject({
        method: z.enum(["POST", "PUT", "PATCH", "DELETE"]),
        path: z.string().startsWith("/").describe("Path prefix within the service"),
      }),
    )
    .default([]),
});

const keyValueStoreSchema = z.strictObject({
  name,
  deployment: name,
  dataCentres: z.array(name).min(1),
});

const limitsSchema = z.strictObject({
  claimRetention: positiveMilliseconds.describe("Older idempotency keys are refused; within log retention"),
  leaseDuration: positiveMilliseconds,
  simultaneousLoads: z
    .number()
    .int()
    .min(1)
    .max(16)
    .describe("Engines loading weights at once, a deployment"),
});

/** The whole configuration file. */
export const configurationSchema = z.strictObject({
  schema: z.literal(1),
  deployments: z.array(deploymentSchema).min(1),
  dataCentres: z.array(dataCentreSchema).min(1),
  organisations: z.array(organisationSchema),
  classes: z.array(classSchema).min(1),
  models: z.array(modelSchema),
  enginePools: z.array(enginePoolSchema),
  services: z.array(serviceSchema),
  keyValueStores: z.array(keyValueStoreSchema).default([]),
  limits: limitsSchema,
});

type DeepReadonly<T> = T extends (infer Item)[]
  ? readonly DeepReadonly<Item>[]
  : T extends object
    ? { readonly [Key in keyof T]: DeepReadonly<T[Key]> }
    : T;

/** A configuration that has passed the schema. */
export type Configuration = DeepReadonly<z.output<typeof configurationSchema>>;
export type DeploymentConfiguration = Configuration["deployments"][number];
export type DataCentreConfiguration = Configuration["dataCentres"][number];
export type OrganisationConfiguration = Configuration["organisations"][number];
export type ClassConfiguration = Configuration["classes"][number];
export type ModelConfiguration = Configuration["models"][number];
export type EnginePoolConfiguration = Configuration["enginePools"][number];
export type ServiceConfiguration = Configuration["services"][number];
export type KeyValueStoreConfiguration = Configuration["keyValueStores"][number];
export type LimitsConfiguration = Configuration["limits"];
export type ObjectiveConfiguration = Configuration["deployments"][number]["objective"];
