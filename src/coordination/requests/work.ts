/** Creates the description of a request that the scheduler places. */
import { computePrefixLevels } from "../../protocol/prefixLevels.ts";
import type { Work } from "../scheduling/Scheduler.ts";
import type { BindWeights, BoundWeights } from "../weightsBinder.ts";
import type { CompletionJob } from "./types.ts";

/** @returns The weights that the configuration names, without a choice between versions. */
const configuredWeights = ({ index, request }: CompletionJob): BoundWeights => ({
  weightsVersion: index.models.get(request.model)?.weightsVersion ?? "",
  adapter: undefined,
});

/**
 * Binds a request to weights. Requests whose prompts differ only in the last prefix level are bound to the same weights.
 */
const bindRequest = (job: CompletionJob, bind: BindWeights): BoundWeights => {
  const { context, request, index } = job;
  const organisation = context.organisation.name;
  const segments = request.segments.length > 1 ? request.segments.slice(0, -1) : request.segments;
  const prefix = [organisation, request.model, ...segments].join("\u0000");
  return bind({ index, model: request.model, adapter: request.adapter, prefix });
};

/** @returns The work of a request that has not been started. Its prefix levels are computed only once. */
export const createWork = (job: CompletionJob, bind?: BindWeights): Work => {
  const { context, request, index } = job;
  const { weightsVersion, adapter } = bind === undefined ? configuredWeights(job) : bindRequest(job, bind);
  const scope = {
    organisation: context.organisation.name,
    model: request.model,
    adapter: adapter ?? request.adapter,
    weightsVersion,
  };
  const levels = computePrefixLevels(scope, request.segments);
  return {
    context,
    pools: (index.poolsByModel.get(request.model) ?? []).map((pool) => pool.name),
    weightsVersions: [weightsVersion],
    ...(adapter === undefined ? {} : { adapter }),
    levels,
    promptTokens: levels.at(-1)?.tokens ?? 0,
    maximumTokens: request.maximumTokens,
    excluded: new Set(),
  };
};
