/** Checks the results of a bench run against the figures expected of the router's own policy. */
import type { Figures } from "../model/figures.ts";

/** One expected figure with the measured value. */
export interface Expectation {
  readonly text: string;
  readonly expected: string;
  readonly measured: string;
  readonly met: boolean;
}

/** Measured figures of one mix that the expectations are checked against. */
export interface MixFigures {
  readonly mix: string;
  readonly watchedClass: string;
  /** Classes whose time to first token the deployment monitors. */
  readonly interactiveClasses: readonly string[];
  readonly ours: Figures;
  readonly leastLoaded: Figures;
  readonly omniscient: Figures;
  /** At a load that least-loaded placement can sustain. */
  readonly quiet: { readonly ours: Figures; readonly leastLoaded: Figures };
  /** Our p99 of the watched class after the hot shift, divided by that of the same period without the shift. */
  readonly shiftRecovery: number;
  /** Under our policy, the requests of the organisations that do not flood, without and with the flood. */
  readonly rivalsBefore: Figures;
  readonly rivalsDuring: Figures;
}

/** The ratio of two infinite times is `NaN` and therefore never meets its limit. */
const atMost = (text: string, measured: number, limit: number, digits = 2): Expectation => ({
  text,
  expected: `≤ ${limit.toFixed(digits)}`,
  measured: Number.isFinite(measured) ? measured.toFixed(digits) : "unbounded",
  met: measured <= limit,
});

const p99Of = ({ classes }: Figures, className: string): number => classes[className]?.p99OfAll ?? NaN;

const percentagePoints = (before: number, after: number): number => (before - after) * 100;

/** Trinacria is judged by wasted recomputation, every other deployment by tail latency. */
const againstLeastLoaded = (
  { mix, interactiveClasses }: MixFigures,
  load: string,
  { ours, leastLoaded }: MixFigures["quiet"],
): readonly Expectation[] => {
  if (mix === "trinacria") {
    return [atMost(`${load}: wasted recomputation / least loaded`, ours.wasted / leastLoaded.wasted, 1 / 3)];
  }
  return interactiveClasses.map((name) =>
    atMost(`${load}: p99 of ${name} / least loaded`, p99Of(ours, name) / p99Of(leastLoaded, name), 0.5),
  );
};

/** @returns Every expectation for one mix, with whether it is met. */
export const checkExpectations = (figures: MixFigures): readonly Expectation[] => {
  const { ours, omniscient, watchedClass, rivalsBefore, rivalsDuring } = figures;
  const ratio = (over: Figures, under: Figures): number =>
    p99Of(over, watchedClass) / p99Of(under, watchedClass);
  return [
    ...againstLeastLoaded(figures, "quiet", figures.quiet),
    ...againstLeastLoaded(figures, "steady", figures),
    atMost("hit rate below omniscient, points", percentagePoints(omniscient.hitRate, ours.hitRate), 5, 1),
    atMost(`p99 of ${watchedClass} / omniscient`, ratio(ours, omniscient), 1.3),
    atMost(`p99 of ${watchedClass} from 3 s after the hot shift / steady`, figures.shiftRecovery, 1.5),
    atMost(`flood: rivals' p99 of ${watchedClass} / without`, ratio(rivalsDuring, rivalsBefore), 1.1),
    atMost(
      "flood: rivals' hit rate lost, points",
      percentagePoints(rivalsBefore.hitRate, rivalsDuring.hitRate),
      2,
      1,
    ),
  ];
};
