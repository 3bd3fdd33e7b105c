/** The demand of an experiment over time: request rates by request class, organisation and data centre. */
import type { Random } from "../model/random.ts";
import { createWeightedIndex } from "../model/random.ts";
import type { Experiment, KindSpecification } from "./experiment.ts";

/** One organisation of the experiment. */
export interface LabOrganisation {
  readonly name: string;
  /** Its part of the usual traffic, relative to the other organisations. */
  readonly share: number;
  /** `undefined` if the operator set none. */
  readonly priority: number | undefined;
}

/** Who sends a request, and where. */
export interface DemandSource {
  /** `undefined` if the experiment has no organisations. */
  readonly organisation: string | undefined;
  /** The data centre whose routers get the request; `undefined` for any. */
  readonly dataCentre: number | undefined;
}

/** Request rates over time; times in simulated milliseconds. */
export interface Demand {
  /** @returns The rate of a request class as a ratio to its usual rate. */
  readonly rateFactor: (kind: KindSpecification, now: number) => number;
  readonly pickSource: (now: number, random: Random) => DemandSource;
}

const millisecondsPerSecond = 1_000;

/** @returns Whether a fault is present. */
export const isDuring = (
  { at, seconds }: { readonly at: number; readonly seconds: number },
  now: number,
): boolean => now >= at * millisecondsPerSecond && now < (at + seconds) * millisecondsPerSecond;

/** @returns The organisations of an experiment; an entry with `count` stands for several, `NAME-0` and so on. */
export const organisationsOf = ({ organisations }: Experiment): readonly LabOrganisation[] =>
  organisations.flatMap(({ name, share, count, priority }) =>
    count === undefined
      ? [{ name, share, priority }]
      : Array.from({ length: count }, (_, index) => ({ name: `${name}-${index}`, share, priority })),
  );

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

/** Creates the demand of an experiment. */
export const createDemand = (experiment: Experiment): Demand => {
  const { faults, waves, dataCentres } = experiment;
  const organisations = organisationsOf(experiment);
  const usualShares = sumOf(organisations.map(({ share }) => share));

  const organisationRates = (now: number): readonly number[] =>
    organisations.map(({ name, share }) =>
      faults.reduce(
        (rate, fault) =>
          fault.kind === "flood" && fault.organisations.includes(name) && isDuring(fault, now)
            ? rate * fault.factor
            : rate,
        share / usualShares,
      ),
    );

  const dataCentreRates = (now: number): readonly number[] => {
    if (waves === undefined) return [];
    const { swing, period, phase } = waves;
    const turns = now / millisecondsPerSecond / period;
    return Array.from(
      { length: dataCentres },
      (_, index) => (1 + swing * Math.sin(2 * Math.PI * (turns + index * phase))) / dataCentres,
    );
  };

  const pickFrom = (rates: readonly number[], random: Random): number | undefined =>
    rates.length === 0 ? undefined : createWeightedIndex(rates)(random);

  return {
    rateFactor: (kind, now) => {
      const bursts = faults.reduce((factor, fault) => {
        const applies = fault.kind === "burst" && (fault.of ?? kind.name) === kind.name;
        return applies && isDuring(fault, now) ? factor * fault.factor : factor;
      }, 1);
      const floods = organisations.length === 0 ? 1 : sumOf(organisationRates(now));
      return bursts * floods * (waves === undefined ? 1 : sumOf(dataCentreRates(now)));
    },
    pickSource: (now, random) => {
      const organisation = pickFrom(organisationRates(now), random);
      return {
        organisation: organisation === undefined ? undefined : organisations[organisation]?.name,
        dataCentre: pickFrom(dataCentreRates(now), random),
      };
    },
  };
};
