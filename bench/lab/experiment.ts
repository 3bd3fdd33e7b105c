/** Schema and reader of experiment files: load, faults, seeds, and the policies to compare. */
import { readFileSync } from "node:fs";
import { z } from "zod";
import type { LoadPolicy } from "../../src/coordination/forwarding/loadPolicy.ts";
import { defaultLoadPolicy } from "../../src/coordination/forwarding/loadPolicy.ts";
import { fileError } from "../../src/protocol/errors.ts";
import { listSchemaProblems } from "../../src/protocol/schemaProblems.ts";

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
});

const during = { at: nonNegative, seconds: positive };

const faultSchema = z.discriminatedUnion("kind", [
  /** Engines stop responding: their connections stay open and carry no data. */
  z.strictObject({ kind: z.literal("dark"), ...during, engines: whole }),
  /** Engines crash, reset their connections and restart with an empty cache. */
  z.strictObject({ kind: z.literal("crash"), ...during, engines: whole }),
  /** The request rate is multiplied by `factor`. */
  z.strictObject({ kind: z.literal("burst"), ...during, factor: positive }),
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
  faults: z.array(faultSchema).default([]),
  policies: z.record(z.string().min(1), policySchema),
});

/** A validated experiment. */
export type Experiment = z.output<typeof experimentSchema>;
export type EngineSpecification = Experiment["engines"];
export type KindSpecification = Experiment["kinds"][number];
export type Fault = Experiment["faults"][number];

/** @returns The default policy with the changes of an experiment's policy. */
export const policyOf = (changes: Experiment["policies"][string]): LoadPolicy => ({
  ...defaultLoadPolicy,
  ...changes,
});

/** Lists problems that the schema cannot express: references between fields. */
const listReferenceProblems = ({ faults, kinds, engines }: Experiment) =>
  faults.flatMap((fault, index) => {
    const path = `faults.${index}`;
    if (fault.kind === "hotSubject" && !kinds.some(({ name }) => name === fault.of)) {
      return [{ path: `${path}.of`, cause: `there is no kind "${fault.of}"` }];
    }
    if ("engines" in fault && fault.engines >= engines.count) {
      return [
        { path: `${path}.engines`, cause: `must be less than the number of engines, ${engines.count}` },
      ];
    }
    return [];
  });

/**
 * Parses and validates an experiment.
 *
 * @param file - Name of the file, for errors.
 * @throws FileError that lists every invalid field with its path.
 */
export const parseExperiment = (text: string, file: string): Experiment => {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    throw fileError(file, [{ path: "", cause: error instanceof Error ? error.message : "is not JSON" }]);
  }
  const parsed = experimentSchema.safeParse(json);
  if (!parsed.success) throw fileError(file, listSchemaProblems(parsed.error));
  const problems = listReferenceProblems(parsed.data);
  if (problems.length > 0) throw fileError(file, problems);
  return parsed.data;
};

/**
 * Reads and validates an experiment file.
 *
 * @throws FileError if the file cannot be read or is invalid.
 */
export const readExperiment = (file: string): Experiment => {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw fileError(file, [{ path: "", cause: error instanceof Error ? error.message : "cannot be read" }]);
  }
  return parseExperiment(text, file);
};
