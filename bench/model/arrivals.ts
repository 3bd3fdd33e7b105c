/**
 * Open-loop arrivals: each organisation has its own Poisson stream and its own random numbers, so that a run in
 * which one of them floods gives the others exactly the requests of the run in which it does not.
 */
import { hash64 } from "../../src/protocol/prefixLevels.ts";
import type { PrefixLevel } from "../../src/protocol/types.ts";
import { rampUp } from "./constants.ts";
import { warmPrefillTime } from "./mixes.ts";
import type { ClassMix, Mix } from "./mixes.ts";
import { createRandom, createWeightedIndex, zipfWeights } from "./random.ts";
import type { Random } from "./random.ts";
import type { Arrival } from "./types.ts";

/** One organisation that sends much more than its share, over many prefixes. */
export interface Flood {
  readonly organisation: string;
  readonly from: number;
  readonly until: number;
  /** Times its usual rate. */
  readonly factor: number;
  /** Each with its own prefix, asked for equally often. */
  readonly subjects: number;
}

/** How much comes, and what changes on the way. Times are simulated milliseconds. */
export interface ArrivalParameters {
  readonly mix: Mix;
  readonly seed: number;
  readonly duration: number;
  /** Part of all engines' prompt computing time that would be used if every shared level were cached. */
  readonly utilisation: number;
  readonly routers: number;
  /** From then on the largest organisation asks about subjects never seen before. */
  readonly hotShiftAt?: number;
  readonly flood?: Flood;
}

interface Stream {
  readonly organisation: string;
  readonly random: Random;
  readonly from: number;
  readonly until: number;
  /** Mean milliseconds between two requests. */
  readonly interval: number;
  readonly subjects: number | undefined;
}

const levelKey = (text: string): string => hash64(text).toString(16).padStart(16, "0");

/** Engines of the deployment's only pool. */
export const countEngines = ({ configuration }: Mix): number =>
  configuration.enginePools.reduce((sum, { replicas }) => sum + replicas, 0);

/** Requests a second at a utilisation. */
export const requestRate = (mix: Mix, utilisation: number): number => {
  const cost = mix.classes.reduce((sum, item) => sum + item.share * warmPrefillTime(mix, item), 0);
  return (utilisation * countEngines(mix) * 1000) / cost;
};

const createStreams = ({ mix, seed, duration, utilisation, flood }: ArrivalParameters): readonly Stream[] => {
  const { organisations } = mix.configuration;
  const standing = organisations.reduce((sum, organisation) => sum + organisation.standing, 0);
  const rate = requestRate(mix, utilisation);
  const usual = organisations.map((organisation) => ({
    organisation: organisation.name,
    random: createRandom(seed, `${mix.name} ${organisation.name}`),
    from: 0,
    until: duration,
    interval: (1000 * standing) / (rate * organisation.standing),
    subjects: undefined,
  }));
  const flooding = usual.find(({ organisation }) => organisation === flood?.organisation);
  if (flood === undefined || flooding === undefined) return usual;
  const random = createRandom(seed, `${mix.name} flood`);
  const interval = flooding.interval / flood.factor;
  const { from, subjects } = flood;
  const until = Math.min(flood.until, duration);
  return [...usual, { organisation: flood.organisation, random, from, until, interval, subjects }];
};

/**
 * Makes all requests of a run.
 *
 * @returns In the order of their arrival.
 */
export const createArrivals = (parameters: ArrivalParameters): readonly Arrival[] => {
  const { mix, routers, hotShiftAt = Infinity } = parameters;
  const pickClass = createWeightedIndex(mix.classes.map(({ share }) => share));
  const pickRank = mix.classes.map(({ subject }) =>
    createWeightedIndex(zipfWeights(subject.count, subject.exponent)),
  );
  const largest = mix.configuration.organisations[0]?.name;

  const pickSubject = (stream: Stream, classIndex: number, at: number): string => {
    if (stream.subjects !== undefined) return `flood ${stream.random.index(stream.subjects)}`;
    const rank = pickRank[classIndex]?.(stream.random) ?? 0;
    const shifted = at >= hotShiftAt && stream.organisation === largest;
    return shifted ? `new ${rank}` : String(rank);
  };

  const createLevels = (
    organisation: string,
    { subject }: ClassMix,
    name: string,
    question: PrefixLevel,
  ): readonly PrefixLevel[] => {
    const salt = `${mix.name} ${organisation}`;
    const member = mix.rulesTokens + mix.memberTokens;
    const shared = member + subject.tokens;
    return [
      { key: levelKey(`${salt} rules`), tokens: mix.rulesTokens },
      { key: levelKey(`${salt} member`), tokens: member },
      { key: levelKey(`${salt} ${subject.kind} ${name}`), tokens: shared },
      { key: question.key, tokens: shared + question.tokens },
    ];
  };

  const createArrival = (stream: Stream, at: number, sequence: number): Arrival | undefined => {
    const { organisation, random } = stream;
    const classIndex = pickClass(random);
    const item = mix.classes[classIndex];
    if (item === undefined) return undefined;
    const subject = pickSubject(stream, classIndex, at);
    const question = {
      key: levelKey(`${mix.name} ${organisation} ${stream.subjects ?? ""} ${sequence}`),
      tokens: random.integerIn(item.questionTokens),
    };
    const levels = createLevels(organisation, item, subject, question);
    const outputTokens = random.integerIn(item.outputTokens);
    const promptTokens = levels.at(-1)?.tokens ?? 0;
    const router = random.index(routers);
    return {
      at,
      organisation,
      className: item.className,
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
      const admitted = stream.random.uniform() * rampUp < at;
      if (arrival !== undefined && admitted) arrivals.push(arrival);
      at += stream.random.exponential(stream.interval);
    }
    return arrivals;
  };

  return createStreams(parameters)
    .flatMap(runStream)
    .sort((left, right) => left.at - right.at);
};
