/** Schema and reader of experiment files: load, faults, seeds, and the policies to compare. */
import { readFileSync } from "node:fs";
import { z } from "zod";
import type { LoadFeatures } from "../../src/coordination/forwarding/loadFeatures.ts";
import { noLoadFeatures } from "../../src/coordination/forwarding/loadFeatures.ts";
import type { LoadPolicy } from "../../src/coordination/forwarding/loadPolicy.ts";
import { defaultLoadPolicy } from "../../src/coordination/forwarding/loadPolicy.ts";
import { fileError } from "../../src/protocol/errors.ts";
import { listSchemaProblems } from "../../src/protocol/schemaProblems.ts";
import { organisationsOf } from "./demand.ts";

const positive = z.number().positive();
const nonNegative = z.number().nonnegative();
const share = z.number().min(0).max(1);
const whole = z.int().positive();

const engineSchema = z.strictObject({
  count: whole,
  /** Maximum requests in one batch. */
  slots: whole,
  /** Duration of a step that generates one token for each request, milliseconds. */
  step: positive,
  /** Added to the step for each request in the batch, milliseconds. */
  stepPerRequest: nonNegative.default(0),
  /** Prompt tokens computed per millisecond. */
  prefillRate: positive,
  /** Maximum prompt tokens in one step. */
  chunkTokens: whole,
  memoryTokens: whole,
  bytesPerToken: whole,
  linkMegabits: positive,
  /** Time to load new weights, milliseconds. */
  loadTime: nonNegative.default(400),
  /** Speeds of the engines as factors, repeated in this order; nothing tells routers of them. */
  speeds: z.array(positive).min(1).default([1]),
});

const kindSchema = z.strictObject({
  name: z.string().min(1),
  perSecond: positive,
  /** Latency objective for the first token, milliseconds. */
  objective: positive,
  /** Time after which callers cancel, milliseconds. */
  deadline: positive,
  /** 0 is the most urgent. */
  priority: nonNegative,
  isResumable: z.boolean().default(false),
  maximumAttempts: whole.default(1),
  /** Maximum attempts of a caller whose request is refused. */
  callerTries: whole.default(2),
  /** Value of an answer whose first token meets the objective, and of a later one, in any unit. */
  worth: positive,
  lateWorth: nonNegative,
  /** Prompt beginnings, each shared by many subjects. */
  openings: z.strictObject({ count: whole, tokens: whole }),
  /** Prompt parts after the opening, shared by requests about one subject; `skew` is the exponent of Zipf's law. */
  subjects: z.strictObject({ count: whole, tokens: whole, skew: nonNegative }),
  /** Mean tokens of the end of the prompt that no other request shares, exponentially distributed. */
  ownTokens: positive,
  /** Mean tokens of the answer, exponentially distributed. */
  answerTokens: positive,
  /** Maximum tokens of the answer, which callers state; without it they state the mean, and answers are unbounded. */
  maximumAnswerTokens: whole.optional(),
});

const during = { at: nonNegative, seconds: positive };

const faultSchema = z.discriminatedUnion("kind", [
  /** Engines stop responding: their connections stay open and carry no data. */
  z.strictObject({ kind: z.literal("dark"), ...during, engines: whole }),
  /** Engines crash, reset their connections and restart with an empty cache. */
  z.strictObject({ kind: z.literal("crash"), ...during, engines: whole }),
  /** The request rate is multiplied by `factor`; with `of`, only that of this request class. */
  z.strictObject({ kind: z.literal("burst"), ...during, of: z.string().optional(), factor: positive }),
  /** The request rate of each of these organisations is multiplied by `factor`. */
  z.strictObject({
    kind: z.literal("flood"),
    ...during,
    organisations: z.array(z.string()).min(1),
    factor: positive,
  }),
  /** The speed of engines is multiplied by `factor`. */
  z.strictObject({ kind: z.literal("speed"), ...during, engines: whole, factor: positive }),
  /** The last `routers` routers of the experiment start at this time, and not at the beginning. */
  z.strictObject({ kind: z.literal("routersStart"), at: nonNegative, routers: whole }),
  /** The first `routers` routers stop for good; their requests fail. */
  z.strictObject({ kind: z.literal("routersStop"), at: nonNegative, routers: whole }),
  /** All datagrams between the routers of a data centre and those of the others are lost. */
  z.strictObject({ kind: z.literal("partition"), ...during, dataCentre: z.int().nonnegative() }),
  /** A share of the requests of the kind `of` is about the same subject. */
  z.strictObject({ kind: z.literal("hotSubject"), ...during, of: z.string(), share }),
  /** The operator publishes a new weights version, and engines load it in groups. */
  z.strictObject({ kind: z.literal("weights"), at: nonNegative }),
  /** A share of the callers cancels early. */
  z.strictObject({ kind: z.literal("leaving"), ...during, share }),
  /** Engines have a rate limit; `isNamed`: they report it in answers; `refuses`: they refuse requests above it. */
  z.strictObject({
    kind: z.literal("limited"),
    ...during,
    engines: whole,
    perSecond: positive,
    isNamed: z.boolean().default(true),
    refuses: z.boolean().default(false),
  }),
  /** Engines report in their answers, but not in the registry, that they drain, and stop for good at the end. */
  z.strictObject({ kind: z.literal("draining"), ...during, engines: whole }),
  /** Engines refuse all requests; `retryAfter` is the backoff that they ask for, seconds, if any. */
  z.strictObject({
    kind: z.literal("backingOff"),
    ...during,
    engines: whole,
    retryAfter: nonNegative.optional(),
  }),
  /** The cache store is down and restarts empty. */
  z.strictObject({ kind: z.literal("storeDown"), ...during }),
]);

