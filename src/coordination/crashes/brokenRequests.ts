/** Requests whose connection a replica broke as it crashed. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { Suspect } from "../../protocol/forwarding/crashMessage.ts";
import type { RequestTrait } from "../../protocol/forwarding/requestTrait.ts";

export interface BrokenRequest {
  readonly traits: readonly RequestTrait[];
  /** Whether part of its response had arrived. */
  readonly hasBegun: boolean;
}

/** A crash with requests of this router in flight. */
export interface OwnCrash {
  /** The id of the replica's incarnation. */
  readonly replica: string;
  readonly broken: readonly BrokenRequest[];
}

const contentOf = ({ traits }: BrokenRequest): readonly RequestTrait[] =>
  traits.filter(({ kind }) => kind === "content");

/**
 * @param isProven - Whether a trait was answered not long before.
 * @returns The traits of broken requests, each once.
 */
export const suspectsOf = (
  broken: readonly BrokenRequest[],
  isProven: (fingerprint: Fingerprint) => boolean,
): readonly Suspect[] => {
  const suspects = new Map<Fingerprint, Suspect>();
  for (const { traits, hasBegun } of broken) {
    for (const { kind, fingerprint } of traits) {
      const known = suspects.get(fingerprint);
      suspects.set(fingerprint, {
        kind,
        fingerprint,
        // A cause crashes the replica whenever it begins: one request that had not begun makes the trait suspect.
        hasBegun: hasBegun && known?.hasBegun !== false,
        isProven: isProven(fingerprint),
      });
    }
  }
  return [...suspects.values()];
};

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
