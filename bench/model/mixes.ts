/**
 * Both deployments' mixes of requests, as the users describe them. Token counts are assumptions, stated here: an
 * idle engine can just compute the whole prompt of a quick check or look-up within the class's deadline.
 */
import { readFileSync } from "node:fs";
import { parseConfiguration } from "../../src/protocol/configuration/check.ts";
import type { Configuration } from "../../src/protocol/configuration/schema.ts";
import { meanOf } from "./random.ts";
import type { Range } from "./random.ts";
import type { EngineParameters } from "./types.ts";

/** What the prompts of a class share below the member level: courses, seasons, price lists. */
export interface SubjectParameters {
  readonly kind: string;
  /** For each organisation. */
  readonly count: number;
  readonly tokens: number;
  /** Of Zipf's law over the organisation's subjects. */
  readonly exponent: number;
}

/** The requests of one class. */
export interface ClassMix {
  readonly className: string;
  /** Part of all requests. */
  readonly share: number;
  readonly subject: SubjectParameters;
  /** Tokens of the prompt that no other prompt has. */
  readonly questionTokens: Range;
  readonly outputTokens: Range;
}

/** One deployment's requests and engines. */
export interface Mix {
  readonly name: string;
  readonly configuration: Configuration;
  readonly engine: EngineParameters;
  readonly routersPerDataCentre: number;
  /** Usual load: part of all engines' prompt computing time if every shared level were cached. */
  readonly utilisation: number;
  /** The class whose time to first token the deployment watches most. */
  readonly primaryClass: string;
  /** First level of every prompt: the consortium's rules. */
  readonly rulesTokens: number;
  /** Second level: the member's own rules. */
  readonly memberTokens: number;
  readonly classes: readonly ClassMix[];
}

const levantEngine: EngineParameters = {
  maximumRunning: 32,
  prefillTokensPerSecond: 8000,
  prefillOverhead: 4,
  chunkTokens: 512,
  cacheTokens: 50_000,
  decodeInterval: 20,
  decodeSlowdown: 0.25,
};

const trinacriaEngine: EngineParameters = { ...levantEngine, cacheTokens: 100_000 };

/** Puts the modelled engines' figures in place of the file's, so that what routers are told is true. */
const loadConfiguration = (file: string, engine: EngineParameters): Configuration => {
  const configuration = parseConfiguration(readFileSync(file, "utf8"), file);
  const { maximumRunning, prefillTokensPerSecond, cacheTokens } = engine;
  const enginePools = configuration.enginePools.map((pool) => ({
    ...pool,
    maximumRunning,
    prefillTokensPerSecond,
    cacheTokens,
  }));
  return { ...configuration, enginePools };
};

const levantCourses: SubjectParameters = { kind: "course", count: 10, tokens: 2500, exponent: 1.1 };

const trinacriaSeasons: SubjectParameters = { kind: "season", count: 4, tokens: 10_000, exponent: 1 };

/** Dawn at Levant: many quick checks, some long summaries. */
export const createLevantMix = (): Mix => ({
  name: "levant",
  configuration: loadConfiguration("examples/levant.json", levantEngine),
  engine: levantEngine,
  routersPerDataCentre: 2,
  utilisation: 0.45,
  primaryClass: "currency-check",
  rulesTokens: 1000,
  memberTokens: 1000,
  classes: [
    {
      className: "currency-check",
      share: 0.9,
      subject: levantCourses,
      questionTokens: { minimum: 60, maximum: 200 },
      outputTokens: { minimum: 4, maximum: 12 },
    },
    {
      className: "course-summary",
      share: 0.1,
      subject: levantCourses,
      questionTokens: { minimum: 800, maximum: 2400 },
      outputTokens: { minimum: 100, maximum: 300 },
    },
  ],
});

/** A working day at Trinacria: long reconciliations beside tagging and price look-ups. */
export const createTrinacriaMix = (): Mix => ({
  name: "trinacria",
  configuration: loadConfiguration("examples/trinacria.json", trinacriaEngine),
  engine: trinacriaEngine,
  routersPerDataCentre: 2,
  utilisation: 0.4,
  primaryClass: "price-lookup",
  rulesTokens: 1500,
  memberTokens: 1500,
  classes: [
    {
      className: "reconciliation",
      share: 0.15,
      subject: trinacriaSeasons,
      questionTokens: { minimum: 1000, maximum: 3000 },
      outputTokens: { minimum: 150, maximum: 400 },
    },
    {
      className: "line-tagging",
      share: 0.45,
      subject: { kind: "trim-family", count: 8, tokens: 800, exponent: 1 },
      questionTokens: { minimum: 50, maximum: 150 },
      outputTokens: { minimum: 6, maximum: 16 },
    },
    {
      className: "price-lookup",
      share: 0.4,
      subject: { kind: "price-list", count: 4, tokens: 1200, exponent: 1 },
      questionTokens: { minimum: 30, maximum: 90 },
      outputTokens: { minimum: 8, maximum: 24 },
    },
  ],
});

/** Milliseconds of an engine that one request of a class costs if all shared levels are cached. */
export const warmPrefillTime = ({ engine }: Pick<Mix, "engine">, { questionTokens }: ClassMix): number =>
  engine.prefillOverhead + (meanOf(questionTokens) * 1000) / engine.prefillTokensPerSecond;

/** The same mix with one class coming more often; the other classes come as often as before. */
export const withSurge = (mix: Mix, className: string, factor: number): Mix => {
  const weigh = (item: ClassMix): number => item.share * (item.className === className ? factor : 1);
  const total = mix.classes.reduce((sum, item) => sum + weigh(item), 0);
  const costBefore = mix.classes.reduce((sum, item) => sum + item.share * warmPrefillTime(mix, item), 0);
  const cost = mix.classes.reduce((sum, item) => sum + weigh(item) * warmPrefillTime(mix, item), 0);
  return {
    ...mix,
    classes: mix.classes.map((item) => ({ ...item, share: weigh(item) / total })),
    utilisation: (mix.utilisation * cost) / costBefore,
  };
};

/** Makes both mixes. */
export const createMixes = (): readonly Mix[] => [createLevantMix(), createTrinacriaMix()];