const policySchema = z.strictObject({
  homePreference: nonNegative.optional(),
  evictionRisk: nonNegative.optional(),
  latenessTurnedAway: positive.optional(),
  partWaitShare: share.optional(),
  lossWorthSaving: share.optional(),
  saveLinkShare: share.optional(),
  /** The decisions under load that the routers' settings enable. */
  features: z
    .strictObject({
      fairShares: z.boolean().optional(),
      minSpeedSpread: z.number().min(1).optional(),
      batchMemory: z.boolean().optional(),
    })
    .default({}),
});

const experimentSchema = z.strictObject({
  name: z.string().min(1),
  seconds: positive,
  /** Requests that arrive earlier than this are not counted, seconds. */
  warmUp: nonNegative.default(3),
  seeds: z.array(z.int()).min(1),
  routers: whole,
  dataCentres: whole.default(1),
  /** One-way latency between routers, milliseconds. */
  messageDelay: nonNegative.default(2),
  engines: engineSchema,
  store: z.strictObject({ memoryTokens: whole, linkMegabits: positive }).optional(),
  kinds: z.array(kindSchema).min(1),
  /** Who sends the requests, with their relative shares; an entry with `count` stands for several alike. */
  organisations: z
    .array(
      z.strictObject({
        name: z.string().min(1),
        share: positive,
        count: whole.optional(),
        priority: nonNegative.optional(),
      }),
    )
    .default([]),
  /** The demand of each data centre swings around its mean; `period` in seconds, `phase` in periods. */
  waves: z.strictObject({ swing: share, period: positive, phase: nonNegative }).optional(),
  /** Parts of the run that get figures of their own, seconds; without any, the time after the warm-up. */
  windows: z.array(z.strictObject({ name: z.string().min(1), from: nonNegative, to: positive })).default([]),
  faults: z.array(faultSchema).default([]),
  policies: z.record(z.string().min(1), policySchema),
});

/** A validated experiment. */
export type Experiment = z.output<typeof experimentSchema>;
export type EngineSpecification = Experiment["engines"];
export type KindSpecification = Experiment["kinds"][number];
export type Fault = Experiment["faults"][number];

/** @returns The windows of an experiment; if it names none, the time after its warm-up. */
export const windowsOf = ({ windows, warmUp, seconds }: Experiment): Experiment["windows"] =>
  windows.length > 0 ? windows : [{ name: "all", from: warmUp, to: seconds }];

/** @returns The default policy with the changes of an experiment's policy. */
export const policyOf = (changes: Experiment["policies"][string]): LoadPolicy => ({
  ...defaultLoadPolicy,
  ...changes,
});

/** @returns The features that an experiment's policy enables. */
export const featuresOf = ({ features }: Experiment["policies"][string]): LoadFeatures => ({
  ...noLoadFeatures,
  ...features,
});

/** Lists problems that the schema cannot express: references between fields. */
const listReferenceProblems = (experiment: Experiment) => {
  const { faults, kinds, engines, routers, dataCentres } = experiment;
  const organisations = organisationsOf(experiment).map(({ name }) => name);
  const problemsOf = (fault: Fault): readonly (readonly [field: string, cause: string])[] => {
    if ("of" in fault && fault.of !== undefined && !kinds.some(({ name }) => name === fault.of)) {
      return [["of", `there is no kind "${fault.of}"`]];
    }
    if ("engines" in fault && fault.engines >= engines.count) {
      return [["engines", `must be less than the number of engines, ${engines.count}`]];
    }
    if ("routers" in fault && fault.routers >= routers) {
      return [["routers", `must be less than the number of routers, ${routers}`]];
    }
    if (fault.kind === "partition" && fault.dataCentre >= dataCentres) {
      return [["dataCentre", `must be less than the number of data centres, ${dataCentres}`]];
    }
    if (fault.kind !== "flood") return [];
    return fault.organisations
      .filter((name) => !organisations.includes(name))
      .map((name) => ["organisations", `there is no organisation "${name}"`]);
  };
  return faults.flatMap((fault, index) =>
    problemsOf(fault).map(([field, cause]) => ({ path: `faults.${index}.${field}`, cause })),
  );
};

/**
 * Parses and validates an experiment.
 *
 * @param file - Name of the file, for errors.
 * @param changes - Fields that replace those of the file.
 * @throws FileError that lists every invalid field with its path.
 */
export const parseExperiment = (
  text: string,
  file: string,
  changes: Readonly<Record<string, unknown>> = {},
): Experiment => {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    throw fileError(file, [{ path: "", cause: error instanceof Error ? error.message : "is not JSON" }]);
  }
  const parsed = experimentSchema.safeParse(typeof json === "object" ? { ...json, ...changes } : json);
  if (!parsed.success) throw fileError(file, listSchemaProblems(parsed.error));
  const problems = listReferenceProblems(parsed.data);
  if (problems.length > 0) throw fileError(file, problems);
  return parsed.data;
};

/**
 * Reads and validates an experiment file.
 *
 * @param changes - Fields that replace those of the file.
 * @throws FileError if the file cannot be read or is invalid.
 */
export const readExperiment = (file: string, changes: Readonly<Record<string, unknown>> = {}): Experiment => {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw fileError(file, [{ path: "", cause: error instanceof Error ? error.message : "cannot be read" }]);
  }
  return parseExperiment(text, file, changes);
};
