/**
 * Mixes of requests of the two example deployments. Token counts are assumptions: they are such that an idle engine
 * can just compute the whole prompt of a quick check or look-up within the class's deadline.
 */
import { readFileSync } from "node:fs";
import { parseConfiguration } from "../../src/protocol/configuration/check.ts";
import type { Configuration } from "../../src/protocol/configuration/schema.ts";
import { meanOf } from "./random.ts";
import type { Range } from "./random.ts";
import type { EngineParameters } from "./types.ts";

/** Subjects of a class: the prompt level below the member's rules that requests share, such as courses or seasons. */
export interface SubjectParameters {
  readonly kind: string;
  /** Subjects of each organisation. */
  readonly count: number;
  readonly tokens: number;
  /** Exponent of Zipf's law over the organisation's subjects. */
  readonly exponent: number;
}

/** The requests of one class. */
export interface ClassMix {
  readonly className: string;
  /** Share of all requests, 0 to 1. */
  readonly share: number;
  readonly subject: SubjectParameters;
  /** Tokens at the end of the prompt that no other prompt shares. */
  readonly questionTokens: Range;
  readonly outputTokens: Range;
}

/** One deployment's requests and engines. */
export interface Mix {
  readonly name: string;
  readonly configuration: Configuration;
  readonly engine: EngineParameters;
  readonly routersPerDataCentre: number;
  /** Usual load: share of all engines' prefill time that is used if every shared level is cached, 0 to 1. */
  readonly utilisation: number;
  /** The class whose time to first token matters most to the deployment. */
  readonly primaryClass: string;
  /** Tokens of the first level of every prompt: the consortium's rules. */
  readonly rulesTokens: number;
  /** Tokens of the second level: the member's own rules. */
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

/** Loads a configuration with the simulated engines' figures, so that routers estimate with the true ones. */
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

/** Peak load at Levant, at dawn: many quick checks and some long summaries. */
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

/** @returns Mean prefill time of a request of the class if all shared levels are cached, milliseconds. */
export const warmPrefillTime = ({ engine }: Pick<Mix, "engine">, { questionTokens }: ClassMix): number =>
  engine.prefillOverhead + (meanOf(questionTokens) * 1000) / engine.prefillTokensPerSecond;

/**
 * Creates a mix with more requests of one class and as many of the others as before.
 *
 * @param factor - Multiplies the rate of the class.
 */
export const withSurge = (mix: Mix, className: string, factor: number): Mix => {
  const weightOf = (classMix: ClassMix): number =>
    classMix.share * (classMix.className === className ? factor : 1);
  const total = mix.classes.reduce((sum, classMix) => sum + weightOf(classMix), 0);
  const costBefore = mix.classes.reduce(
    (sum, classMix) => sum + classMix.share * warmPrefillTime(mix, classMix),
    0,
  );
  const cost = mix.classes.reduce(
    (sum, classMix) => sum + weightOf(classMix) * warmPrefillTime(mix, classMix),
    0,
  );
  return {
    ...mix,
    classes: mix.classes.map((classMix) => ({ ...classMix, share: weightOf(classMix) / total })),
    utilisation: (mix.utilisation * cost) / costBefore,
  };
};

/** Creates the mixes of both deployments. */
export const createMixes = (): readonly Mix[] => [createLevantMix(), createTrinacriaMix()];
