/** The figures that issue 4 expects of our policy, checked against what a bench run gave. */
import type { Figures } from "../model/figures.ts";

/** One expected figure with what came out. */
export interface Expectation {
  readonly text: string;
  readonly expected: string;
  readonly measured: string;
  readonly met: boolean;
}

/** What the expectations of one mix are checked against. */
export interface MixFigures {
  readonly mix: string;
  readonly watchedClass: string;
  /** Classes whose time to first token the deployment watches. */
  readonly interactiveClasses: readonly string[];
  readonly ours: Figures;
  readonly leastLoaded: Figures;
  readonly omniscient: Figures;
  /** At a load that least-loaded placement can carry. */
  readonly quiet: { readonly ours: Figures; readonly leastLoaded: Figures };
  /** Ours after the hot shift over ours at the same times without it, p99 of the watched class. */
  readonly shiftRecovery: number;
  /** The same rivals' requests of ours without and with the flood. */
  readonly rivalsBefore: Figures;
  readonly rivalsDuring: Figures;
}

/** A ratio of two endless times is no number, and so never met. */
const atMost = (text: string, measured: number, limit: number, digits = 2): Expectation => ({
  text,
  expected: `≤ ${limit.toFixed(digits)}`,
  measured: Number.isFinite(measured) ? measured.toFixed(digits) : "unbounded",
  met: measured <= limit,
});

const p99Of = ({ classes }: Figures, className: string): number => classes[className]?.p99OfAll ?? NaN;

const points = (before: number, after: number): number => (before - after) * 100;

/** Levant weighs the tail, Trinacria recomputation. */
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

/** Checks every expectation for one mix. */
export const checkExpectations = (figures: MixFigures): readonly Expectation[] => {
  const { ours, omniscient, watchedClass, rivalsBefore, rivalsDuring } = figures;
  const ratio = (over: Figures, under: Figures): number =>
    p99Of(over, watchedClass) / p99Of(under, watchedClass);
  return [
    ...againstLeastLoaded(figures, "quiet", figures.quiet),
    ...againstLeastLoaded(figures, "steady", figures),
    atMost("hit rate below omniscient, points", points(omniscient.hitRate, ours.hitRate), 5, 1),
    atMost(`p99 of ${watchedClass} / omniscient`, ratio(ours, omniscient), 1.3),
    atMost(`p99 of ${watchedClass} from 3 s after the hot shift / steady`, figures.shiftRecovery, 1.5),
    atMost(`flood: rivals' p99 of ${watchedClass} / without`, ratio(rivalsDuring, rivalsBefore), 1.1),
    atMost("flood: rivals' hit rate lost, points", points(rivalsBefore.hitRate, rivalsDuring.hitRate), 2, 1),
  ];
};
