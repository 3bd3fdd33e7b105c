/** Sums the crashes of replicas over all routers, for each trait of the requests that were in flight at them. */
import type { LogLine } from "./logLines.ts";
import { fieldOf, numberOf } from "./logLines.ts";

/** A trait that requests in flight at crashes had. */
export interface CrashTrait {
  /** `KIND:NAME`, such as `part:5c1e07a2`; the fingerprint follows `content:`. */
  readonly trait: string;
  /** Replicas that crashed with such a request in flight, each incarnation once. */
  readonly replicas: number;
  /** Routers that had such a request in flight at one of them. */
  readonly routers: number;
  /** When the first and the last of them crashed, ISO 8601. */
  readonly first: string;
  readonly last: string;
}

/** The crashes in the logs of any number of routers. */
export interface CrashSummary {
  /** Replicas that crashed, each incarnation once. */
  readonly crashes: number;
  /** Those whose broken requests had begun to be answered, at one router at least. */
  readonly begun: number;
  /** The traits with the most replicas first. */
  readonly traits: readonly CrashTrait[];
}

const replicaOf = (line: LogLine): string =>
  line.part === "engines"
    ? `${fieldOf(line, "engine")} ${fieldOf(line, "incarnation")}`
    : fieldOf(line, "replica");

const listOf = (line: LogLine, name: string): readonly string[] =>
  fieldOf(line, name)
    .split(" ")
    .filter((each) => each !== "" && each !== "-");

const traitsOf = (line: LogLine): readonly string[] => [
  ...listOf(line, "traits"),
  ...listOf(line, "requests").map((fingerprint) => `content:${fingerprint}`),
];

const describeTrait = (trait: string, lines: readonly LogLine[]): CrashTrait => {
  const times = lines.map(({ at }) => at).sort();
  return {
    trait,
    replicas: new Set(lines.map(replicaOf)).size,
    routers: new Set(lines.map(({ router }) => router)).size,
    first: times[0] ?? "",
    last: times.at(-1) ?? "",
  };
};

const groupByTrait = (lines: readonly LogLine[]): ReadonlyMap<string, readonly LogLine[]> => {
  const groups = new Map<string, LogLine[]>();
  for (const line of lines) {
    for (const trait of new Set(traitsOf(line))) {
      const group = groups.get(trait) ?? [];
      group.push(line);
      groups.set(trait, group);
    }
  }
  return groups;
};

/** @param lines - Lines of any number of routers, in any order. */
export const summariseCrashes = (lines: readonly LogLine[]): CrashSummary => {
  const crashes = lines.filter(({ event }) => event === "crashed");
  const begun = crashes.filter((line) => (numberOf(line, "begun") ?? 0) > 0);
  const traits = [...groupByTrait(crashes)].map(([trait, own]) => describeTrait(trait, own));
  return {
    crashes: new Set(crashes.map(replicaOf)).size,
    begun: new Set(begun.map(replicaOf)).size,
    traits: traits.sort((left, right) => right.replicas - left.replicas),
  };
};
