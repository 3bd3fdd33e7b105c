/** What a model request asks, as a short text: the same again under another id asks the same. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import { formatFingerprint } from "../../protocol/forwarding/fingerprint.ts";
import { hashTexts } from "../../protocol/prefixLevels.ts";
import { digestRequest } from "../../protocol/serializedBody.ts";
import type { CompletionJob } from "./types.ts";

const known = new WeakMap<CompletionJob, Fingerprint>();

/**
 * The organisation is part of it: what one asks says nothing of what a rival may have answered.
 *
 * @returns The same text for the same request of the same organisation, in every process.
 */
export const fingerprintOfJob = (job: CompletionJob): Fingerprint => {
  const before = known.get(job);
  if (before !== undefined) return before;
  const { context, request } = job;
  const organisation = context.organisation.name;
  const made = formatFingerprint(hashTexts([organisation], Buffer.from(digestRequest(request))));
  known.set(job, made);
  return made;
};
