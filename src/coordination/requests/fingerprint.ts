/** Fingerprints of model requests, which recognise the same request when it is sent again under another id. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import { formatFingerprint } from "../../protocol/forwarding/fingerprint.ts";
import { hash64, hashTexts } from "../../protocol/prefixLevels.ts";
import { digestRequest } from "../../protocol/serializedBody.ts";
import type { RequestTrait } from "../../protocol/forwarding/requestTrait.ts";
import { contentTrait, sharedTraitsOf } from "../crashes/requestTraits.ts";
import { charactersPerToken } from "../../protocol/constants.ts";
import type { CompletionJob } from "./types.ts";

const cachedFingerprints = new WeakMap<CompletionJob, Fingerprint>();

/**
 * Computes a request's fingerprint. It includes the organisation, so that the requests of one organisation reveal nothing
 * about those of a rival.
 *
 * @returns The fingerprint, equal in every process for the same request of the same organisation.
 */
export const fingerprintOfJob = (job: CompletionJob): Fingerprint => {
  const cached = cachedFingerprints.get(job);
  if (cached !== undefined) return cached;
  const { context, request } = job;
  const organisation = context.organisation.name;
  const fingerprint = formatFingerprint(hashTexts([organisation], Buffer.from(digestRequest(request))));
  cachedFingerprints.set(job, fingerprint);
  return fingerprint;
};

const cachedSharedTraits = new WeakMap<CompletionJob, readonly RequestTrait[]>();

/**
 * Computes the traits that a model request may share with others. Its prompt's levels are known by their texts, so that
 * a level is the same whatever precedes it.
 */
export const sharedTraitsOfJob = (job: CompletionJob): readonly RequestTrait[] => {
  const cached = cachedSharedTraits.get(job);
  if (cached !== undefined) return cached;
  const { segments, model, adapter } = job.request;
  const characters = segments.reduce((sum, { length }) => sum + length, 0);
  const traits = sharedTraitsOf({
    caller: job.context.organisation.name,
    sharedParts: segments.slice(0, -1).map((text) => formatFingerprint(hash64(text))),
    model: adapter === undefined ? model : `${model}:${adapter}`,
    tokens: Math.ceil(characters / charactersPerToken),
  });
  cachedSharedTraits.set(job, traits);
  return traits;
};

/** @returns All traits of a model request, the whole content first. */
export const traitsOfJob = (job: CompletionJob): readonly RequestTrait[] => [
  contentTrait(fingerprintOfJob(job)),
  ...sharedTraitsOfJob(job),
];
