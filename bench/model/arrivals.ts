/**
 * Open-loop arrivals. Each organisation has its own Poisson process and random stream, so that a run in which one
 * organisation floods has exactly the same requests of the others as a run in which it does not.
 */
import { hash64 } from "../../src/protocol/prefixLevels.ts";
import type { PrefixLevel } from "../../src/protocol/types.ts";
import { rampUp } from "./constants.ts";
import { warmPrefillTime } from "./mixes.ts";
import type { ClassMix, Mix } from "./mixes.ts";
import { createRandom, createWeightedIndex, zipfWeights } from "./random.ts";
import type { Random } from "./random.ts";
import type { Arrival } from "./types.ts";

/** One organisation sends far more than its share, over many prefixes. Times are simulated milliseconds. */
export interface Flood {
  readonly organisation: string;
  readonly from: number;
  readonly until: number;
  /** Rate of the additional requests, as a multiple of the organisation's usual rate. */
  readonly factor: number;
  /** Number of subjects of the additional requests, each with its own prefix and requested equally often. */
  readonly subjects: number;
}

/** Load of a run and how it changes. Times are simulated milliseconds. */
export interface ArrivalParameters {
  readonly mix: Mix;
  readonly seed: number;
  readonly duration: number;
  /** Share of all engines' prefill time that is used if every shared level is cached, 0 to 1. */
  readonly utilisation: number;
  readonly routers: number;
  /** From this time on the largest organisation's requests are about new subjects. */
  readonly hotShiftAt?: number;
  readonly flood?: Flood;
}

interface Stream {
  readonly organisation: string;
  readonly random: Random;
  readonly from: number;
  readonly until: number;
  /** Mean time between two requests, milliseconds. */
  readonly interval: number;
  readonly subjects: number | undefined;
}

const levelKey = (text: string): string => hash64(text).toString(16).padStart(16, "0");

/** Counts the engines of all pools. */
export const countEngines = ({ configuration }: Mix): number =>
  configuration.enginePools.reduce((sum, { replicas }) => sum + replicas, 0);

/** @returns Requests per second that give this utilisation. */
export const requestRate = (mix: Mix, utilisation: number): number => {
  const cost = mix.classes.reduce(
    (sum, classMix) => sum + classMix.share * warmPrefillTime(mix, classMix),
    0,
  );
  return (utilisation * countEngines(mix) * 1000) / cost;
};

const createStreams = ({ mix, seed, duration, utilisation, flood }: ArrivalParameters): readonly Stream[] => {
  const { organisations } = mix.configuration;
  const standing = organisations.reduce((sum, organisation) => sum + organisation.standing, 0);
  const rate = requestRate(mix, utilisation);
  const usualStreams = organisations.map((organisation) => ({
    organisation: organisation.name,
    random: createRandom(seed, `${mix.name} ${organisation.name}`),
    from: 0,
    until: duration,
    interval: (1000 * standing) / (rate * organisation.standing),
    subjects: undefined,
  }));
  const usualStream = usualStreams.find(({ organisation }) => organisation === flood?.organisation);
  if (flood === undefined || usualStream === undefined) return usualStreams;
  const random = createRandom(seed, `${mix.name} flood`);
  const interval = usualStream.interval / flood.factor;
  const { from, subjects } = flood;
  const until = Math.min(flood.until, duration);
  return [...usualStreams, { organisation: flood.organisation, random, from, until, interval, subjects }];
};

/**
 * Creates all requests of a run.
 *
 * @returns The requests in the order of their arrival.
 */
export const createArrivals = (parameters: ArrivalParameters): readonly Arrival[] => {
  const { mix, routers, hotShiftAt = Infinity } = parameters;
  const pickClass = createWeightedIndex(mix.classes.map(({ share }) => share));
  const pickRank = mix.classes.map(({ subject }) =>
    createWeightedIndex(zipfWeights(subject.count, subject.exponent)),
  );
  const largestOrganisation = mix.configuration.organisations[0]?.name;

  const pickSubject = (stream: Stream, classIndex: number, at: number): string => {
    if (stream.subjects !== undefined) return `flood ${stream.random.index(stream.subjects)}`;
    const rank = pickRank[classIndex]?.(stream.random) ?? 0;
    const isShifted = at >= hotShiftAt && stream.organisation === largestOrganisation;
    return isShifted ? `new ${rank}` : String(rank);
  };

  const createLevels = (
    organisation: string,
    { subject }: ClassMix,
    name: string,
    question: PrefixLevel,
  ): readonly PrefixLevel[] => {
    const salt = `${mix.name} ${organisation}`;
    const memberTokens = mix.rulesTokens + mix.memberTokens;
    const sharedTokens = memberTokens + subject.tokens;
    return [
      { key: levelKey(`${salt} rules`), tokens: mix.rulesTokens },
      { key: levelKey(`${salt} member`), tokens: memberTokens },
      { key: levelKey(`${salt} ${subject.kind} ${name}`), tokens: sharedTokens },
      { key: question.key, tokens: sharedTokens + question.tokens },
    ];
  };

  const createArrival = (stream: Stream, at: number, sequence: number): Arrival | undefined => {
    const { organisation, random } = stream;
    const classIndex = pickClass(random);
    const classMix = mix.classes[classIndex];
    if (classMix === undefined) return undefined;
    const subject = pickSubject(stream, classIndex, at);
    const question = {
      key: levelKey(`${mix.name} ${organisation} ${stream.subjects ?? ""} ${sequence}`),
      tokens: random.integerIn(classMix.questionTokens),
    };
    const levels = createLevels(organisation, classMix, subject, question);
    const outputTokens = random.integerIn(classMix.outputTokens);
    const promptTokens = levels.at(-1)?.tokens ?? 0;
    const router = random.index(routers);
    return {
      at,
      organisation,
      className: classMix.className,
      levels,
      promptTokens,
      outputTokens,
      router,
    };
  };

  const runStream = (stream: Stream): readonly Arrival[] => {
    const arrivals: Arrival[] = [];
    let at = stream.from + stream.random.exponential(stream.interval);
    for (let sequence = 0; at < stream.until; sequence += 1) {
      const arrival = createArrival(stream, at, sequence);
      const isKept = stream.random.uniform() * rampUp < at;
      if (arrival !== undefined && isKept) arrivals.push(arrival);
      at += stream.random.exponential(stream.interval);
    }
    return arrivals;
  };

  return createStreams(parameters)
    .flatMap(runStream)
    .sort((left, right) => left.at - right.at);
};
