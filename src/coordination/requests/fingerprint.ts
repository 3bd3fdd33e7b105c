/** Fingerprints of model requests, which recognise the same request when it is sent again under another id. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import { formatFingerprint } from "../../protocol/forwarding/fingerprint.ts";
import { hashTexts } from "../../protocol/prefixLevels.ts";
import { digestRequest } from "../../protocol/serializedBody.ts";
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
