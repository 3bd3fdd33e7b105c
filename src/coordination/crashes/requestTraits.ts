/** Determines the traits of requests. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import { fingerprintOf, formatFingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { RequestTrait, TraitKind } from "../../protocol/forwarding/requestTrait.ts";
import type { CallerRequest } from "../../protocol/forwarding/types.ts";
import { hashTexts } from "../../protocol/prefixLevels.ts";
import { shortenText } from "../../protocol/usableValues.ts";
import { createBoundedMap } from "../../state/boundedMap.ts";

/** The fields of a prompt that its shared traits are computed from. */
export interface SharedPrompt {
  /** Identifies the caller. */
  readonly caller: string;
  /** The ids of its parts without the last one, which belongs to the request alone. */
  readonly sharedParts: readonly string[];
  /** The model with its adapter. */
  readonly model: string;
  /** Tokens of the prompt. */
  readonly tokens: number;
}

const noBytes = new Uint8Array();

/** Shared traits whose fingerprints are kept, since they recur with most requests. */
const maxCachedTraits = 8_192;

const cachedTraits = createBoundedMap<RequestTrait>(maxCachedTraits);

/** Callers name parts and models as they like; the fingerprint still distinguishes names that are shortened alike. */
const createTrait = (kind: TraitKind, scope: string, name: string): RequestTrait => ({
  kind,
  name: shortenText(name),
  fingerprint: formatFingerprint(hashTexts([kind, scope, name], noBytes)),
});

const cachedTrait = (kind: TraitKind, scope: string, name: string): RequestTrait => {
  const key = `${kind}\u0000${scope}\u0000${name}`;
  const known = cachedTraits.get(key);
  if (known !== undefined) return known;
  const trait = createTrait(kind, scope, name);
  cachedTraits.set(key, trait);
  return trait;
};

const sizeClassOf = (tokens: number): number => 2 ** Math.floor(Math.log2(Math.max(1, tokens)));

/** @returns The traits that a prompt may share with others, each once. */
export const sharedTraitsOf = ({
  caller,
  sharedParts,
  model,
  tokens,
}: SharedPrompt): readonly RequestTrait[] => {
  const parts = [...new Set(sharedParts)];
  return [
    ...parts.map((part) => cachedTrait("callerPart", caller, part)),
    ...parts.map((part) => cachedTrait("part", "", part)),
    cachedTrait("size", model, `${model}/${sizeClassOf(tokens)}`),
    cachedTrait("model", "", model),
  ];
};

/** @returns The trait of a whole request. */
export const contentTrait = (fingerprint: Fingerprint): RequestTrait => ({
  kind: "content",
  name: "",
  fingerprint,
});

const sharedTraits = new WeakMap<CallerRequest, readonly RequestTrait[]>();

/** @returns The traits of a forwarded request that other requests may have as well. */
export const sharedTraitsOfRequest = (request: CallerRequest): readonly RequestTrait[] => {
  const { prompt, key } = request;
  if (prompt === undefined) return [];
  const known = sharedTraits.get(request);
  if (known !== undefined) return known;
  const traits = sharedTraitsOf({
    caller: key ?? "",
    sharedParts: prompt.parts.slice(0, -1).map(({ id }) => id),
    model: prompt.model,
    tokens: prompt.tokens,
  });
  sharedTraits.set(request, traits);
  return traits;
};

const allTraits = new WeakMap<CallerRequest, readonly RequestTrait[]>();

/** @returns All traits of a forwarded request, the whole content first. */
export const traitsOfRequest = (request: CallerRequest): readonly RequestTrait[] => {
  const known = allTraits.get(request);
  if (known !== undefined) return known;
  const traits = [contentTrait(fingerprintOf(request)), ...sharedTraitsOfRequest(request)];
  allTraits.set(request, traits);
  return traits;
};
