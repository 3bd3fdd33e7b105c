/** Requests whose connection a replica broke as it crashed. */
import type { Suspect } from "../../protocol/forwarding/crashMessage.ts";
import type { RequestTrait } from "../../protocol/forwarding/requestTrait.ts";

export interface BrokenRequest {
  readonly traits: readonly RequestTrait[];
  /** Whether part of its response had arrived. */
  readonly hasBegun: boolean;
}

const contentOf = ({ traits }: BrokenRequest): readonly RequestTrait[] =>
  traits.filter(({ kind }) => kind === "content");

/** @returns The suspects among the traits of broken requests. */
export const suspectsOf = (broken: readonly BrokenRequest[]): readonly Suspect[] =>
  broken.flatMap((request) =>
    contentOf(request).map(({ fingerprint }) => ({ fingerprint, hasBegun: request.hasBegun })),
  );

/** Longest list of traits in a log line; a batch holds 64 requests with several traits each. */
const maxLoggedTraits = 100;

const describeTrait = ({ kind, name }: RequestTrait): string => `${kind}:${name}`;

/** @returns Fields of a log line: contents, shared traits as `KIND:NAME`, and requests whose answer had begun. */
export const describeBroken = (
  broken: readonly BrokenRequest[],
): Readonly<Record<string, string | number>> => {
  const shared = broken.flatMap(({ traits }) => traits.filter(({ kind }) => kind !== "content"));
  const described = [...new Set(shared.map(describeTrait))];
  return {
    requests: broken
      .flatMap(contentOf)
      .map(({ fingerprint }) => fingerprint)
      .join(" "),
    traits: described.slice(0, maxLoggedTraits).join(" "),
    begun: broken.filter(({ hasBegun }) => hasBegun).length,
  };
};
