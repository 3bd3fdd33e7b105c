/** An experiment as its file says: load, faults, seeds, and the policies that are compared. */
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
  /** Requests in one batch. */
  slots: whole,
  /** Milliseconds of a step that computes one token for each request. */
  step: positive,
  /** Added for each request in the batch, milliseconds. */
  stepPerRequest: nonNegative.default(0),
  /** Prompt tokens computed in a millisecond. */
  prefillRate: positive,
  /** Prompt tokens in one step at most. */
  chunkTokens: whole,
  memoryTokens: whole,
  bytesPerToken: whole,
  linkMegabits: positive,
  /** Milliseconds that new weights take. */
  loadTime: nonNegative.default(400),
});

const kindSchema = z.strictObject({
  name: z.string().min(1),
  perSecond: positive,
  /** Latency objective of the first token, milliseconds. */
  objective: positive,
  /** How long callers wait, milliseconds. */
  deadline: positive,
  /** 0 is the most urgent. */
  priority: nonNegative,
  isResumable: z.boolean().default(false),
  maximumAttempts: whole.default(1),
  /** Tries of a caller that is told to come back. */
  callerTries: whole.default(2),
  /** What an answer in time is worth to its caller. */
  worth: positive,
  lateWorth: nonNegative,
  /** Texts that many subjects begin with. */
  openings: z.strictObject({ count: whole, tokens: whole }),
  /** Texts that requests about one thing share, and how unevenly they are asked for (Zipf's exponent). */
  subjects: z.strictObject({ count: whole, tokens: whole, skew: nonNegative }),
  /** Mean tokens of the prompt's own end, exponentially distributed. */
  ownTokens: positive,
  /** Mean tokens of the answer, exponentially distributed. */
  answerTokens: positive,
});

const during = { at: nonNegative, seconds: positive };

const faultSchema = z.discriminatedUnion("kind", [
  /** Engines go dark: connections stay and nothing comes. */
  z.strictObject({ kind: z.literal("dark"), ...during, engines: whole }),
  /** Engines crash, reset their connections and come back empty. */
  z.strictObject({ kind: z.literal("crash"), ...during, engines: whole }),
  /** Many times the usual requests come. */
  z.strictObject({ kind: z.literal("burst"), ...during, factor: positive }),
  /** A share of a kind's requests is about one thing. */
  z.strictObject({ kind: z.literal("hotSubject"), ...during, of: z.string(), share }),
  /** New weights are named; engines load in turn. */
  z.strictObject({ kind: z.literal("weights"), at: nonNegative }),
  /** A share of the callers leaves early. */
  z.strictObject({ kind: z.literal("leaving"), ...during, share }),
  /** Engines say in their answers how many requests they take, and refuse what is more only if they are said to. */
  z.strictObject({
    kind: z.literal("limited"),
    ...during,
    engines: whole,
    perSecond: positive,
    isNamed: z.boolean().default(true),
    refuses: z.boolean().default(false),
  }),
  /** Engines report draining in their answers, which the registry doesn't, and are gone for good after that. */
  z.strictObject({ kind: z.literal("draining"), ...during, engines: whole }),
  /** Engines turn everything away and ask for backoff, seconds; without it they don't say for how long. */
  z.strictObject({
    kind: z.literal("backingOff"),
    ...during,
    engines: whole,
    retryAfter: nonNegative.optional(),
  }),
  /** The store of prompt parts is down and comes back empty. */
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
  /** Requests that come earlier than this are not counted, seconds. */
  warmUp: nonNegative.default(3),
  seeds: z.array(z.int()).min(1),
  routers: whole,
  dataCentres: whole.default(1),
  /** One way between routers, milliseconds. */
  messageDelay: nonNegative.default(2),
  engines: engineSchema,
  store: z.strictObject({ memoryTokens: whole, linkMegabits: positive }).optional(),
  kinds: z.array(kindSchema).min(1),
  faults: z.array(faultSchema).default([]),
  policies: z.record(z.string().min(1), policySchema),
});

/** A checked experiment. */
export type Experiment = z.output<typeof experimentSchema>;
export type EngineSpecification = Experiment["engines"];
export type KindSpecification = Experiment["kinds"][number];
export type Fault = Experiment["faults"][number];

/** @returns The usual policy with what a file changes of it. */
export const policyOf = (changes: Experiment["policies"][string]): LoadPolicy => ({
  ...defaultLoadPolicy,
  ...changes,
});

/** What the schema can't see: names that refer to others. */
const listReferenceProblems = ({ faults, kinds, engines }: Experiment) =>
  faults.flatMap((fault, index) => {
    const path = `faults.${index}`;
    if (fault.kind === "hotSubject" && !kinds.some(({ name }) => name === fault.of)) {
      return [{ path: `${path}.of`, cause: `there is no kind "${fault.of}"` }];
    }
    if ("engines" in fault && fault.engines >= engines.count) {
      return [{ path: `${path}.engines`, cause: `fewer than all ${engines.count} engines` }];
    }
    return [];
  });

/** @returns The experiment; throws `FileError` that names each place at fault. */
export const parseExperiment = (text: string, file: string): Experiment => {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    throw fileError(file, [{ path: "", cause: error instanceof Error ? error.message : "is no JSON" }]);
  }
  const parsed = experimentSchema.safeParse(json);
  if (!parsed.success) throw fileError(file, listSchemaProblems(parsed.error));
  const problems = listReferenceProblems(parsed.data);
  if (problems.length > 0) throw fileError(file, problems);
  return parsed.data;
};

/** Reads an experiment's file. */
export const readExperiment = (file: string): Experiment => {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw fileError(file, [{ path: "", cause: error instanceof Error ? error.message : "cannot be read" }]);
  }
  return parseExperiment(text, file);
};
