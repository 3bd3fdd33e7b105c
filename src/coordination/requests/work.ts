/** Describes a request to the scheduler. */
import { computePrefixLevels } from "../../protocol/prefixLevels.ts";
import type { Work } from "../scheduling/Scheduler.ts";
import type { CompletionJob } from "./types.ts";

/** @returns The work of a request of which nothing has been done; its levels are computed once. */
export const createWork = ({ context, request, index }: CompletionJob): Work => {
  const weightsVersion = index.models.get(request.model)?.weightsVersion ?? "";
  const scope = {
    organisation: context.organisation.name,
    model: request.model,
    adapter: request.adapter,
    weightsVersion,
  };
  const levels = computePrefixLevels(scope, request.segments);
  return {
    context,
    pools: (index.poolsByModel.get(request.model) ?? []).map((pool) => pool.name),
    weightsVersions: [weightsVersion],
    levels,
    promptTokens: levels.at(-1)?.tokens ?? 0,
    maximumTokens: request.maximumTokens,
    excluded: new Set(),
  };
};
