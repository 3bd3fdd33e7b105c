/** Rendezvous hashing: processes that know the same candidates make the same choice without communicating. */
import { hash64 } from "../../protocol/prefixLevels.ts";

interface Scored {
  readonly candidate: string;
  readonly score: bigint;
}

const score = (key: string, candidate: string): bigint => hash64(`${key}\u0000${candidate}`);

const byScore = (left: Scored, right: Scored): number => {
  if (left.score !== right.score) return left.score > right.score ? -1 : 1;
  return left.candidate < right.candidate ? -1 : 1;
};

/** @returns All candidates, the key's first choice first. */
export const rendezvousOrder = (key: string, candidates: readonly string[]): readonly string[] =>
  candidates
    .map((candidate) => ({ candidate, score: score(key, candidate) }))
    .sort(byScore)
    .map(({ candidate }) => candidate);

/** @returns The key's first choice; `undefined` if there are no candidates. */
export const rendezvousFirst = (key: string, candidates: readonly string[]): string | undefined => {
  let best: Scored | undefined;
  for (const candidate of candidates) {
    const scored = { candidate, score: score(key, candidate) };
    if (best === undefined || byScore(scored, best) < 0) best = scored;
  }
  return best?.candidate;
};
